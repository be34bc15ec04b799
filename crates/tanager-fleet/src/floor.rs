//! Availability of a pool and the check of its floor (rule R1).

use std::collections::BTreeSet;

use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::fleet::VmRecord;
use tanager_protocol::ids::VmId;

/// Number of VMs of a pool that are active, reported as up and not suspected.
pub fn available_vms(state: &FleetState, pool: &str, suspects: &BTreeSet<VmId>) -> u32 {
    count_available(state, pool, suspects, None)
}

/// Whether a VM is active, reported as up and not suspected.
pub(crate) fn is_available(vm: &str, record: &VmRecord, suspects: &BTreeSet<VmId>) -> bool {
    record.activity == VmActivity::Active && record.health == VmHealth::Up && !suspects.contains(vm)
}

/// Checks that planned work may take a VM out of service.
///
/// The other available VMs must reach the floor. This also applies to a VM that is down: it does
/// not count as available, but planned work would keep it out of service after it recovers.
///
/// # Errors
///
/// [`ErrorKind::Refused`] if the pool would be below its floor.
pub(crate) fn check_floor(
    state: &FleetState,
    vm: &str,
    pool: &str,
    suspects: &BTreeSet<VmId>,
) -> TanagerResult<()> {
    let floor = state.document.pools.get(pool).map_or(0, |pool| pool.floor);
    let others = count_available(state, pool, suspects, Some(vm));
    if others >= floor {
        return Ok(());
    }
    Err(TanagerError::new(
        ErrorKind::Refused,
        "check",
        vm,
        format!("pool {pool} would have {others} available VMs, its floor is {floor}"),
    ))
}

fn count_available(
    state: &FleetState,
    pool: &str,
    suspects: &BTreeSet<VmId>,
    excluded: Option<&str>,
) -> u32 {
    let count = state
        .vms
        .iter()
        .filter(|(vm, record)| {
            record.pool == pool
                && excluded != Some(vm.as_str())
                && is_available(vm, record, suspects)
        })
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}
