//! Decides who sent a request and whether the sender may use a job. Nothing here reads state: the
//! configuration, the key, times and the job are arguments.

use std::fmt;
use std::time::Duration;

use tanager_jobs::FleetConfig;
use tanager_jobs::QueueConfig;
use tanager_jobs::ids::WorkspaceName;

/// Sender of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// Client without a workspace: the queue is public, or the deployment has no workspaces.
    Open,
    /// Client that presented a key of this workspace.
    Workspace(WorkspaceName),
    /// Operator, who may use all jobs; with the workspace of a job that the operator submits.
    Operator(Option<WorkspaceName>),
}

/// Reason for which a request is rejected before anything else about it is examined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallRejection {
    /// The request has no key, or one that no workspace has.
    UnknownKey,
    /// The configuration has not been verified recently enough to accept a key.
    UnverifiedConfig,
}

/// Use that a request makes of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobAccess {
    /// Read the status.
    Read,
    /// Cancel the job, or ask whether it exists.
    Change,
    /// Submit a job with the same id.
    Submit,
}

/// Queue and workspace that a job belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobOwnership {
    /// Key of the queue.
    pub queue: String,
    /// Workspace that submitted the job; `None` for a job of a public queue.
    pub workspace: Option<WorkspaceName>,
}

impl Caller {
    /// Returns the workspace of the caller, or of the job that an operator submits.
    pub fn workspace(&self) -> Option<&WorkspaceName> {
        match self {
            Self::Open => None,
            Self::Workspace(name) => Some(name),
            Self::Operator(name) => name.as_ref(),
        }
    }
}

/// Writes ` workspace=NAME` for the end of a log line, or nothing without a workspace.
impl fmt::Display for Caller {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.workspace() {
            Some(name) => write!(formatter, " workspace={name:?}"),
            None => Ok(()),
        }
    }
}

/// Determines the sender of a request to a queue.
///
/// `key` is the value of the key header. `verified_age` is the time since the start of the last
/// successful read of the operator's table, `None` if there was none. With a `revocation_limit`, no
/// key is accepted if that time is longer.
///
/// # Errors
///
/// The reason for which the request is rejected. A request without a key is rejected as unknown
/// whatever the age, because no newer configuration could accept it.
pub fn authenticate(
    config: &FleetConfig,
    queue: &QueueConfig,
    key: Option<&str>,
    verified_age: Option<Duration>,
    revocation_limit: Option<Duration>,
) -> Result<Caller, CallRejection> {
    let Some(workspaces) = &config.workspaces else {
        return Ok(Caller::Open);
    };
    if queue.is_public {
        return Ok(Caller::Open);
    }
    let key = key.ok_or(CallRejection::UnknownKey)?;
    let is_verified =
        revocation_limit.is_none_or(|limit| verified_age.is_some_and(|age| age <= limit));
    if !is_verified {
        return Err(CallRejection::UnverifiedConfig);
    }
    match workspaces.find_by_key(key) {
        Some(name) => Ok(Caller::Workspace(name.clone())),
        None => Err(CallRejection::UnknownKey),
    }
}

/// Returns whether a caller of the queue `queue` may use a job.
pub fn may_access(caller: &Caller, access: JobAccess, queue: &str, job: &JobOwnership) -> bool {
    let is_same_queue = queue == job.queue;
    match (caller, &job.workspace) {
        (Caller::Operator(_), _) => true,
        (Caller::Workspace(name), Some(owner)) => name == owner,
        // The queue is public now, so anyone who may call it may read its jobs.
        (Caller::Open, Some(_)) => access == JobAccess::Read && is_same_queue,
        // The confirmation of a submission under the id of a foreign job would promise a job that
        // never runs. The submitter of a job that has no workspace may have one by now.
        (Caller::Workspace(_), None) => access != JobAccess::Submit || is_same_queue,
        (Caller::Open, None) => true,
    }
}
