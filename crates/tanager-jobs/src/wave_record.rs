//! Stored progress of a maintenance wave.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::VmName;

/// Stored progress of a maintenance wave. Each VM is in one field at most, so that the row of a wave over
/// 1,100 VMs has some 45 KB. Rows of earlier versions have only `begun` and `completed`, or also list the
/// VMs of `accepted_ms` in `begun`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WaveRecord {
    /// VMs that are back in service after their maintenance.
    pub begun: BTreeSet<VmName>,
    /// Whether the wave was reported as completed.
    pub completed: bool,
    /// End of the wave in milliseconds since 1970: the first time at which the order was seen plus
    /// its duration.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub end_ms: Option<u64>,
    /// VMs whose maintenance has started and that are not known to be back in service, with the time at
    /// which it started, in milliseconds since 1970.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub accepted_ms: BTreeMap<VmName, u64>,
    /// VMs whose maintenance may have been ordered without a known response.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub ordered: BTreeSet<VmName>,
}
