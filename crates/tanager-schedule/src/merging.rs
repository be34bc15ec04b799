//! Decides when a cell needs the workers of another cell of its pool, and of which one.
//!
//! Load: a pool in which a step finds no worker in the cell of its job, because the step is wider than
//! the cell, because the cell's workers with its label have left, or because long-running tasks take
//! all of their room, while other cells of the pool have room. Such a step would wait for ever, as
//! neither its tasks nor those that take the room end. Two cells are then merged into one.

use std::time::Duration;

use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;

/// Time for which a step must have found no worker before its cell is merged with another one.
/// Longer than a move or the maintenance of a VM takes, after which its worker is back, and with the
/// time for the merge itself shorter than the 6 s after which users count a long-running task as
/// lost.
pub const MERGE_DELAY: Duration = Duration::from_millis(3_000);

/// What long-running tasks leave of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerRoom<'a> {
    /// Labels of the worker.
    pub labels: &'a [String],
    /// Resources that long-running tasks do not take. Other tasks end, so their room counts.
    pub free: ResourceAmount,
    /// Number of tasks of the step on the worker.
    pub tasks_of_step: u32,
}

/// A step for whose tasks the workers of its cell have no room.
#[derive(Clone, Debug, PartialEq)]
pub struct UnheldStep {
    /// Step.
    pub step: StepSpec,
    /// Number of tasks without room.
    pub missing: u32,
    /// Time for which this has been the case.
    pub waited: Duration,
}

/// Returns how many more tasks of a step workers could hold once all tasks that end have ended.
pub fn room_for<'a>(step: &StepSpec, workers: impl Iterator<Item = WorkerRoom<'a>>) -> u32 {
    let amount = step.reserved();
    let fitting = |free: u64, needed: u64| free.checked_div(needed).unwrap_or(u64::MAX);
    let room = workers
        .filter(|worker| {
            (step.requirement.as_ref()).is_none_or(|label| worker.labels.contains(label))
        })
        .map(|worker| {
            let tasks = fitting(worker.free.cpu, amount.cpu)
                .min(fitting(worker.free.memory_mb, amount.memory_mb))
                .min(fitting(worker.free.gpu, amount.gpu));
            match step.anti_affinity {
                0 => tasks,
                limit => tasks.min(u64::from(limit.saturating_sub(worker.tasks_of_step))),
            }
        })
        .fold(0u64, u64::saturating_add);
    u32::try_from(room).unwrap_or(u32::MAX)
}

/// Returns how many tasks of a step lack room. `idle` of its tasks wait, the cell's workers could hold
/// `room` more, and `has_runs` tells whether a task of the job runs.
///
/// Users count a job as lost while it has nothing running, and a long-running task while it does not
/// run. A gang runs as a whole or not at all.
pub fn missing_room(step: &StepSpec, idle: u32, room: u32, has_runs: bool) -> u32 {
    if step.gang {
        return match idle == step.count {
            true => step.count.saturating_sub(room),
            false => 0,
        };
    }
    match (step.long_running, has_runs) {
        (true, _) => idle.saturating_sub(room),
        (false, false) => u32::from(idle > 0 && room == 0),
        (false, true) => 0,
    }
}

/// Returns the position of the cell to merge with, given the room that each has for the step; `None`
/// if none has any. The one with the least room that suffices is preferred, because a cell with fewer
/// workers costs its owner less; if none suffices, the one with the most.
pub fn choose_sibling(missing: u32, rooms: &[u32]) -> Option<usize> {
    let useful = || (rooms.iter().enumerate()).filter(|(_, room)| **room > 0);
    let sufficient = useful()
        .filter(|(_, room)| **room >= missing)
        .min_by_key(|(position, room)| (**room, *position));
    let largest = || useful().max_by_key(|(position, room)| (**room, usize::MAX - *position));
    sufficient.or_else(largest).map(|(position, _)| position)
}
