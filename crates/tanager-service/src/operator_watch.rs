//! Reads the operator's table: configurations and waves.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use tanager_site::fleet::CONFIG_KEY;
use tanager_site::fleet::OPERATOR_TABLE;
use tanager_site::fleet::WAVE_PREFIX;
use tanager_site::fleet::decode_config_with_adjustments;
use tanager_site::fleet::decode_wave;
use tanager_site::store::TableRow;
use tokio::time;

use crate::config_report;
use crate::context::NodeContext;
use crate::copied_reads::CopyReader;
use crate::copied_reads::PeerRead;
use crate::copy_sources::CopyStatus;
use crate::table_watch::READ_PERIOD;
use crate::table_watch::TableRead;
use crate::table_watch::WatchedTable;

/// Interval between a failed read and the next one while calls to the store are relayed: peers answer from
/// memory. It also holds in a deployment with workspaces: a withdrawn key must be refused within 2 s.
const RETRY_PERIOD: Duration = Duration::from_millis(150);

impl NodeContext {
    /// Waits shortly for a read of the configuration if this process was suspended: requests that
    /// arrived meanwhile may have keys that were withdrawn. Without workspaces it never waits.
    pub(crate) async fn wait_for_config_read(&self) {
        let now = self.clock.now();
        if self.config_reads.is_stalled(now) && self.has_workspaces() {
            self.config_reads.read_since(now).await;
        }
    }

    /// Returns whether requests are refused because other nodes have had a newer configuration for too long.
    pub(crate) fn is_config_behind(&self) -> bool {
        let limit = self.settings.durations.config_limit;
        self.config_reads.is_behind(self.clock.now(), limit)
    }

    /// Returns whether the configuration in force has workspaces.
    pub(crate) fn has_workspaces(&self) -> bool {
        let view = self.view();
        (view.config.as_ref()).is_some_and(|config| config.workspaces.is_some())
    }

    /// Returns whether keys are refused because the configuration is unverified for too long.
    fn refuses_keys(&self) -> bool {
        let limit = self.settings.features.revocation_limit;
        let age = self.config_reads.verified_age(self.clock.now());
        limit.is_some_and(|limit| age.is_none_or(|age| age > limit)) && self.has_workspaces()
    }
}

/// Reads the table regularly, and at once when a request asks for it.
pub(crate) async fn watch_operator(context: Arc<NodeContext>) -> Infallible {
    let mut table = WatchedTable::new(OPERATOR_TABLE, true);
    let mut copies = CopyReader::default();
    let mut had_refused_keys = false;
    loop {
        let is_successful = read_operator_rows(&context, &mut table, &mut copies).await;
        let refuses_keys = context.refuses_keys();
        if refuses_keys != had_refused_keys {
            had_refused_keys = refuses_keys;
            let age = (context.config_reads).verified_age(context.clock.now());
            log::warn!("event=config_unverified refuses_keys={refuses_keys} age={age:?}");
        }
        let is_urgent = context.has_workspaces() || context.store_access.is_relaying();
        let pause = match !is_successful && is_urgent {
            true => RETRY_PERIOD,
            false => READ_PERIOD,
        };
        let _ = time::timeout(pause, context.config_reads.requested.notified()).await;
    }
}

/// Reads the table from a peer or from the store, and applies what is new. Returns whether that succeeded.
async fn read_operator_rows(
    context: &Arc<NodeContext>,
    table: &mut WatchedTable,
    copies: &mut CopyReader,
) -> bool {
    let started = context.clock.now();
    if let Some(read) = copies.read(context, table.version()).await {
        let status = read.status;
        apply_peer_read(context, table, read, started);
        if status != CopyStatus::Outdated {
            return status == CopyStatus::Current;
        }
    }
    let started = context.clock.now();
    let after = table.version();
    let read = tokio::select! {
        read = table.read(context) => read,
        read = copies.overtake(context, after) => {
            let status = read.status;
            apply_peer_read(context, table, read, started);
            return status == CopyStatus::Current;
        }
    };
    let is_successful = read.is_some();
    if let Some(read) = read {
        let (rows, is_full) = match read {
            TableRead::Full(rows) => (rows, true),
            TableRead::Changed(rows) => (rows, false),
        };
        apply_rows(context, &rows, started);
        let mut copy = context.operator_copy();
        if is_full {
            copy.clear();
        }
        copy.record(rows, table.version(), started);
    }
    context.config_reads.record(started, is_successful);
    is_successful
}

/// Applies what a peer has read.
fn apply_peer_read(
    context: &Arc<NodeContext>,
    table: &mut WatchedTable,
    read: PeerRead,
    started: Duration,
) {
    let PeerRead {
        copy,
        complete_at,
        status,
    } = read;
    let is_current = status == CopyStatus::Current;
    table.advance(copy.version, is_current.then(|| context.clock.now()));
    apply_rows(context, &copy.rows, started);
    (context.operator_copy()).record(copy.rows, copy.version, complete_at);
    context.config_reads.record(complete_at, true);
}

fn apply_rows(context: &Arc<NodeContext>, rows: &[TableRow], started: Duration) {
    for row in rows {
        apply_operator_row(context, row, started);
    }
}

/// Applies a row of a read that began at `started`.
fn apply_operator_row(context: &Arc<NodeContext>, row: &TableRow, started: Duration) {
    let key = &row.name.key;
    if row.deleted {
        context.skipped_rows.forget(OPERATOR_TABLE, key);
        return;
    }
    let result = if row.name.key == CONFIG_KEY {
        decode_config_with_adjustments(&row.value).map(|(config, adjustments)| {
            let version = config.version;
            let is_applied = context.view().apply_config(config);
            if is_applied {
                context.queue_pools.request_read();
                context
                    .config_reads
                    .record_version(version, context.clock.now());
                log::info!(
                    "event=config_taken version={version} row={} bytes={} after={:?}",
                    row.version,
                    row.value.len(),
                    context.clock.now().saturating_sub(started)
                );
                config_report::log_findings(context, &adjustments);
                for cell in context.cells() {
                    cell.sync_queues();
                    cell.sync_workers();
                }
            }
        })
    } else if row.name.key.starts_with(WAVE_PREFIX) {
        decode_wave(&row.name.key, &row.value).map(|wave| {
            log::info!(
                "event=wave_seen wave={} vms={}",
                wave.wave,
                wave.machines.len()
            );
            let seen_ms = context.clock.wall_ms();
            let mut view = context.view();
            view.waves_seen_ms.entry(wave.wave).or_insert(seen_ms);
            view.waves.insert(wave.wave, wave);
        })
    } else {
        Ok(())
    };
    match result {
        Ok(()) => context.skipped_rows.forget(OPERATOR_TABLE, key),
        Err(error) => context.skip_row(OPERATOR_TABLE, key, row.version, &error),
    }
}
