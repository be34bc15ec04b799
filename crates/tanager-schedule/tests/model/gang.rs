//! Gangs in the model: the members of a run work only while all of them are there.

use std::collections::BTreeMap;

use tanager_jobs::EndCause;
use tanager_jobs::JobId;
use tanager_jobs::TaskKey;

use super::world::World;

/// Job, step and run of the members that belong together.
type GangKey = (JobId, u16, u64);

impl World {
    /// Lets complete gangs work, and ends those that lost a member.
    pub(crate) fn step_gangs(&mut self) {
        let mut gangs: BTreeMap<GangKey, Vec<(usize, TaskKey)>> = BTreeMap::new();
        for (number, worker) in self.workers.iter().enumerate() {
            for (task, held) in worker.running.iter().filter(|(_, held)| held.members > 0) {
                let key = (task.job, task.step, held.run);
                gangs.entry(key).or_default().push((number, *task));
            }
        }
        for members in gangs.into_values() {
            let held = &self.workers[members[0].0].running[&members[0].1];
            let (left, size) = (held.left, held.members as usize);
            let is_whole = members.len() == size;
            let checkpoint = held.checkpoint.clone();
            let differs = (members.iter())
                .any(|(number, task)| self.workers[*number].running[task].checkpoint != checkpoint);
            if is_whole && differs {
                let text =
                    format!("GANG: members of {members:?} resume from different checkpoints");
                self.record.violations.push(text);
            }
            for (number, task) in members {
                let worker = &mut self.workers[number];
                let Some(held) = worker.running.get_mut(&task) else {
                    continue;
                };
                if is_whole && !held.together {
                    held.together = true;
                    held.left = left;
                } else if !is_whole && held.together {
                    worker.end(task, EndCause::GangMemberEnded);
                }
            }
        }
    }
}
