//! Durable records of a job. The `JobRecord` is written once, when the job is accepted; the
//! `ProgressRecord` is rewritten when tasks end.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;

use crate::ids::JobId;
use crate::ids::PoolName;
use crate::ids::RunNumber;
use crate::ids::WorkspaceName;
use crate::occurrence_set::OccurrenceSet;
use crate::spec::JobSpec;

/// State of a job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job has not ended.
    #[default]
    Open,
    /// All tasks are done.
    Completed,
    /// A task failed as many times as its queue allows, or crashed the workers that started it.
    Failed,
    /// Cancelled by its client.
    Cancelled,
}

/// A job as accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobRecord {
    /// Id.
    pub id: JobId,
    /// Key of the queue.
    pub queue: String,
    /// Pool that runs the tasks.
    pub pool: PoolName,
    /// Time of acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Failed runs of a task after which the job has failed.
    pub max_attempts: u32,
    /// The job as its client described it.
    pub spec: JobSpec,
    /// Workspace that submitted the job; `None` for a job of a public queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// Whether the job exceeds the number of jobs per second that its workspace is entitled to.
    #[serde(default, skip_serializing_if = "is_default")]
    pub exceeds_rate: bool,
}

/// Durable progress of an unfinished task. A task without progress is absent from the record.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskProgress {
    /// Runs that failed. After a takeover the same ends may be reported again, in any order.
    #[serde(skip_serializing_if = "is_default")]
    pub failed_runs: Vec<RunNumber>,
    /// Highest run that has ended.
    #[serde(skip_serializing_if = "is_default")]
    pub run: RunNumber,
    /// Newest checkpoint; empty if there is none.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoint: String,
    /// Workers that crashed under the task.
    #[serde(skip_serializing_if = "is_default")]
    pub crashes: u32,
    /// Crashes among them under an isolated run.
    #[serde(skip_serializing_if = "is_default")]
    pub isolated_crashes: u32,
    /// Highest run counted in `crashes`.
    #[serde(skip_serializing_if = "is_default")]
    pub crashed_run: RunNumber,
    /// Last run that started after such a crash, or whose worker did not respond. If neither the
    /// run nor its end is listed after a takeover, its worker has crashed.
    #[serde(skip_serializing_if = "is_default")]
    pub suspect_run: RunNumber,
}

/// Durable progress of an occurrence, by step and task index.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OccurrenceProgress {
    /// Whether all tasks are done. The other fields are empty then.
    pub done: bool,
    /// Done tasks by step: a bitmap in hexadecimal digits, one bit per task from index 0. It keeps
    /// the row of a job with thousands of tasks far below the store's limit.
    pub done_tasks: BTreeMap<u16, String>,
    /// Progress by `STEP.INDEX`.
    pub tasks: BTreeMap<String, TaskProgress>,
}

/// Durable progress of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProgressRecord {
    /// State.
    pub state: JobState,
    /// Time at which the job ended, in milliseconds since 1970; 0 while it is open.
    pub ended_ms: u64,
    /// Occurrences whose tasks are all done. In rows of earlier versions they are among `occurrences`.
    #[serde(skip_serializing_if = "is_default")]
    pub done_occurrences: OccurrenceSet,
    /// Whether the progress of tasks is in further rows.
    #[serde(skip_serializing_if = "is_default")]
    pub is_divided: bool,
    /// Progress by occurrence.
    pub occurrences: BTreeMap<u32, OccurrenceProgress>,
}

/// Encodes the done tasks of a step as hexadecimal digits; `None` if no task is done.
pub fn encode_done(done: &[bool]) -> Option<String> {
    if !done.contains(&true) {
        return None;
    }
    let digits = done.chunks(4).map(|bits| {
        let digit = (bits.iter().enumerate()).fold(0u32, |digit, (bit_index, bit)| {
            digit | u32::from(*bit) << bit_index
        });
        char::from_digit(digit, 16).unwrap_or('0')
    });
    Some(digits.collect())
}

/// Returns the indices of the done tasks of a step. Characters that are not hexadecimal digits are
/// ignored.
pub fn decode_done(text: &str) -> Vec<usize> {
    let mut indices = Vec::new();
    for (position, character) in text.chars().enumerate() {
        let digit = character.to_digit(16).unwrap_or(0);
        indices.extend(
            (0..4)
                .filter(|bit_index| digit >> bit_index & 1 == 1)
                .map(|bit_index| position * 4 + bit_index),
        );
    }
    indices
}

/// Encodes a record for the store.
///
/// # Errors
///
/// [`ErrorKind::Internal`] if the record cannot be encoded.
pub fn encode_record<T: Serialize>(record: &T) -> TanagerResult<Vec<u8>> {
    serde_json::to_vec(record)
        .map_err(|error| TanagerError::new(ErrorKind::Internal, "encode record", "", error))
}

/// Decodes a record from the store.
///
/// # Errors
///
/// [`ErrorKind::Invalid`] if the bytes are not a valid record of this type.
pub fn decode_record<T: for<'a> Deserialize<'a>>(key: &str, bytes: &[u8]) -> TanagerResult<T> {
    serde_json::from_slice(bytes)
        .map_err(|error| TanagerError::new(ErrorKind::Invalid, "decode record", key, error))
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
