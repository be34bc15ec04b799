//! Reads and writes the table of the pools of queues.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::record::decode_record;
use tanager_jobs::record::encode_record;
use tanager_protocol::error::TanagerError;
use tanager_site::store::TableRow;
use tokio::time;

use crate::context::NodeContext;
use crate::independent_rows::WrittenRow;
use crate::independent_rows::write_rows;
use crate::queue_pools::QUEUE_TABLE;
use crate::queue_pools::QueuePoolRecord;
use crate::queue_pools::lock;
use crate::records::POOL_TABLE;
use crate::table_watch::READ_PERIOD;
use crate::table_watch::TableRead;
use crate::table_watch::WatchedTable;
use crate::table_watch::read_pools;
use crate::transfer_time::max_transaction_bytes;

/// Time limits of the attempts to write rows. A transaction takes about 15 ms, and 60 times as long
/// if the store is slow; the second attempt follows after a lost response.
const WRITE_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_millis(800),
    Duration::from_millis(1_500),
];
/// Time after a change of a queue's pool for which the table is read. Nodes whose configuration is
/// older may still accept jobs in the former pool: it is in force within 2 s, and within 5 s more if the
/// store is disturbed.
const SETTLE_TIME: Duration = Duration::from_secs(7);
/// Time for which a submission waits for the first read after such a change.
const READ_WAIT: Duration = Duration::from_millis(250);

impl NodeContext {
    /// Waits shortly until this process has read which pools have had jobs of a queue; returns whether
    /// it has.
    pub(crate) async fn knows_former_pools(&self, queue: &str) -> bool {
        let Some(since) = self.view().queue_since(queue) else {
            return false;
        };
        let mut version = self.queue_pools.read_version.subscribe();
        let has_read = |read: &Option<u64>| read.is_some_and(|read| read >= since);
        if has_read(&version.borrow_and_update()) {
            return true;
        }
        self.queue_pools.request_read();
        // The sender lives as long as the context.
        let read = time::timeout(READ_WAIT, version.wait_for(has_read)).await;
        read.is_ok()
    }

    /// Stores that pools may have jobs of queues, before they have any. Returns the records that are not
    /// stored: those that the store rejects, or all that it does not store now.
    pub(crate) async fn record_queue_pools(
        &self,
        records: impl IntoIterator<Item = QueuePoolRecord>,
    ) -> BTreeSet<QueuePoolRecord> {
        let pools = &self.queue_pools;
        let mut missing: BTreeSet<QueuePoolRecord> = records.into_iter().collect();
        pools.drop_stored(&mut missing);
        if missing.is_empty() {
            return missing;
        }
        // What another cell of this node stores meanwhile need not be written again.
        let _writer = pools.writer.lock().await;
        pools.drop_stored(&mut missing);
        let now = self.clock.now();
        let rows: Result<Vec<WrittenRow>, TanagerError> = (missing.iter())
            .filter(|record| !lock(&pools.rejected).is_paused(*record, now))
            .map(|record| Ok((record.row(), encode_record(record)?)))
            .collect();
        let report = match rows {
            Ok(rows) => {
                let max_bytes = max_transaction_bytes(self.settings.link_rate);
                write_rows(&self.store, &[], rows, &WRITE_TIMEOUTS, max_bytes).await
            }
            Err(error) => {
                log::error!("event=record_not_encoded error={error:?}");
                return missing;
            }
        };
        for (name, bytes, error) in &report.rejected {
            self.metrics.rows_set_aside.increment();
            log::error!(
                "event=row_rejected row={}/{} bytes={bytes} error={error:?}",
                name.table,
                name.key
            );
        }
        if let Some(result) = &report.failure {
            log::info!(
                "event=queue_pools_not_stored rows={} result={result:?}",
                missing.len() - report.stored.len()
            );
        }
        let mut unstored = BTreeSet::new();
        for record in missing {
            let row = record.row();
            if report.stored.contains(&row) {
                lock(&pools.rejected).remove(&record);
                lock(&pools.stored).insert(record);
                continue;
            }
            if report.rejected.iter().any(|(name, _, _)| *name == row) {
                lock(&pools.rejected).record(record.clone(), now);
            }
            unstored.insert(record);
        }
        unstored
    }

    /// Returns whether the partition of a pool that the table names is not known.
    fn misses_recorded_pools(&self) -> bool {
        let view = self.view();
        lock(&self.queue_pools.stored)
            .iter()
            .any(|record| !view.pools.contains_key(&record.pool))
    }

    fn apply_queue_row(&self, row: &TableRow) {
        let key = &row.name.key;
        if row.deleted {
            return;
        }
        match decode_record::<QueuePoolRecord>(key, &row.value) {
            Ok(record) => {
                self.skipped_rows.forget(QUEUE_TABLE, key);
                self.view().add_former_pool(&record.queue, &record.pool);
                lock(&self.queue_pools.stored).insert(record);
            }
            Err(error) => self.skip_row(QUEUE_TABLE, key, row.version, &error.to_string()),
        }
    }
}

/// Reads the table after the start and after changes of queues' pools.
pub(crate) async fn watch_queues(context: Arc<NodeContext>) -> Infallible {
    let mut table = WatchedTable::new(QUEUE_TABLE, true);
    let mut changed_in = None;
    let mut settled_at = Duration::ZERO;
    loop {
        let (version, last_change) = {
            let view = context.view();
            let version = view.config.as_ref().map(|config| config.version);
            (version, view.last_queue_change())
        };
        if last_change != changed_in {
            changed_in = last_change;
            settled_at = context.clock.now() + SETTLE_TIME;
        }
        let is_read = *context.queue_pools.read_version.borrow() >= last_change;
        if version.is_some() && (!is_read || context.clock.now() < settled_at) {
            let read = table.read(&context).await;
            if let Some(TableRead::Full(rows) | TableRead::Changed(rows)) = read {
                for row in &rows {
                    context.apply_queue_row(row);
                }
                context.queue_pools.read_version.send_replace(version);
                if context.misses_recorded_pools()
                    && let Err(error) = read_pools(&context).await
                {
                    log::debug!("event=read_failed table={POOL_TABLE} error={error:?}");
                }
            }
        }
        let _ = time::timeout(READ_PERIOD, context.queue_pools.read_requested.notified()).await;
    }
}
