//! Messages between the owner of a cell and the allocator.

use serde::Deserialize;
use serde::Serialize;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::FencingToken;
use tanager_jobs::ids::WorkspaceName;

use crate::allowance::Amounts;

/// Report of a cell to the allocator.
///
/// A workspace that is not listed has no limit, no usage, no waiting tasks and no arrivals in the
/// cell.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AllowanceReport {
    /// Cell.
    pub cell: CellName,
    /// Fencing token of the cell's owner.
    pub token: FencingToken,
    /// Number of the report, which rises for each token. The cell applies only the reply to its
    /// latest report.
    pub number: u64,
    /// Workspaces with anything to report.
    pub workspaces: Vec<WorkspaceReport>,
}

/// State of a workspace in a cell.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceReport {
    /// Workspace.
    pub name: WorkspaceName,
    /// Cap known to the cell; 0 means no limit.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cap: Amounts,
    /// Limit that the cell holds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub limit: Amounts,
    /// Amount in use, including what may be running after a takeover.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub used: Amounts,
    /// Sum of the tasks that wait for the limit.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub wanted: Amounts,
    /// Smallest amount with which a waiting task or gang starts.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub smallest: Amounts,
    /// Largest such amount.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub largest: Amounts,
    /// Smallest waiting task that is not part of a gang.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub single: Amounts,
    /// Jobs that arrived per second.
    #[serde(default, skip_serializing_if = "is_zero_rate")]
    pub arrivals: f64,
}

/// Reply of the allocator.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AllowanceReply {
    /// Number of the report that this is the reply to.
    pub number: u64,
    /// Fencing token of the allocator.
    pub allocator: FencingToken,
    /// Time for which the limits are valid, from the moment of the request, in milliseconds.
    pub valid_ms: u64,
    /// Version of the configuration that the limits are based on.
    pub version: u64,
    /// Terms of the reported workspaces.
    pub workspaces: Vec<WorkspaceAllowance>,
}

/// Terms of a workspace in a cell.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceAllowance {
    /// Workspace.
    pub name: WorkspaceName,
    /// Cap that the limit is part of; 0 means no limit.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cap: Amounts,
    /// Amount that the cell may have in use when it starts a task.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub limit: Amounts,
    /// Size of a single task that the cell may start above the limit, before its next report.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub excess: Amounts,
    /// The cell's part of the workspace's rate, in jobs per second.
    #[serde(default, skip_serializing_if = "is_zero_rate")]
    pub rate: f64,
}

/// Response to a report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AllowanceResponse {
    /// Limits of the cell.
    Granted(AllowanceReply),
    /// The node is not the allocator, or it is not certain to be.
    NotAllocator,
    /// A later report or a later owner of the cell is known.
    Outdated,
}

fn is_zero(amounts: &Amounts) -> bool {
    *amounts == Amounts::default()
}

fn is_zero_rate(rate: &f64) -> bool {
    *rate == 0.0
}
