//! The local copy of the change log: the newest state and the newest entries.

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

/// Serialised entries kept for peers, in bytes. A configuration of the design size takes 0.3 MB
/// with 10 quotas per pool and 2.1 MB with 190, and a node may use 256 MB in all.
const MAX_HELD_BYTES: usize = 8 << 20;
/// Entries of one reply to a peer, in bytes, unless the first one alone is larger; below tonic's
/// default message limit of 4 MiB.
const MAX_REPLY_BYTES: usize = 2 << 20;

/// The newest state and the serialised entries that led to it.
#[derive(Debug, Default)]
pub(crate) struct ReplicaLog {
    state: Arc<FleetState>,
    /// Consecutive entries that end with the version of the state.
    held: VecDeque<HeldEntry>,
    held_bytes: usize,
}

#[derive(Debug)]
struct HeldEntry {
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
            result = apply_entry(&mut state, entry).and_then(|()| self.hold(entry));
            if result.is_err() {
                break;
            }
        }
        if state.version > before {
            self.state = Arc::new(state);
        }
        result
    }

    /// Replaces the state if `state` is newer. Returns whether it was.
    pub(crate) fn install(&mut self, state: FleetState) -> bool {
        if state.version <= self.state.version {
            return false;
        }
        self.held.clear();
        self.held_bytes = 0;
        self.state = Arc::new(state);
        true
    }

    /// Answers a peer that has applied `after`.
    pub(crate) fn reply(&self, after: LogVersion) -> TanagerResult<FetchReply> {
        let mut reply = FetchReply::default();
        if after >= self.state.version {
            return Ok(reply);
        }
        let first = self.held.front().map(|entry| entry.version);
        if first.is_none_or(|first| first > after.saturating_add(1)) {
            reply.snapshot = encode(&*self.state)?;
            return Ok(reply);
        }
        let mut size = 0;
        for entry in self.held.iter().filter(|entry| entry.version > after) {
            size += entry.content.len();
            if size > MAX_REPLY_BYTES && !reply.entries.is_empty() {
                break;
            }
            reply.entries.push(entry.content.clone());
        }
        Ok(reply)
    }

    /// Author of an entry, if it is held.
    pub(crate) fn author(&self, version: LogVersion) -> Option<&str> {
        self.find(version).map(|entry| entry.author.as_str())
    }

    /// Token of an entry, if it is held.
    pub(crate) fn token(&self, version: LogVersion) -> Option<&str> {
        self.find(version).map(|entry| entry.token.as_str())
    }

    /// The newest held entries, at most `limit`.
    pub(crate) fn latest(&self, limit: usize) -> TanagerResult<Vec<ChangeEntry>> {
        let skipped = self.held.len().saturating_sub(limit);
        let newest = self.held.iter().skip(skipped);
        newest.map(|entry| decode(&entry.content)).collect()
    }

    fn find(&self, version: LogVersion) -> Option<&HeldEntry> {
        self.held.iter().rfind(|entry| entry.version == version)
    }

    fn hold(&mut self, entry: &ChangeEntry) -> TanagerResult<()> {
        let content = encode(entry)?;
        self.held_bytes += content.len();
        self.held.push_back(HeldEntry {
            version: entry.version,
            author: entry.author.clone(),
            token: entry.token.clone(),
            content,
        });
        while self.held_bytes > MAX_HELD_BYTES && self.held.len() > 1 {
            if let Some(oldest) = self.held.pop_front() {
                self.held_bytes -= oldest.content.len();
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
