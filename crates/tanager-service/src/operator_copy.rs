//! The operator's rows as this node last read them, for nodes that read them from peers.
//!
//! Load: a configuration of thousands of routes. Its row takes seconds over a link of 2 to 10 Mbit/s, and the
//! response of a peer that relays a read has to pass two such links. A node that has read the row
//! already holds it compressed, at a tenth of the size.

use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::time::Duration;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;
use tanager_site::store::RowName;
use tanager_site::store::RowVersion;
use tanager_site::store::TableRow;

use crate::transfer_time::transfer_time;

/// Time that a transfer of the operator's rows from the store may take before a copy is preferred. Other
/// calls wait behind it on the link.
const MAX_DIRECT_TRANSFER: Duration = Duration::from_millis(250);

/// Rows of the operator's table.
#[derive(Debug, Default)]
pub struct OperatorCopy {
    rows: BTreeMap<String, CopiedRow>,
    /// Version of the store as of which the rows are complete; `None` before the first read.
    version: Option<RowVersion>,
    /// Time at which the store was read.
    read_at: Duration,
}

#[derive(Debug)]
struct CopiedRow {
    version: RowVersion,
    /// Size of the value in bytes.
    bytes: usize,
    /// The value. It is compressed when a peer asks for it, since most nodes are never asked.
    value: Vec<u8>,
    is_compressed: bool,
}

/// What a node got from a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopiedRead {
    /// Version of the store as of which the rows are complete.
    pub version: RowVersion,
    /// Time since the peer read the store, when it sent the copy.
    pub age: Duration,
    /// Rows that are newer than the ones that the reader has.
    pub rows: Vec<TableRow>,
}

/// Start of a response, which the compressed values of the rows follow in the same order.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct CopyHeader {
    version: RowVersion,
    age_ms: u64,
    rows: Vec<RowHeader>,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct RowHeader {
    key: String,
    version: RowVersion,
    bytes: usize,
    compressed: usize,
}

impl OperatorCopy {
    /// Records that the store was read at `read_at`, after which the rows are complete as of `version`.
    /// Deleted rows are forgotten, so that nodes which have read them keep them.
    pub fn record(
        &mut self,
        rows: impl IntoIterator<Item = TableRow>,
        version: RowVersion,
        read_at: Duration,
    ) {
        for row in rows {
            if row.deleted {
                self.rows.remove(&row.name.key);
                continue;
            }
            let copied = CopiedRow {
                version: row.version,
                bytes: row.value.len(),
                value: row.value,
                is_compressed: false,
            };
            self.rows.insert(row.name.key, copied);
        }
        self.version = Some(version);
        // A copy that is as new may have been read earlier than the last one.
        self.read_at = self.read_at.max(read_at);
    }

    /// Forgets all rows before all are read again.
    pub fn clear(&mut self) {
        self.rows.clear();
    }

    /// Returns the size of the largest row in bytes.
    pub fn largest_row(&self) -> usize {
        (self.rows.values())
            .map(|row| row.bytes)
            .max()
            .unwrap_or_default()
    }

    /// Encodes the rows that are newer than `after` for a peer, with the age of the read at the time `now`.
    /// Returns `None` if this node has read nothing yet.
    ///
    /// # Errors
    ///
    /// The error of the compression or of the header's encoding.
    pub fn encode_since(
        &mut self,
        after: RowVersion,
        now: Duration,
    ) -> io::Result<Option<Vec<u8>>> {
        let Some(version) = self.version else {
            return Ok(None);
        };
        let age = now.saturating_sub(self.read_at);
        let mut rows = Vec::new();
        let mut values = Vec::new();
        for (key, row) in (self.rows.iter_mut()).filter(|(_, row)| row.version > after) {
            let (version, bytes) = (row.version, row.bytes);
            let compressed = row.compress()?;
            values.extend_from_slice(compressed);
            rows.push(RowHeader {
                key: key.clone(),
                version,
                bytes,
                compressed: compressed.len(),
            });
        }
        let header = CopyHeader {
            version,
            age_ms: age.as_millis() as u64,
            rows,
        };
        let mut body = serde_json::to_vec(&header)?;
        body.push(b'\n');
        body.append(&mut values);
        Ok(Some(body))
    }
}

impl CopiedRead {
    /// Decodes the response of a peer with rows of a table, which together have at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// A message about what is malformed.
    pub fn decode(body: &[u8], table: &str, max_bytes: usize) -> Result<Self, String> {
        let end = body.iter().position(|byte| *byte == b'\n');
        let end = end.ok_or("the header has no end")?;
        let header: CopyHeader =
            serde_json::from_slice(&body[..end]).map_err(|error| error.to_string())?;
        let total: usize = header.rows.iter().map(|row| row.bytes).sum();
        if total > max_bytes {
            return Err(format!("the rows have {total} bytes, at most {max_bytes}"));
        }
        let mut rest = &body[end + 1..];
        let mut rows = Vec::with_capacity(header.rows.len());
        for row in header.rows {
            let (compressed, others) = (rest.split_at_checked(row.compressed))
                .ok_or_else(|| format!("the row {:?} is truncated", row.key))?;
            rest = others;
            let value = decompress(compressed, row.bytes)
                .map_err(|error| format!("the row {:?}: {error}", row.key))?;
            rows.push(TableRow {
                name: RowName {
                    table: table.to_owned(),
                    part: String::new(),
                    key: row.key,
                },
                value,
                version: row.version,
                deleted: false,
            });
        }
        Ok(Self {
            version: header.version,
            age: Duration::from_millis(header.age_ms),
            rows,
        })
    }
}

impl CopiedRow {
    /// Returns the compressed value.
    fn compress(&mut self) -> io::Result<&[u8]> {
        if !self.is_compressed {
            let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
            encoder.write_all(&self.value)?;
            self.value = encoder.finish()?;
            self.is_compressed = true;
        }
        Ok(&self.value)
    }
}

/// Decompresses a value that must have this size.
fn decompress(compressed: &[u8], bytes: usize) -> io::Result<Vec<u8>> {
    let mut value = Vec::with_capacity(bytes);
    // One byte more shows a value that is too large.
    let limit = bytes as u64 + 1;
    DeflateDecoder::new(compressed)
        .take(limit)
        .read_to_end(&mut value)?;
    if value.len() != bytes {
        let message = format!("it does not have {bytes} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(value)
}

/// Returns whether copies of peers are preferred to reads of the store: while calls to it are relayed
/// anyway, and if the link of this node carries the largest row too slowly. `link_rate` is in bytes per
/// second, `None` if it is not known.
pub fn prefers_copies(is_relaying: bool, link_rate: Option<f64>, largest_row: usize) -> bool {
    is_relaying || transfer_time(largest_row, link_rate) > MAX_DIRECT_TRANSFER
}
