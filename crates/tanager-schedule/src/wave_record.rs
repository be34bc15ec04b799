//! Conversion between the progress of a maintenance wave and its stored record.

use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::WaveRecord;
use tanager_jobs::ids::VmName;

use crate::wave::MaintenanceStep;
use crate::wave::WaveTracker;

/// Terms of a wave from the operator's order and the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaveTerms {
    /// Number of the wave.
    pub wave: u64,
    /// Maximum number of VMs in maintenance at the same time.
    pub max_down: usize,
    /// Time within which the wave should be complete, from the first time at which the order was
    /// seen.
    pub duration: Duration,
    /// Duration of the maintenance of a VM.
    pub maintenance: Duration,
    /// First time at which this node saw the order, in milliseconds since 1970.
    pub seen_ms: u64,
}

impl WaveTracker {
    /// Continues a wave from its stored record, or starts it if the record is empty. Sets the end in
    /// the record if it has none.
    pub fn resume(
        terms: WaveTerms,
        names: impl IntoIterator<Item = String>,
        record: &mut WaveRecord,
        now: Duration,
        wall_ms: u64,
    ) -> Self {
        let duration_ms = terms.duration.as_millis() as u64;
        let own_end_ms = terms.seen_ms.min(wall_ms) + duration_ms;
        let is_old_record = record.end_ms.is_none();
        // The clocks of nodes differ: the earlier of two ends is the one to keep.
        let end_ms = record.end_ms.map_or(own_end_ms, |end| end.min(own_end_ms));
        record.end_ms = Some(end_ms);
        let mut tracker = Self::new(
            terms.wave,
            names,
            terms.max_down,
            terms.duration,
            terms.maintenance,
            now,
        );
        tracker.set_end(now + Duration::from_millis(end_ms.saturating_sub(wall_ms)));
        let begun: BTreeSet<&VmName> = (record.begun.iter())
            .chain(record.accepted_ms.keys())
            .collect();
        for vm in begun {
            let step = match record.accepted_ms.get(vm) {
                Some(since_ms) => {
                    let age = Duration::from_millis(wall_ms.saturating_sub(*since_ms));
                    MaintenanceStep::Accepted(now.saturating_sub(age))
                }
                // Earlier versions stored no times.
                None if is_old_record => MaintenanceStep::Accepted(now),
                None => MaintenanceStep::Done,
            };
            tracker.set_step(vm, step);
            // The time without a coordinator is no part of the outage.
            if let Some(entry) = tracker.vms.get_mut(vm) {
                entry.ordered_at = None;
            }
        }
        for vm in &record.ordered {
            if !record.begun.contains(vm) && !record.accepted_ms.contains_key(vm) {
                tracker.restore_possible_order(vm, now);
            }
        }
        tracker
    }

    /// Returns the record to store, which keeps the end of `previous`.
    pub fn record(&self, previous: &WaveRecord, now: Duration, wall_ms: u64) -> WaveRecord {
        let mut record = WaveRecord {
            end_ms: previous.end_ms,
            completed: previous.completed,
            ..WaveRecord::default()
        };
        for (vm, entry) in &self.vms {
            match entry.step {
                MaintenanceStep::Done => {
                    record.begun.insert(vm.clone());
                }
                MaintenanceStep::Accepted(since) => {
                    // Keeps the stored time: the clocks' rates differ, which would change the row
                    // in each step.
                    let since_ms = previous.accepted_ms.get(vm).copied().unwrap_or_else(|| {
                        wall_ms.saturating_sub(now.saturating_sub(since).as_millis() as u64)
                    });
                    record.accepted_ms.insert(vm.clone(), since_ms);
                }
                MaintenanceStep::Draining(_) | MaintenanceStep::Ordered(_) => {
                    record.ordered.insert(vm.clone());
                }
                MaintenanceStep::Waiting
                | MaintenanceStep::Preparing(_)
                | MaintenanceStep::Gone => {}
            }
        }
        record
    }
}
