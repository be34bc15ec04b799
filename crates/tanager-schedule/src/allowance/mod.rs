//! Caps of workspaces over the cells of all owners.
//!
//! A workspace's cap limits what it runs on all workers of all pools, but each cell starts tasks on
//! its own. So one node, the allocator, divides each cap into limits for the cells. The cells
//! report their usage and demand, and the reply contains their limits. No type here performs I/O;
//! time, caps and the cells of the fleet are arguments.

pub mod division;
pub mod holder;
pub mod missing;
pub mod report;
pub mod request;
pub mod reservation;
pub mod table;

use std::time::Duration;

use tanager_jobs::ResourceAmount;

/// An amount of each resource: thousandths of a core, megabytes of memory, accelerators.
pub type Amounts = [u64; 3];

/// Returns the amounts of each resource.
pub fn amounts(amount: &ResourceAmount) -> Amounts {
    [amount.cpu, amount.memory_mb, amount.gpu]
}

/// Returns the sums.
pub fn add(left: &Amounts, right: &Amounts) -> Amounts {
    std::array::from_fn(|index| left[index].saturating_add(right[index]))
}

/// Returns the differences, with a minimum of zero.
pub fn subtract(left: &Amounts, right: &Amounts) -> Amounts {
    std::array::from_fn(|index| left[index].saturating_sub(right[index]))
}

/// Returns the larger amount of each resource.
pub fn larger(left: &Amounts, right: &Amounts) -> Amounts {
    std::array::from_fn(|index| left[index].max(right[index]))
}

/// Returns the smaller amount of each resource.
pub fn smaller(left: &Amounts, right: &Amounts) -> Amounts {
    std::array::from_fn(|index| left[index].min(right[index]))
}

/// Returns `count` times the amounts.
pub fn multiply(amounts: &Amounts, count: u64) -> Amounts {
    amounts.map(|amount| amount.saturating_mul(count))
}

/// Returns whether `amounts` is within `limit` in each resource that `cap` limits; a cap of 0 is
/// no limit.
pub fn is_within(amounts: &Amounts, limit: &Amounts, cap: &Amounts) -> bool {
    (0..3).all(|index| cap[index] == 0 || amounts[index] <= limit[index])
}

/// Returns whether `cap` is lower than `before` in any resource; 0 is no limit.
pub fn is_lowered(before: &Amounts, cap: &Amounts) -> bool {
    (0..3).any(|index| cap[index] > 0 && (before[index] == 0 || before[index] > cap[index]))
}

/// Returns the amounts with zero for resources that `cap` does not limit.
pub fn limited(amounts: &Amounts, cap: &Amounts) -> Amounts {
    std::array::from_fn(|index| match cap[index] {
        0 => 0,
        _ => amounts[index],
    })
}

/// Time for which a task waits before it is served first.
const FIRST_SERVICE_DELAY: Duration = Duration::from_millis(1_000);
/// Time for which it is then served first: most tasks last at most 2.1 s, and a job of the same
/// workspace must not be left without a running task for 3 s.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(2_500);
/// Interval between the beginnings of such times.
const FIRST_SERVICE_PERIOD: Duration = Duration::from_millis(7_000);

/// Returns whether a task that has been waiting for this long is served first: others of its
/// workspace do not use what becomes free. Otherwise a large task or gang would wait for as long as
/// there are small ones.
pub(crate) fn is_served_first(waiting_time: Duration) -> bool {
    let Some(time) = waiting_time.checked_sub(FIRST_SERVICE_DELAY) else {
        return false;
    };
    time.as_millis() % FIRST_SERVICE_PERIOD.as_millis() < FIRST_SERVICE_TIME.as_millis()
}
