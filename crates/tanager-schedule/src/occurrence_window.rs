//! How many of a job's due occurrences are open at the same time.
//!
//! Load: a schedule whose first run lies far in the past, so that hundreds of thousands of occurrences are due
//! at once. An open occurrence takes memory for each of its tasks, and each ready step time in every ranking.
//! What is due beyond the window takes none: it follows from the numbers that are open or done.

/// Number of waiting tasks from which no further occurrence is opened: more than an owner starts between two
/// rounds of decisions.
pub const MAX_WAITING_TASKS: usize = 1_024;
/// Maximum distance of an open occurrence from the first one that is not done. It bounds the bitmap of done
/// occurrences in the job's row to 4 KiB.
pub const MAX_SPAN: u32 = 16_384;

/// Open occurrences of a job.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OpenOccurrences {
    /// Number of open occurrences.
    pub count: usize,
    /// Number of tasks that wait to be placed.
    pub waiting_tasks: usize,
    /// First occurrence that is not done.
    pub first_missing: u32,
}

impl OpenOccurrences {
    /// Returns whether the due occurrence `number` may be opened. One of a job always is; running tasks
    /// hold back none, because the capacity of the workers bounds them.
    pub fn may_open(&self, number: u32) -> bool {
        self.count == 0
            || (self.waiting_tasks < MAX_WAITING_TASKS
                && number.saturating_sub(self.first_missing) < MAX_SPAN)
    }
}
