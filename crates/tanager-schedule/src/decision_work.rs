//! Work of a cell's decisions, counted in the items that they look at.
//!
//! The counts do not depend on the machine, so a test can bound them, and a simulated owner can be
//! charged for them.

use std::cell::Cell;

/// Number of items that the decisions of a cell have looked at since it was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DecisionWork {
    /// Waiting steps that were ranked, or considered for a start.
    pub steps: u64,
    /// Checks of a step against the cap of its workspace.
    pub cap_checks: u64,
    /// Workers that were compared, for a task or to sum up what they have.
    pub workers: u64,
    /// Runs that were visited by scans and counts.
    pub runs: u64,
    /// Tasks of open jobs that were visited by counts.
    pub tasks: u64,
}

/// Counters behind [`DecisionWork`], which decisions that only read the cell count as well.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkCounters {
    work: Cell<DecisionWork>,
}

impl WorkCounters {
    /// Returns the counts.
    pub(crate) fn get(&self) -> DecisionWork {
        self.work.get()
    }

    pub(crate) fn add_steps(&self, count: usize) {
        self.update(|work| work.steps += count as u64);
    }

    pub(crate) fn add_cap_check(&self) {
        self.update(|work| work.cap_checks += 1);
    }

    pub(crate) fn add_workers(&self, count: usize) {
        self.update(|work| work.workers += count as u64);
    }

    pub(crate) fn add_runs(&self, count: usize) {
        self.update(|work| work.runs += count as u64);
    }

    pub(crate) fn add_tasks(&self, count: usize) {
        self.update(|work| work.tasks += count as u64);
    }

    fn update(&self, change: impl FnOnce(&mut DecisionWork)) {
        let mut work = self.work.get();
        change(&mut work);
        self.work.set(work);
    }
}
