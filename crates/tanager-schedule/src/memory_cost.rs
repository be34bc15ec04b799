//! Memory that accepted jobs take at the owner of their cell.
//!
//! The figures are slopes of the example `memory_cost` and of nodes under load, rounded up
//! (docs/CAPACITY.md). They include what the same items take while another node reads them in a takeover.

use tanager_jobs::JobRecord;
use tanager_jobs::JobSpec;

/// Bytes of a job beside its texts and occurrences, also after it ended, until its status is forgotten.
pub const JOB_BYTES: u64 = 2_000;
/// Bytes of an open occurrence beside its steps.
pub const OCCURRENCE_BYTES: u64 = 300;
/// Bytes of a step of an open occurrence beside its tasks.
pub const STEP_BYTES: u64 = 200;
/// Bytes of a task of an open occurrence: some 130 while it waits, 570 while it runs, as much again for its entry in reports
/// and for its progress on the way to the store.
pub const TASK_BYTES: u64 = 1_000;
/// Bytes that each step takes in the row of a job, and in the job when it is loaded.
const STEP_SPEC_BYTES: u64 = 700;

/// Memory of a job.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobCost {
    /// Bytes of the job without occurrences.
    pub job: u64,
    /// Bytes of the job once it has ended.
    pub ended: u64,
    /// Bytes of each open occurrence.
    pub occurrence: u64,
}

impl JobCost {
    /// Returns the memory of a job.
    pub fn of(record: &JobRecord) -> Self {
        // The texts are in the job and, in a takeover, in its row at the same time.
        let text = record.spec.specification.len() as u64;
        let steps = record.spec.steps.len() as u64 * STEP_SPEC_BYTES;
        Self {
            job: JOB_BYTES + steps + 2 * text,
            ended: JOB_BYTES + steps + text,
            occurrence: occurrence_bytes(&record.spec),
        }
    }

    /// Returns the memory that the job needs to go on: that of one occurrence.
    pub fn minimum(&self) -> u64 {
        self.job + self.occurrence
    }
}

fn occurrence_bytes(spec: &JobSpec) -> u64 {
    OCCURRENCE_BYTES + spec.steps.len() as u64 * STEP_BYTES + spec.task_count() as u64 * TASK_BYTES
}
