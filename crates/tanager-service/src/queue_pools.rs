//! Which pools may have jobs of each queue, as stored in the table of queues.
//!
//! A queue can be assigned to another pool by a configuration, also in several steps of which a
//! process sees only the last. A repeated submission must find its job in the former pool all the
//! same. Therefore a row names each pool before a cell of it stores anything about a job of the
//! queue, and a process that learns of a queue's pool reads these rows before it accepts a job there.
//!
//! Cost: one row of some 150 bytes for each queue and pool with jobs, written once, many in one
//! transaction; a read of the table at the start of a process and for
//! [`SETTLE_TIME`] after a configuration that changes a queue's pool; a call to one cell of each former
//! pool for a submission, which are none for a queue that was never moved.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use tanager_jobs::ids::PoolName;
use tanager_site::store::RowName;
use tokio::sync::Notify;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::independent_rows::RejectedRowPauses;
use crate::records::unpartitioned_row;

/// Table of the pools of queues; the part is empty.
pub(crate) const QUEUE_TABLE: &str = "queue";

/// Row that names a pool which may have jobs of a queue.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QueuePoolRecord {
    /// Key of the queue.
    pub queue: String,
    /// Pool.
    pub pool: PoolName,
}

impl QueuePoolRecord {
    /// Returns the name of the row. The queue's key may be longer than a row's key.
    pub fn row(&self) -> RowName {
        let hash = xxh3_64(self.queue.as_bytes());
        unpartitioned_row(QUEUE_TABLE, &format!("{hash:016x}/{}", self.pool))
    }
}

/// What this process knows of the table of queues.
#[derive(Debug)]
pub struct QueuePools {
    /// Records that are stored.
    pub(crate) stored: Mutex<BTreeSet<QueuePoolRecord>>,
    /// Records that the store rejected.
    pub(crate) rejected: Mutex<RejectedRowPauses<QueuePoolRecord>>,
    /// Held while rows are written.
    pub(crate) writer: tokio::sync::Mutex<()>,
    /// Version of the configuration in force when the last successful read began.
    pub(crate) read_version: watch::Sender<Option<u64>>,
    pub(crate) read_requested: Notify,
}

impl Default for QueuePools {
    fn default() -> Self {
        Self {
            stored: Mutex::default(),
            rejected: Mutex::default(),
            writer: tokio::sync::Mutex::new(()),
            read_version: watch::Sender::new(None),
            read_requested: Notify::new(),
        }
    }
}

impl QueuePools {
    /// Requests a read of the table, because the configuration changed.
    pub(crate) fn request_read(&self) {
        self.read_requested.notify_one();
    }

    pub(crate) fn drop_stored(&self, records: &mut BTreeSet<QueuePoolRecord>) {
        let stored = lock(&self.stored);
        records.retain(|record| !stored.contains(record));
    }

    /// Returns whether the table names a pool of a queue.
    pub(crate) fn is_stored(&self, queue: &str, pool: &str) -> bool {
        let record = QueuePoolRecord {
            queue: queue.to_owned(),
            pool: pool.to_owned(),
        };
        lock(&self.stored).contains(&record)
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
