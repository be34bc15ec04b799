//! Local replica of the change log: the newest state and the newest entries.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

use tanager_fleet::apply_entry;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::peer::FetchReply;

/// Limit of the serialised entries retained for peers, in bytes. A configuration of the design size
/// takes 0.3 MB with 10 quotas per pool and 2.1 MB with 190, and a node may use 256 MB in total.
const MAX_RETAINED_BYTES: usize = 8 << 20;
/// Limit of the entries in one reply to a peer, in bytes, unless the first one alone is larger.
/// Below tonic's default message limit of 4 MiB.
const MAX_REPLY_BYTES: usize = 2 << 20;

/// The newest state and the serialised entries that led to it.
#[derive(Debug, Default)]
pub(crate) struct ReplicaLog {
    state: Arc<FleetState>,
    /// Consecutive entries; the last one has the version of the state.
    retained: VecDeque<RetainedEntry>,
    retained_bytes: usize,
}

#[derive(Debug)]
struct RetainedEntry {
    version: LogVersion,
    author: String,
    token: String,
    content: Vec<u8>,
}

impl ReplicaLog {
    pub(crate) fn state(&self) -> &Arc<FleetState> {
        &self.state
    }

    /// Applies the entries that follow the state, up to the first gap, and skips those that the
    /// state already contains.
    pub(crate) fn apply(&mut self, entries: &[ChangeEntry]) -> TanagerResult<()> {
        let before = self.state.version;
        let mut state = FleetState::clone(&self.state);
        let mut result = Ok(());
        for entry in entries.iter().filter(|entry| entry.version > before) {
            result = apply_entry(&mut state, entry).and_then(|()| self.retain_entry(entry));
            if result.is_err() {
                break;
            }
        }
        if state.version > before {
            self.state = Arc::new(state);
        }
        result
    }

    /// Replaces the state if `state` is newer. Returns whether it was replaced.
    pub(crate) fn install(&mut self, state: FleetState) -> bool {
        if state.version <= self.state.version {
            return false;
        }
        self.retained.clear();
        self.retained_bytes = 0;
        self.state = Arc::new(state);
        true
    }

    /// Creates the reply to a peer that has applied version `after`.
    pub(crate) fn reply(&self, after: LogVersion) -> TanagerResult<FetchReply> {
        let mut reply = FetchReply::default();
        if after >= self.state.version {
            return Ok(reply);
        }
        let first = self.retained.front().map(|entry| entry.version);
        if first.is_none_or(|first| first > after.saturating_add(1)) {
            reply.snapshot = encode(&*self.state)?;
            return Ok(reply);
        }
        let mut size = 0;
        for entry in self.retained.iter().filter(|entry| entry.version > after) {
            size += entry.content.len();
            if size > MAX_REPLY_BYTES && !reply.entries.is_empty() {
                break;
            }
            reply.entries.push(entry.content.clone());
        }
        Ok(reply)
    }

    /// Author of an entry, if it is retained.
    pub(crate) fn author(&self, version: LogVersion) -> Option<&str> {
        self.find(version).map(|entry| entry.author.as_str())
    }

    /// Token of an entry, if it is retained.
    pub(crate) fn token(&self, version: LogVersion) -> Option<&str> {
        self.find(version).map(|entry| entry.token.as_str())
    }

    /// Newest retained entries, at most `limit`.
    pub(crate) fn latest(&self, limit: usize) -> TanagerResult<Vec<ChangeEntry>> {
        let skipped = self.retained.len().saturating_sub(limit);
        let newest = self.retained.iter().skip(skipped);
        newest.map(|entry| decode(&entry.content)).collect()
    }

    fn find(&self, version: LogVersion) -> Option<&RetainedEntry> {
        self.retained.iter().rfind(|entry| entry.version == version)
    }

    fn retain_entry(&mut self, entry: &ChangeEntry) -> TanagerResult<()> {
        let content = encode(entry)?;
        self.retained_bytes += content.len();
        self.retained.push_back(RetainedEntry {
            version: entry.version,
            author: entry.author.clone(),
            token: entry.token.clone(),
            content,
        });
        while self.retained_bytes > MAX_RETAINED_BYTES && self.retained.len() > 1 {
            if let Some(oldest) = self.retained.pop_front() {
                self.retained_bytes -= oldest.content.len();
            }
        }
        Ok(())
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> TanagerResult<Vec<u8>> {
    serde_json::to_vec(value)
        .map_err(|error| TanagerError::new(ErrorKind::Internal, "encode", "", error))
}

pub(crate) fn decode<T: DeserializeOwned>(content: &[u8]) -> TanagerResult<T> {
    serde_json::from_slice(content)
        .map_err(|error| TanagerError::new(ErrorKind::Internal, "decode", "", error))
}
