//! Memory of the jobs of a cell beside the budget of their owner: which jobs are accepted, and which occurrences are
//! opened.

use std::collections::HashMap;
use std::time::Duration;

use tanager_jobs::JobId;

use crate::memory_cost::JobCost;

/// Time after which a refused job may be sent again. Memory is free again when jobs have ended and their status is
/// forgotten.
const RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time after which a job that was admitted but not stored reserves no memory any more.
const RESERVATION_LIMIT: Duration = Duration::from_secs(30);
/// Share of the budget up to which a job opens more than one occurrence, in eighths; the rest is for other jobs.
const FURTHER_EIGHTHS: u64 = 6;

/// Decision whether the memory of a cell allows a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryDecision {
    /// There is room, which is reserved until the job is stored.
    Accept,
    /// There is no room at present; retry after this time.
    Full(Duration),
    /// The job alone needs more than the whole budget. Both in bytes.
    Never {
        /// Memory that the job needs.
        needed: u64,
        /// Budget.
        budget: u64,
    },
}

/// What a job takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct JobCharge {
    /// Bytes of the job and of its open occurrences.
    used: u64,
    /// The same, with at least one occurrence.
    reserved: u64,
    /// Number of open occurrences.
    open: usize,
}

/// Memory of the jobs of a cell, in bytes.
#[derive(Debug)]
pub(crate) struct CellMemory {
    budget: u64,
    total: JobCharge,
    /// Jobs that were admitted and are being stored.
    pending: HashMap<JobId, (u64, Duration)>,
}

impl Default for CellMemory {
    fn default() -> Self {
        Self {
            budget: u64::MAX,
            total: JobCharge::default(),
            pending: HashMap::new(),
        }
    }
}

impl JobCharge {
    /// Returns what an open job with `open` open occurrences takes.
    pub(crate) fn of_open(cost: &JobCost, open: usize) -> Self {
        Self {
            used: cost.job + open as u64 * cost.occurrence,
            reserved: cost.job + open.max(1) as u64 * cost.occurrence,
            open,
        }
    }

    /// Returns what an ended job takes.
    pub(crate) fn of_ended(cost: &JobCost) -> Self {
        Self {
            used: cost.ended,
            reserved: cost.ended,
            open: 0,
        }
    }
}

impl CellMemory {
    /// Sets the memory that the jobs may take.
    pub(crate) fn set_budget(&mut self, budget: u64) {
        self.budget = budget;
    }

    /// Returns the memory that is reserved, for jobs that are being stored as well, and the budget.
    pub(crate) fn reserved(&self) -> (u64, u64) {
        let pending: u64 = self.pending.values().map(|(bytes, _)| bytes).sum();
        (self.total.reserved + pending, self.budget)
    }

    /// Decides whether there is room for a job that is otherwise admitted, and reserves it.
    pub(crate) fn reserve(&mut self, id: JobId, cost: &JobCost, now: Duration) -> MemoryDecision {
        (self.pending).retain(|_, (_, at)| now.saturating_sub(*at) < RESERVATION_LIMIT);
        let needed = cost.minimum();
        let (reserved, budget) = self.reserved();
        if needed > budget {
            return MemoryDecision::Never { needed, budget };
        }
        if reserved.saturating_add(needed) > budget {
            return MemoryDecision::Full(RETRY_DELAY);
        }
        self.pending.insert(id, (needed, now));
        MemoryDecision::Accept
    }

    /// Ends the reservation of a job that was stored, or will not be.
    pub(crate) fn release(&mut self, id: JobId) {
        self.pending.remove(&id);
    }

    /// Records that a job takes another amount than before.
    pub(crate) fn replace(&mut self, before: JobCharge, after: JobCharge) {
        let total = &mut self.total;
        total.used = total.used + after.used - before.used;
        total.reserved = total.reserved + after.reserved - before.reserved;
        total.open = total.open + after.open - before.open;
    }

    /// Returns whether a job with `open` open occurrences may open another one of this size.
    pub(crate) fn may_open(&self, occurrence: u64, open: usize) -> bool {
        if open > 0 {
            let limit = (self.budget / 8).saturating_mul(FURTHER_EIGHTHS);
            return self.total.reserved.saturating_add(occurrence) <= limit;
        }
        // One occurrence of the cell is always open, or nothing would ever end.
        self.total.open == 0 || self.total.used.saturating_add(occurrence) <= self.budget
    }
}
