//! Scheduling of the jobs, tasks and workers of one cell. Performs no I/O.

pub mod action;
pub mod admission;
pub mod advice;
pub mod cancellation;
pub mod capacity;
pub mod core;
pub mod crashes;
pub mod delegated_jobs;
pub mod delegation;
pub mod delegation_entry;
pub mod delegation_table;
pub mod drain;
pub mod durations;
pub mod incarnations;
pub mod job;
pub mod orders;
pub mod pace;
pub mod persistence;
pub mod placement;
pub mod ranking;
pub mod recovery;
pub mod report;
pub mod settings;
pub mod wave;
pub mod worker;

pub use action::CellAction;
pub use action::CellEvent;
pub use action::ReleaseCause;
pub use admission::AdmissionDecision;
pub use cancellation::CancelResult;
pub use core::CellCore;
pub use settings::CellSettings;
pub use settings::QueuePolicy;
pub use settings::WorkspacePolicy;
pub use worker::WorkerKey;
