//! Steps for whose tasks the workers of the cell have no room; see `merging`.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;

use crate::core::CellCore;
use crate::core::StepKey;
use crate::job::JobEntry;
use crate::job::StepEntry;
use crate::job::TaskPhase;
use crate::merging;
use crate::merging::UnheldStep;
use crate::merging::WorkerRoom;
use crate::worker::WorkerKey;
use crate::worker::WorkerSlot;

/// Time after which a refused step no longer counts; its clients retry after five seconds.
const REFUSAL_MEMORY: Duration = Duration::from_secs(12);
/// Maximum number of different refused steps that are remembered.
const MAX_REFUSED_STEPS: usize = 16;

/// Since when steps have found no room.
#[derive(Debug, Default)]
pub(crate) struct UnheldSteps {
    since: BTreeMap<StepKey, Duration>,
    refused: Vec<RefusedStep>,
}

/// A step that no worker of the cell can run, of jobs that were refused for that reason.
#[derive(Debug)]
struct RefusedStep {
    step: StepSpec,
    first_at: Duration,
    last_at: Duration,
}

impl RefusedStep {
    fn needs_same_worker(&self, step: &StepSpec) -> bool {
        self.step.requirement == step.requirement && self.step.reserved() == step.reserved()
    }
}

impl CellCore {
    /// Returns how many tasks of a step, of which none runs here, the workers of the cell could hold.
    pub fn room_for_step(&self, step: &StepSpec, now: Duration) -> u32 {
        let rooms = self.worker_rooms(now);
        merging::room_for(step, rooms.into_iter().map(|(_, room)| room))
    }

    /// Returns the steps for whose tasks the workers of the cell have no room, the one that has
    /// waited longest first. Called regularly, because it also observes since when that is so.
    pub fn unheld_steps(&mut self, now: Duration) -> Vec<UnheldStep> {
        (self.unheld.refused)
            .retain(|refused| now.saturating_sub(refused.last_at) < REFUSAL_MEMORY);
        let mut unheld = Vec::new();
        let mut since = BTreeMap::new();
        // In a surge hundreds of steps wait, so what the workers run is looked at only once.
        let rooms = self.worker_rooms(now);
        for key in &self.ready {
            let Some((step, missing)) = self.missing_room(*key, &rooms) else {
                continue;
            };
            let first = self.unheld.since.get(key).copied().unwrap_or(now);
            since.insert(*key, first);
            unheld.push(UnheldStep {
                step: step.clone(),
                missing,
                waited: now.saturating_sub(first),
            });
        }
        for refused in &self.unheld.refused {
            if merging::room_for(&refused.step, rooms.iter().map(|(_, room)| *room)) == 0 {
                unheld.push(UnheldStep {
                    step: refused.step.clone(),
                    missing: 1,
                    waited: now.saturating_sub(refused.first_at),
                });
            }
        }
        self.unheld.since = since;
        unheld.sort_by_key(|step| std::cmp::Reverse(step.waited));
        unheld
    }

    /// Records that a job was refused because no worker of the cell can run a task of a step.
    pub(crate) fn record_refused_step(&mut self, step: &StepSpec, now: Duration) {
        let refused = &mut self.unheld.refused;
        if let Some(known) = refused
            .iter_mut()
            .find(|known| known.needs_same_worker(step))
        {
            known.last_at = now;
        } else if refused.len() < MAX_REFUSED_STEPS {
            refused.push(RefusedStep {
                step: step.clone(),
                first_at: now,
                last_at: now,
            });
        }
    }

    /// Returns a step with the number of its tasks that lack room; `None` if there is room.
    fn missing_room(
        &self,
        key: StepKey,
        rooms: &[(WorkerKey, WorkerRoom<'_>)],
    ) -> Option<(&StepSpec, u32)> {
        let job = self.jobs.get(&key.0)?;
        let entry = self.step(key)?;
        let spec = job.record.spec.steps.get(usize::from(key.2))?;
        let has_runs = !spec.long_running && has_runs(job);
        if has_runs && !spec.gang {
            return None;
        }
        let used = match spec.anti_affinity {
            0 => HashMap::new(),
            _ => used_workers(entry),
        };
        let rooms = (rooms.iter())
            .filter(|(worker, _)| !entry.advice.is_refused(*worker))
            .map(|(worker, room)| WorkerRoom {
                tasks_of_step: used.get(worker).copied().unwrap_or(0),
                ..*room
            });
        let room = merging::room_for(spec, rooms);
        let missing = merging::missing_room(spec, entry.idle, room, has_runs);
        (missing > 0).then_some((spec, missing))
    }

    /// Returns what long-running tasks leave of the workers that respond and do not leave.
    fn worker_rooms(&self, now: Duration) -> Vec<(WorkerKey, WorkerRoom<'_>)> {
        (self.workers.iter())
            .filter(|(_, worker)| !worker.entry.draining && worker.responded_recently(now))
            .map(|(key, worker)| {
                let room = WorkerRoom {
                    labels: &worker.entry.labels,
                    free: worker.entry.capacity.minus(&self.long_running_use(worker)),
                    tasks_of_step: 0,
                };
                (key, room)
            })
            .collect()
    }

    pub(crate) fn long_running_use(&self, worker: &WorkerSlot) -> ResourceAmount {
        (worker.runs.iter())
            .filter(|(task, _)| self.spec(**task).is_some_and(|spec| spec.long_running))
            .fold(ResourceAmount::default(), |sum, (_, run)| {
                sum.plus(&run.amount)
            })
    }
}

/// Returns whether a task of a job is placed.
fn has_runs(job: &JobEntry) -> bool {
    (job.occurrences.values())
        .flat_map(|occurrence| &occurrence.steps)
        .flat_map(|step| &step.tasks)
        .any(|task| matches!(task.phase, TaskPhase::Placed(_)))
}

fn used_workers(step: &StepEntry) -> HashMap<WorkerKey, u32> {
    let mut used = HashMap::new();
    for task in &step.tasks {
        if let TaskPhase::Placed(worker) = task.phase {
            *used.entry(worker).or_default() += 1;
        }
    }
    used
}
