//! The store: a linearizable row of the coordinator's cell and the heartbeats of the nodes.

use std::collections::BTreeMap;

/// A process of a node.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Process {
    pub(crate) node: usize,
    pub(crate) incarnation: u64,
}

/// Value of the owner row.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct OwnerRecord {
    pub(crate) owner: Option<Process>,
    pub(crate) released_by: Option<usize>,
    pub(crate) awaits_predecessor: bool,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct OwnerRow {
    pub(crate) record: OwnerRecord,
    /// 0 if there is no row.
    pub(crate) version: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Request {
    Heartbeat(Process),
    /// Reads the owner row and the heartbeats.
    Read,
    /// Writes the owner row if it has this version.
    WriteOwner(u64, OwnerRecord),
    /// Writes another row if the owner row has this version.
    WriteNote(u64),
}

#[derive(Clone, Debug)]
pub(crate) enum Response {
    Written(u64),
    Conflict(OwnerRow),
    Rows(OwnerRow, BTreeMap<usize, Heartbeat>),
    Refused,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Heartbeat {
    pub(crate) incarnation: u64,
    pub(crate) version: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    row: OwnerRow,
    heartbeats: BTreeMap<usize, Heartbeat>,
    last_version: u64,
    pub(crate) refuses_reads: bool,
}

impl Store {
    pub(crate) fn carry_out(&mut self, request: &Request) -> Response {
        match request {
            Request::Read if self.refuses_reads => return Response::Refused,
            Request::Read => return Response::Rows(self.row, self.heartbeats.clone()),
            Request::WriteOwner(expected, _) | Request::WriteNote(expected)
                if *expected != self.row.version =>
            {
                return Response::Conflict(self.row);
            }
            _ => self.last_version += 1,
        }
        let version = self.last_version;
        match request {
            Request::Heartbeat(process) => {
                let is_outdated = (self.heartbeats.get(&process.node))
                    .is_some_and(|heartbeat| heartbeat.incarnation > process.incarnation);
                if !is_outdated {
                    let incarnation = process.incarnation;
                    let heartbeat = Heartbeat {
                        incarnation,
                        version,
                    };
                    self.heartbeats.insert(process.node, heartbeat);
                }
            }
            Request::WriteOwner(_, record) => {
                self.row = OwnerRow {
                    record: *record,
                    version,
                };
            }
            Request::WriteNote(_) | Request::Read => {}
        }
        Response::Written(version)
    }
}
