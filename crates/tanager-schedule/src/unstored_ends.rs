//! Ends of runs that a worker listed and that may not be acknowledged yet.
//!
//! A worker forgets the ends that are acknowledged, so an end may be acknowledged once the progress
//! that it caused is stored. Each worker has its own watermark: progress that waits for the store
//! delays only the workers that listed ends of its job.

use std::collections::VecDeque;

use tanager_jobs::JobId;

/// Ends of one worker that were applied to their jobs, in the order of their numbers.
#[derive(Clone, Debug, Default)]
pub struct UnstoredEnds {
    ends: VecDeque<(u64, JobId)>,
}

impl UnstoredEnds {
    /// Adds an end, whose number must exceed those before.
    pub fn push(&mut self, number: u64, job: JobId) {
        self.ends.push_back((number, job));
    }

    /// Returns the highest number up to which all ends are of jobs whose progress is stored; `None` if
    /// not even the first is.
    pub fn watermark(&self, is_unstored: impl Fn(JobId) -> bool) -> Option<u64> {
        (self.ends.iter())
            .take_while(|(_, job)| !is_unstored(*job))
            .last()
            .map(|(number, _)| *number)
    }

    /// Returns the job of the first end.
    pub fn first_job(&self) -> Option<JobId> {
        self.ends.front().map(|(_, job)| *job)
    }

    /// Removes the ends up to a number.
    pub fn remove_through(&mut self, number: u64) {
        let stored = self.ends.partition_point(|(end, _)| *end <= number);
        self.ends.drain(..stored);
    }
}
