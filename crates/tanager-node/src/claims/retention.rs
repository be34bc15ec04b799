//! Task that starts new generations and removes the rows of old ones.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::time;

use tanager_platform::PlatformClient;
use tanager_platform::RowWrite;
use tanager_platform::TableTransaction;
use tanager_platform::TransactionResult;

use crate::claims::ClaimStats;
use crate::claims::HomeCheck;
use crate::claims::generation::ClaimGeneration;
use crate::claims::generation::GENERATION_KEY;
use crate::claims::generation::ROW_PREFIX;
use crate::claims::generation::row_generation;
use crate::claims::increment;

/// Longest interval between reads of the generation.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// Reads of the generation per retention time.
const CHECKS_PER_RETENTION: u32 = 64;
/// Rows removed per transaction.
const REMOVE_BATCH_ROWS: usize = 64;
/// Interval between removals. It allows 640 rows/s with 10 writes/s and 10 reads/s; the store
/// supports several hundred writes/s and 2,000 reads/s.
const REMOVE_INTERVAL: Duration = Duration::from_millis(100);

/// Task that starts new generations and removes the rows of old ones.
///
/// Each node measures with its own clock for how long it has observed the current generation;
/// clocks of different nodes are never compared. Only the home of the generation row advances it
/// and removes rows. Two concurrent homes are harmless: an advance is conditional on the version
/// that was observed for the retention time.
pub(super) struct RetentionTask {
    pub(super) platform: Arc<PlatformClient>,
    pub(super) retention: Duration,
    pub(super) is_home: HomeCheck,
    pub(super) stats: Arc<ClaimStats>,
}

impl RetentionTask {
    /// Runs until the task is aborted.
    pub(super) async fn run(self) {
        let interval = (self.retention / CHECKS_PER_RETENTION).min(MAX_CHECK_INTERVAL);
        let mut observed: Option<(ClaimGeneration, Instant)> = None;
        loop {
            time::sleep(interval).await;
            // The next read resolves a lost response or an outage.
            let Ok(current) = ClaimGeneration::read(&self.platform).await else {
                continue;
            };
            let since = match observed {
                Some((generation, since)) if generation == current => since,
                // Measured after the read, so that the age of the generation is never
                // overestimated.
                _ => Instant::now(),
            };
            observed = Some((current, since));
            if !(self.is_home)(GENERATION_KEY) {
                continue;
            }
            if since.elapsed() >= self.retention {
                let advance = self.platform.transact(&current.advance()).await;
                if let Ok(TransactionResult::Committed(_)) = advance {
                    log::info!("claims: generation {} started", current.number + 1);
                }
                continue;
            }
            self.remove_old_rows(current).await;
        }
    }

    /// Removes rows that are older than the previous generation, which no insert and no read
    /// accesses any more. They are never written again, so the removal needs no conditions and may
    /// take effect late or twice.
    async fn remove_old_rows(&self, current: ClaimGeneration) {
        // Rows contain recorded responses, so the first scan reads only one row in case there is
        // nothing to remove.
        let mut limit = 1;
        while (self.is_home)(GENERATION_KEY) {
            let rows = self.platform.scan(ROW_PREFIX, "", limit);
            let Ok(rows) = rows.await else {
                return;
            };
            let is_old = |key: &str| {
                row_generation(key).is_some_and(|generation| generation + 1 < current.number)
            };
            let old = rows.into_iter().filter(|row| is_old(&row.key));
            let writes: Vec<RowWrite> = old
                .map(|row| RowWrite {
                    key: row.key,
                    value: None,
                })
                .collect();
            if writes.is_empty() {
                return;
            }
            let count = writes.len();
            let transaction = TableTransaction {
                conditions: Vec::new(),
                writes,
            };
            match self.platform.transact(&transaction).await {
                Ok(TransactionResult::Committed(_)) => increment(&self.stats.removed_rows, count),
                _ => return,
            }
            limit = REMOVE_BATCH_ROWS;
            time::sleep(REMOVE_INTERVAL).await;
        }
    }
}
