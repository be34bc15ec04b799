//! Durable record of a job that a cell delegated to another cell of its pool.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::CellName;
use crate::record::JobRecord;

/// A job that was delegated. It is stored in the row that the job itself would have in its first
/// cell, so that the id has either a job or a delegation there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DelegationRecord {
    /// Cell that the job was delegated to.
    pub delegated_to: CellName,
    /// The whole job, so that the next owner of the first cell can submit it.
    pub job: JobRecord,
}
