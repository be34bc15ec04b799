//! Decisions of the coordinators of moves between pools.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Instant;

use tanager_protocol::change::FleetChange;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::ids::VmId;

/// Input of a coordinator's decision.
#[derive(Clone, Copy)]
pub struct FleetView<'view> {
    /// Newest applied state.
    pub state: &'view FleetState,
    /// VMs that local probes consider unavailable.
    pub suspects: &'view BTreeSet<VmId>,
    /// Monotonic time of the decision.
    pub now: Instant,
    /// Returns whether this node is the home of a name.
    pub is_home: &'view dyn Fn(&str) -> bool,
    /// Returns whether a VM is moving or draining and no registered node has work left on it.
    pub is_drained: &'view dyn Fn(&str) -> bool,
}

impl fmt::Debug for FleetView<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("FleetView")
            .field("version", &self.state.version)
            .field("suspects", &self.suspects)
            .finish_non_exhaustive()
    }
}

/// Returns commits of the moves whose VM has this node as home and no work left on any registered
/// node.
pub fn plan_moves(view: &FleetView<'_>) -> Vec<FleetChange> {
    let moving = view.state.vms.iter().filter(|(vm, record)| {
        matches!(record.activity, VmActivity::Moving { .. })
            && (view.is_home)(vm)
            && (view.is_drained)(vm)
    });
    moving
        .map(|(vm, _)| FleetChange::CommitMove { vm: vm.clone() })
        .collect()
}
