//! Cells in the model: jobs and workers are divided among them by number. The second cell is merged into
//! the first one when a step finds no room, or at a random time.

use std::time::Duration;

use rand::RngExt;
use tanager_jobs::JobId;
use tanager_jobs::WorkerEntry;
use tanager_schedule::merging::MERGE_DELAY;

use super::rejections::Marks;
use super::world::World;

/// Interval between an owner's checks for steps without room.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Mean time until a merge that no step needs.
const MERGE_EVERY: Duration = Duration::from_secs(8);
/// Time at which a worker leaves.
const LEAVE_AT: Duration = Duration::from_secs(6);

/// Rows of a cell in the store.
#[derive(Default)]
pub(crate) struct ModelCell {
    pub(crate) owner_token: u64,
    pub(crate) ledger_workers: Vec<WorkerEntry>,
    pub(crate) marks: Marks,
    /// Whether the owner row says that the owner may not have outlasted an unresponsive predecessor.
    pub(crate) awaits_predecessor: bool,
    /// Whether the owner row says that the cell was merged into the first one.
    pub(crate) is_merged: bool,
    checked_at: Duration,
}

impl World {
    pub(crate) fn home_of_job(&self, id: JobId) -> usize {
        id.0 as usize % self.cells.len()
    }

    /// Returns the cell that has a job.
    pub(crate) fn cell_of_job(&self, id: JobId) -> usize {
        self.successor(self.home_of_job(id))
    }

    /// Returns the cell that has a worker.
    pub(crate) fn cell_of_worker(&self, number: usize) -> usize {
        self.successor(number % self.cells.len())
    }

    pub(crate) fn home_of_entry(&self, entry: &WorkerEntry) -> usize {
        let number = (self.workers.iter()).position(|worker| worker.id == entry.worker);
        number.unwrap_or(0) % self.cells.len()
    }

    fn successor(&self, home: usize) -> usize {
        match self.cells[home].is_merged {
            true => 0,
            false => home,
        }
    }

    /// Returns the cells whose jobs and workers a cell has.
    pub(crate) fn homes(&self, cell: usize) -> Vec<usize> {
        let homes = 0..self.cells.len();
        homes.filter(|home| self.successor(*home) == cell).collect()
    }

    /// Returns whether an owner is the one that the row of its cell names.
    pub(crate) fn is_current(&self, number: usize) -> bool {
        let owner = &self.owners[number];
        let cell = &self.cells[owner.cell];
        owner.token == cell.owner_token && !cell.is_merged
    }

    /// Returns a cell that was not merged.
    pub(crate) fn random_cell(&mut self) -> usize {
        match self.cells.len() {
            1 => 0,
            count => {
                let home = self.rng.random_range(0..count);
                self.successor(home)
            }
        }
    }

    /// Lets a worker leave, and merges the cells if a step finds no room or at a random time.
    pub(crate) fn step_merges(&mut self) {
        let has_left = self.restart_times.values().any(|at| *at == Duration::MAX);
        if self.plan.leaves && !has_left && self.now >= LEAVE_AT {
            let leaving = self.rng.random_range(0..self.workers.len());
            self.trace(|| format!("worker {leaving} leaves"));
            self.take_down(leaving, false);
            self.restart_times.insert(leaving, Duration::MAX);
        }
        if self.cells.len() == 1 || self.cells[1].is_merged || self.now < self.store_down_until {
            return;
        }
        let is_random = self.plan.merges && self.chance_every(MERGE_EVERY);
        if is_random || self.needs_merge(0) || self.needs_merge(1) {
            self.merge();
        }
    }

    fn needs_merge(&mut self, cell: usize) -> bool {
        let now = self.now;
        if now.saturating_sub(self.cells[cell].checked_at) < CHECK_PERIOD {
            return false;
        }
        self.cells[cell].checked_at = now;
        let Some(owner) = self.current(cell) else {
            return false;
        };
        let is_able = owner.alive
            && now >= owner.frozen_until.max(owner.busy_until)
            && !owner.core.is_recovering();
        let unheld = owner.core.unheld_steps(now);
        is_able && unheld.iter().any(|step| step.waited >= MERGE_DELAY)
    }

    /// The owner of the second cell releases it into the first one, whose owner loads both at once, or
    /// when it next reads the owner rows.
    fn merge(&mut self) {
        if !self.release(1) {
            return;
        }
        self.trace(|| "the second cell is merged into the first one".to_owned());
        self.cells[1].is_merged = true;
        if self.rng.random_bool(0.5) {
            self.hand_over(0);
        }
    }

    /// An owner loads its cell again, with the cell that was merged into it.
    pub(crate) fn reload(&mut self, number: usize) {
        let cell = self.owners[number].cell;
        self.hand_over(cell);
    }
}
