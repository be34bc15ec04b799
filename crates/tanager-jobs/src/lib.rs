//! Types of the job service: identifiers, job descriptions, the operator's configuration, worker
//! reports and durable records.

pub mod config;
pub mod config_check;
pub mod config_difference;
pub mod config_summary;
pub mod delegation;
pub mod ids;
pub mod record;
pub mod spec;
pub mod wave_record;
pub mod worker;
pub mod workspace;

pub use config::AdviceCost;
pub use config::FleetConfig;
pub use config::PoolConfig;
pub use config::QueueConfig;
pub use config_check::ConfigFinding;
pub use config_check::DecodingAdjustment;
pub use config_check::FindingKind;
pub use config_check::FindingSeverity;
pub use config_check::UsualSizes;
pub use config_check::check_config;
pub use config_difference::ConfigDifference;
pub use config_summary::ConfigSummary;
pub use delegation::DelegationRecord;
pub use ids::JobId;
pub use ids::TaskKey;
pub use record::JobRecord;
pub use record::JobState;
pub use record::OccurrenceProgress;
pub use record::ProgressRecord;
pub use record::TaskProgress;
pub use spec::JobSpec;
pub use spec::StepSpec;
pub use wave_record::WaveRecord;
pub use worker::EndCause;
pub use worker::EndedRun;
pub use worker::OrderAnswer;
pub use worker::ResourceAmount;
pub use worker::RunningRun;
pub use worker::WorkerEntry;
pub use worker::WorkerReport;
pub use workspace::KeyDigest;
pub use workspace::WorkspaceConfig;
pub use workspace::WorkspaceTable;
