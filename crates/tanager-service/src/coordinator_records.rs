//! Rows of the coordinator: progress of waves, home pools of VMs, and the status of waves for the
//! operator.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use tanager_jobs::WaveRecord;
use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::VmName;
use tanager_jobs::record::decode_record;
use tanager_jobs::record::encode_record;
use tanager_protocol::error::TanagerResult;
use tanager_site::fleet::STATUS_TABLE;
use tanager_site::fleet::WAVE_PREFIX;
use tanager_site::fleet::encode_wave_status;
use tanager_site::store::ChangeResult;
use tanager_site::store::TableChange;

use crate::cell::CellHandle;
use crate::order_gate::MACHINE_TIMEOUT;
use crate::order_gate::change_as_coordinator;
use crate::records::COORDINATOR_CELL;
use crate::records::cell_row;
use crate::records::unpartitioned_row;

/// Table of waves; the part is the coordinator's cell, the key is the wave's number.
pub(crate) const WAVE_TABLE: &str = "wave";

/// Table of the home pools of moved VMs; the part is the coordinator's cell, the key is the VM.
pub(crate) const HOME_TABLE: &str = "home";

/// Stored home pool of a VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HomeRecord {
    /// Pool that the VM belongs to.
    pub(crate) pool: PoolName,
}

pub(crate) async fn read_homes(cell: &CellHandle) -> TanagerResult<BTreeMap<VmName, PoolName>> {
    let store = &cell.context.store;
    let (rows, _) = store
        .all_rows(HOME_TABLE, COORDINATOR_CELL, MACHINE_TIMEOUT)
        .await?;
    let mut homes = BTreeMap::new();
    for row in rows {
        let key = row.name.key;
        match decode_record::<HomeRecord>(&key, &row.value) {
            Ok(record) => _ = homes.insert(key, record.pool),
            Err(error) => {
                let problem = error.to_string();
                cell.context
                    .skip_row(HOME_TABLE, &key, row.version, &problem);
            }
        }
    }
    Ok(homes)
}

pub(crate) async fn read_wave(cell: &CellHandle, wave: u64) -> TanagerResult<WaveRecord> {
    let store = &cell.context.store;
    let key = wave.to_string();
    let page = store
        .rows(WAVE_TABLE, COORDINATOR_CELL, Some(&key), MACHINE_TIMEOUT)
        .await?;
    let Some(row) = page.rows.iter().find(|row| row.name.key == key) else {
        return Ok(WaveRecord::default());
    };
    // Without its progress the wave begins anew: the platform accepts repeated orders, and counts VMs that
    // it lists in maintenance.
    Ok(decode_record(&key, &row.value).unwrap_or_else(|error| {
        let problem = error.to_string();
        cell.context
            .skip_row(WAVE_TABLE, &key, row.version, &problem);
        WaveRecord::default()
    }))
}

/// Stores the progress of a wave; returns whether it is stored.
pub(crate) async fn write_wave(cell: &CellHandle, wave: u64, record: &WaveRecord) -> bool {
    let Ok(value) = encode_record(record) else {
        return false;
    };
    let row = cell_row(WAVE_TABLE, COORDINATOR_CELL, &wave.to_string());
    let change = TableChange {
        puts: vec![(row, value)],
        ..TableChange::default()
    };
    match change_as_coordinator(cell, change).await {
        Ok(ChangeResult::Committed(_)) => true,
        other => {
            log::info!("event=wave_not_noted wave={wave} result={other:?}");
            false
        }
    }
}

pub(crate) async fn report_running(cell: &CellHandle, wave: u64) -> TanagerResult<()> {
    let row = unpartitioned_row(STATUS_TABLE, &format!("{WAVE_PREFIX}{wave}"));
    let change = TableChange {
        // Only if there is no row yet: a late write must not overwrite the completion.
        expect: vec![(row.clone(), 0)],
        puts: vec![(row, encode_wave_status(wave, false))],
        removals: Vec::new(),
    };
    cell.context.store.change(&change, MACHINE_TIMEOUT).await?;
    Ok(())
}

pub(crate) async fn report_completed(
    cell: &CellHandle,
    wave: u64,
    record: &WaveRecord,
) -> TanagerResult<()> {
    let row = unpartitioned_row(STATUS_TABLE, &format!("{WAVE_PREFIX}{wave}"));
    let change = TableChange {
        puts: vec![(row, encode_wave_status(wave, true))],
        ..TableChange::default()
    };
    cell.context.store.change(&change, MACHINE_TIMEOUT).await?;
    write_wave(cell, wave, record).await;
    Ok(())
}
