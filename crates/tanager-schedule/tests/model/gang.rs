//! Gangs in the model: the members of a run make progress only while all of them run.

use std::collections::BTreeMap;

use tanager_jobs::EndCause;
use tanager_jobs::JobId;
use tanager_jobs::TaskKey;

use super::world::World;

/// Job, step and run number that identify the members of a gang.
type GangKey = (JobId, u16, u64);

impl World {
    /// Lets complete gangs make progress, and ends those that lost a member.
    pub(crate) fn step_gangs(&mut self) {
        let mut gangs: BTreeMap<GangKey, Vec<(usize, TaskKey)>> = BTreeMap::new();
        for (number, worker) in self.workers.iter().enumerate() {
            for (task, model_run) in worker
                .running
                .iter()
                .filter(|(_, model_run)| model_run.members > 0)
            {
                let key = (task.job, task.step, model_run.run);
                gangs.entry(key).or_default().push((number, *task));
            }
        }
        for members in gangs.into_values() {
            let model_run = &self.workers[members[0].0].running[&members[0].1];
            let (left, size) = (model_run.left, model_run.members as usize);
            let is_whole = members.len() == size;
            let checkpoint = model_run.checkpoint.clone();
            let differs = (members.iter())
                .any(|(number, task)| self.workers[*number].running[task].checkpoint != checkpoint);
            if is_whole && differs {
                let text =
                    format!("GANG: members of {members:?} resume from different checkpoints");
                self.record.violations.push(text);
            }
            for (number, task) in members {
                let worker = &mut self.workers[number];
                let Some(model_run) = worker.running.get_mut(&task) else {
                    continue;
                };
                if is_whole && !model_run.gang_running {
                    model_run.gang_running = true;
                    model_run.left = left;
                } else if !is_whole && model_run.gang_running {
                    worker.end(task, EndCause::GangMemberEnded);
                }
            }
        }
    }
}
