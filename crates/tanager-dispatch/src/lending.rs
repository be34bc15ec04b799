//! Lending of idle slots to batch work of other pools, and its preemption.

use std::time::Duration;

use tanager_protocol::ids::PoolId;

/// Load of one pool, in slots. A worker that uses more slots than its current limit counts with the
/// limit, so that its excess does not hide idle slots of other workers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// The pool.
    pub pool: PoolId,
    /// Slots of the workers that accept work.
    pub capacity: u32,
    /// Slots in use by the pool's own work.
    pub used: u32,
    /// Slots that the pool's own waiting work needs.
    pub waiting: u32,
    /// Slots in use by work of other pools.
    pub lent: u32,
    /// Part of `waiting` that is batch work, which may run in other pools under a lease.
    pub waiting_batch: u32,
    /// Slots kept free for arrivals during a preemption; see [`lending_headroom`].
    pub headroom: u32,
}

/// Slots of one pool lent to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotLoan {
    /// Pool whose slots are idle.
    pub lender: PoolId,
    /// Pool whose batch work uses them.
    pub borrower: PoolId,
    /// Number of slots.
    pub slots: u32,
}

/// Slots that new arrivals need while lent slots are being preempted: the arrival rate in slots per
/// second times the time that the fastest preemption takes.
pub fn lending_headroom(arrivals: f64, preemption: Duration) -> u32 {
    let slots = (arrivals * preemption.as_secs_f64()).ceil().clamp(0.0, 1e6);
    // Within 0 to 1,000,000 by the line above.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let slots = slots as u32;
    slots
}

/// Plans new loans. Each idle slot goes to the borrower that has received the fewest so far, so
/// that a flood of batch work in one pool does not use up all lent slots.
pub fn plan_loans(pools: &[PoolLoad]) -> Vec<SlotLoan> {
    let mut demand: Vec<u32> = pools.iter().map(|load| load.waiting_batch).collect();
    let mut received = vec![0_u32; pools.len()];
    let mut loans: Vec<SlotLoan> = Vec::new();
    for (lender, load) in pools.iter().enumerate() {
        let occupied = load
            .used
            .saturating_add(load.waiting)
            .saturating_add(load.lent)
            .saturating_add(load.headroom);
        for _ in 0..load.capacity.saturating_sub(occupied) {
            let borrower = (0..pools.len())
                .filter(|index| *index != lender && demand[*index] > 0)
                .min_by_key(|index| (received[*index], *index));
            let Some(borrower) = borrower else {
                break;
            };
            demand[borrower] -= 1;
            received[borrower] += 1;
            let name = &pools[borrower].pool;
            match loans
                .iter_mut()
                .find(|loan| loan.lender == load.pool && loan.borrower == *name)
            {
                Some(loan) => loan.slots += 1,
                None => loans.push(SlotLoan {
                    lender: load.pool.clone(),
                    borrower: name.clone(),
                    slots: 1,
                }),
            }
        }
    }
    loans
}

/// A task that runs on a lent slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LentTask {
    /// Lease of the task.
    pub lease: u64,
    /// Slots that the task uses.
    pub slots: u32,
    /// Work since its last checkpoint, which a stop would lose.
    pub unsaved_work: Duration,
    /// Time that a checkpoint takes; `None` if the task cannot be checkpointed.
    pub checkpoint_time: Option<Duration>,
    /// Whether throttling it frees its slots for the owner.
    pub can_throttle: bool,
}

/// How a lent task is preempted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PreemptionAction {
    /// Slow it down; it keeps its progress and continues when the owner's work is done.
    Throttle,
    /// Save its progress and end it.
    Checkpoint,
    /// End it and lose its unsaved work.
    Stop,
}

/// Plans which tasks are preempted, and how, to free `slots` for the owner within `time_left`, the
/// time until the owner's waiting work expires. Prefers the actions that lose the least work:
/// throttling, then a checkpoint that ends in time, then stopping the tasks with the least unsaved
/// work.
pub fn plan_preemption(
    tasks: &[LentTask],
    slots: u32,
    time_left: Duration,
) -> Vec<(u64, PreemptionAction)> {
    let choose_action = |task: &LentTask| match task.checkpoint_time {
        _ if task.can_throttle => PreemptionAction::Throttle,
        // A checkpoint that takes longer than redoing the unsaved work is not worthwhile.
        Some(time) if time <= time_left && time < task.unsaved_work => PreemptionAction::Checkpoint,
        _ => PreemptionAction::Stop,
    };
    let mut order: Vec<(PreemptionAction, &LentTask)> = tasks
        .iter()
        .map(|task| (choose_action(task), task))
        .collect();
    order.sort_by_key(|(action, task)| (*action, task.unsaved_work, task.lease));
    let mut freed = 0;
    let mut plan = Vec::new();
    for (action, task) in order {
        if freed >= slots {
            break;
        }
        freed += task.slots;
        plan.push((task.lease, action));
    }
    plan
}
