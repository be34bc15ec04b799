//! Lending of idle slots to batch work of other pools, and its preemption.

use std::time::Duration;

use tanager_protocol::ids::PoolId;

/// Load of one pool, in slots. A worker that uses more than its present limit counts with the limit,
/// so that its excess does not hide idle slots of other workers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// The pool.
    pub pool: PoolId,
    /// Slots of the workers that receive work.
    pub capacity: u32,
    /// Slots in use by the pool's own work.
    pub used: u32,
    /// Slots that the pool's own waiting work needs.
    pub waiting: u32,
    /// Slots in use by work of other pools.
    pub lent: u32,
    /// Part of `waiting` that is batch work, which may run elsewhere under a lease.
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

/// Slots that arrive while lent slots are being taken back: the arrival rate in slots per second
/// times the time that the fastest preemption takes.
pub fn lending_headroom(arrivals: f64, preemption: Duration) -> u32 {
    let slots = (arrivals * preemption.as_secs_f64()).ceil().clamp(0.0, 1e6);
    // Within 0 to 1,000,000 by the line above.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let slots = slots as u32;
    slots
}

/// Decides new loans. Each idle slot goes to the borrower that has received least so far, so one
/// pool's batch flood does not take all lent slots.
pub fn plan_loans(pools: &[PoolLoad]) -> Vec<SlotLoan> {
    let mut wanted: Vec<u32> = pools.iter().map(|load| load.waiting_batch).collect();
    let mut received = vec![0_u32; pools.len()];
    let mut loans: Vec<SlotLoan> = Vec::new();
    for (lender, load) in pools.iter().enumerate() {
        let taken = load
            .used
            .saturating_add(load.waiting)
            .saturating_add(load.lent)
            .saturating_add(load.headroom);
        for _ in 0..load.capacity.saturating_sub(taken) {
            let borrower = (0..pools.len())
                .filter(|index| *index != lender && wanted[*index] > 0)
                .min_by_key(|index| (received[*index], *index));
            let Some(borrower) = borrower else {
                break;
            };
            wanted[borrower] -= 1;
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
    /// Slots it uses.
    pub slots: u32,
    /// Work since its last checkpoint, which a stop would lose.
    pub unsaved: Duration,
    /// Time that a checkpoint takes; `None` when the task cannot be checkpointed.
    pub checkpoint: Option<Duration>,
    /// Whether throttling it frees its slots for the owner.
    pub throttles: bool,
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

/// Decides which tasks free `slots` for the owner within `time_left`, the time that the owner's
/// waiting work has left. The step that loses least is taken: throttling, then a checkpoint that
/// ends in time, then a stop of the tasks with the least unsaved work.
pub fn plan_preemption(
    tasks: &[LentTask],
    slots: u32,
    time_left: Duration,
) -> Vec<(u64, PreemptionAction)> {
    let step = |task: &LentTask| match task.checkpoint {
        _ if task.throttles => PreemptionAction::Throttle,
        // A checkpoint that takes longer than the work it saves is a loss.
        Some(time) if time <= time_left && time < task.unsaved => PreemptionAction::Checkpoint,
        _ => PreemptionAction::Stop,
    };
    let mut order: Vec<(PreemptionAction, &LentTask)> =
        tasks.iter().map(|task| (step(task), task)).collect();
    order.sort_by_key(|(step, task)| (*step, task.unsaved, task.lease));
    let mut freed = 0;
    let mut plan = Vec::new();
    for (step, task) in order {
        if freed >= slots {
            break;
        }
        freed += task.slots;
        plan.push((task.lease, step));
    }
    plan
}
