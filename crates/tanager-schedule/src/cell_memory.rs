//! Memory of the jobs of a cell beside the budget of their owner: which jobs are accepted, and which occurrences are
//! opened.

use std::collections::HashMap;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;

use crate::core::CellCore;
use crate::job::JobEntry;
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
    fn of(job: &JobEntry) -> Self {
        let JobCost {
            job: own,
            ended,
            occurrence,
        } = job.cost;
        if job.is_ended() {
            return Self {
                used: ended,
                reserved: ended,
                open: 0,
            };
        }
        let open = job.occurrences.len();
        Self {
            used: own + open as u64 * occurrence,
            reserved: own + open.max(1) as u64 * occurrence,
            open,
        }
    }
}

impl CellMemory {
    fn replace(&mut self, before: JobCharge, after: JobCharge) {
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

impl CellCore {
    /// Sets the memory in bytes that the jobs of the cell may take.
    pub fn set_memory_budget(&mut self, budget: u64) {
        self.memory.budget = budget;
    }

    /// Returns the memory in bytes that is reserved for the jobs of the cell, and its budget.
    pub fn memory(&self) -> (u64, u64) {
        let pending: u64 = self.memory.pending.values().map(|(bytes, _)| bytes).sum();
        (self.memory.total.reserved + pending, self.memory.budget)
    }

    /// Decides whether the memory allows a job that is otherwise admitted, and reserves it until the job is stored or
    /// given up.
    pub fn reserve_memory(&mut self, record: &JobRecord, now: Duration) -> MemoryDecision {
        (self.memory.pending).retain(|_, (_, at)| now.saturating_sub(*at) < RESERVATION_LIMIT);
        let needed = JobCost::of(record).minimum();
        let (reserved, budget) = self.memory();
        if needed > budget {
            return MemoryDecision::Never { needed, budget };
        }
        if reserved.saturating_add(needed) > budget {
            return MemoryDecision::Full(RETRY_DELAY);
        }
        self.memory.pending.insert(record.id, (needed, now));
        MemoryDecision::Accept
    }

    /// Ends the reservation of a job that was stored, or will not be.
    pub(crate) fn release_memory(&mut self, id: JobId) {
        self.memory.pending.remove(&id);
    }

    /// Records what a job takes now.
    pub(crate) fn update_charge(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            let before = job.charge;
            job.charge = JobCharge::of(job);
            self.memory.replace(before, job.charge);
        }
    }

    /// Records that a job is removed.
    pub(crate) fn remove_charge(&mut self, job: &JobEntry) {
        self.memory.replace(job.charge, JobCharge::default());
    }

    /// Returns the number of due occurrences that are not open, and the job that has most of them.
    pub fn held_back(&self, wall_ms: u64) -> Option<(u64, JobId)> {
        let mut total = 0;
        let mut largest = None;
        for id in &self.scheduled_jobs {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let due = job.record.spec.due_occurrences(wall_ms);
            let held_back = due.saturating_sub(job.next_unopened());
            total += u64::from(held_back);
            largest = largest.max((held_back > 0).then_some((held_back, *id)));
        }
        largest.map(|(_, id)| (total, id))
    }
}
