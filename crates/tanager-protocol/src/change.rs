//! Entries of the change log, which contains all durable control state.

use serde::Deserialize;
use serde::Serialize;

use crate::config::ConfigDocument;
use crate::fleet::NodeRecord;
use crate::fleet::VmHealth;
use crate::fleet::WaveStep;
use crate::ids::Incarnation;
use crate::ids::LogVersion;
use crate::ids::NodeId;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::ids::WaveId;
use crate::patch::ConfigPatch;

/// One accepted change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeEntry {
    /// Position in the log, from 1.
    pub version: LogVersion,
    /// Proposer: a node, or an operator named by the administration API.
    pub author: String,
    /// Random text by which the proposer recognises its entry after a lost store response.
    pub token: String,
    /// Change that the entry records.
    pub change: FleetChange,
}

/// A change of the fleet state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetChange {
    /// Replaces the configuration document.
    Configure {
        /// The whole new document.
        document: ConfigDocument,
    },
    /// Applies a patch to the configuration document in force.
    Amend {
        /// Difference to the document in force.
        patch: ConfigPatch,
    },
    /// Registers a node, replacing an earlier incarnation of the same name.
    JoinNode {
        /// Node that joins.
        node: NodeId,
        /// Record of the node; `since` is set when the entry is applied.
        record: NodeRecord,
    },
    /// Removes a node from the register.
    LeaveNode {
        /// Node that leaves.
        node: NodeId,
        /// Incarnation that leaves; another incarnation stays registered.
        incarnation: Incarnation,
    },
    /// Records the health of a VM.
    ReportVm {
        /// The VM.
        vm: VmId,
        /// Observed health.
        health: VmHealth,
    },
    /// Starts to move a VM to another pool.
    StartMove {
        /// The VM.
        vm: VmId,
        /// Pool it joins.
        to: PoolId,
    },
    /// Completes a move: the VM belongs to the new pool.
    CommitMove {
        /// The VM.
        vm: VmId,
    },
    /// Aborts a move: the VM stays in its pool.
    AbortMove {
        /// The VM.
        vm: VmId,
    },
    /// Starts to drain a VM.
    StartDrain {
        /// The VM.
        vm: VmId,
        /// Why the VM is drained.
        reason: String,
    },
    /// Ends a drain: the VM receives work again.
    EndDrain {
        /// The VM.
        vm: VmId,
    },
    /// Starts a maintenance wave over a pool.
    StartWave {
        /// Name of the wave.
        wave: WaveId,
        /// The pool.
        pool: PoolId,
    },
    /// Stops a wave from starting further VMs.
    PauseWave {
        /// The wave.
        wave: WaveId,
        /// Why the wave is paused.
        reason: String,
    },
    /// Lets a paused wave continue.
    ResumeWave {
        /// The wave.
        wave: WaveId,
    },
    /// Advances one VM of a wave.
    StepWave {
        /// The wave.
        wave: WaveId,
        /// The VM.
        vm: VmId,
        /// The step that begins.
        step: WaveStep,
    },
    /// Aborts a wave before every VM was maintained. Its draining VMs return to service; those that
    /// are being rebooted return when they are healthy.
    AbortWave {
        /// The wave.
        wave: WaveId,
    },
    /// Ends a wave in which every VM was maintained.
    FinishWave {
        /// The wave.
        wave: WaveId,
    },
}

impl FleetChange {
    /// Stable name of the kind of change, for logs, metrics and history.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Configure { .. } => "configure",
            Self::Amend { .. } => "amend",
            Self::JoinNode { .. } => "join_node",
            Self::LeaveNode { .. } => "leave_node",
            Self::ReportVm { .. } => "report_vm",
            Self::StartMove { .. } => "start_move",
            Self::CommitMove { .. } => "commit_move",
            Self::AbortMove { .. } => "abort_move",
            Self::StartDrain { .. } => "start_drain",
            Self::EndDrain { .. } => "end_drain",
            Self::StartWave { .. } => "start_wave",
            Self::PauseWave { .. } => "pause_wave",
            Self::ResumeWave { .. } => "resume_wave",
            Self::StepWave { .. } => "step_wave",
            Self::AbortWave { .. } => "abort_wave",
            Self::FinishWave { .. } => "finish_wave",
        }
    }
}
