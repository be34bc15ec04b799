//! Identifiers of jobs, tasks, workers and cells.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Name of a pool of VMs.
pub type PoolName = String;
/// Name of a cell: a part of a pool that one node owns.
pub type CellName = String;
/// Id of a worker. A restarted worker may keep it.
pub type WorkerId = String;
/// Name of a VM.
pub type VmName = String;
/// Name of a node.
pub type NodeName = String;
/// Name of a workspace.
pub type WorkspaceName = String;
/// Number of a run of a task; increases with each start.
pub type RunNumber = u64;
/// Number that increases with each change of the owner of a cell.
pub type FencingToken = u64;

/// Id of a job: 16 hexadecimal digits chosen by the client.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId(pub u64);

/// Error: the text is not an id of the expected form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidId(pub String);

impl fmt::Display for InvalidId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "invalid id {:?}", self.0)
    }
}

impl std::error::Error for InvalidId {}

impl FromStr for JobId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let digits = text
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        match (text.len() == 16 && digits, u64::from_str_radix(text, 16)) {
            (true, Ok(number)) => Ok(Self(number)),
            _ => Err(InvalidId(text.to_owned())),
        }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl TryFrom<String> for JobId {
    type Error = InvalidId;

    fn try_from(text: String) -> Result<Self, InvalidId> {
        text.parse()
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> Self {
        id.to_string()
    }
}

/// Identifies a task: one member of one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// Job.
    pub job: JobId,
    /// Occurrence, 0 for a job that is not repeated.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u16,
    /// Member of the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskKey {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let invalid = || InvalidId(text.to_owned());
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(invalid);
        let key = Self {
            job: next()?.parse()?,
            occurrence: next()?.parse().map_err(|_| invalid())?,
            step: next()?.parse().map_err(|_| invalid())?,
            index: next()?.parse().map_err(|_| invalid())?,
        };
        match parts.next() {
            None => Ok(key),
            Some(_) => Err(invalid()),
        }
    }
}
