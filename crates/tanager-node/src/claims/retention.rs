//! Task that begins new generations and removes the rows of old ones.

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
use crate::claims::add;
use crate::claims::generation::ClaimGeneration;
use crate::claims::generation::GENERATION_KEY;
use crate::claims::generation::ROW_PREFIX;
use crate::claims::generation::row_generation;

/// Longest time between two reads of the generation.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// Checks in one retention time.
const CHECKS: u32 = 64;
/// Rows removed in one transaction.
const REMOVE_BATCH: usize = 64;
/// Time between removals: 640 rows/s with 10 writes/s and 10 reads/s of the store's several
/// hundred and 2,000.
const REMOVE_INTERVAL: Duration = Duration::from_millis(100);

/// Task that begins new generations and removes the rows of old ones.
///
/// Each node measures with its own clock how long it has seen the current generation; times of
/// different nodes are never compared. Only the home of the generation acts on it. Two homes are
/// harmless: an advance holds only for the version that was seen for the retention time.
pub(super) struct RetentionTask {
    pub(super) platform: Arc<PlatformClient>,
    pub(super) retention: Duration,
    pub(super) is_home: HomeCheck,
    pub(super) stats: Arc<ClaimStats>,
}

impl RetentionTask {
    /// Runs until it is aborted.
    pub(super) async fn run(self) {
        let interval = (self.retention / CHECKS).min(MAX_CHECK_INTERVAL);
        let mut seen: Option<(ClaimGeneration, Instant)> = None;
        loop {
            time::sleep(interval).await;
            // A lost response or an outage is resolved by the next read.
            let Ok(current) = ClaimGeneration::read(&self.platform).await else {
                continue;
            };
            let since = match seen {
                Some((generation, since)) if generation == current => since,
                // Taken after the read, so that the measured time is at most the true one.
                _ => Instant::now(),
            };
            seen = Some((current, since));
            if !(self.is_home)(GENERATION_KEY) {
                continue;
            }
            if since.elapsed() >= self.retention {
                let advance = self.platform.transact(&current.advance()).await;
                if let Ok(TransactionResult::Committed(_)) = advance {
                    log::info!("claims: generation {} began", current.number + 1);
                }
                continue;
            }
            self.remove_old_rows(current).await;
        }
    }

    /// Removes the rows that no insert and no read looks at any more. The rows of a generation
    /// that has ended twice are never written again, so the removal needs no conditions and may
    /// take effect late or twice.
    async fn remove_old_rows(&self, current: ClaimGeneration) {
        // Rows carry recorded responses, so a check that finds nothing to remove reads only one.
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
                Ok(TransactionResult::Committed(_)) => add(&self.stats.removed_rows, count),
                _ => return,
            }
            limit = REMOVE_BATCH;
            time::sleep(REMOVE_INTERVAL).await;
        }
    }
}
