//! Decisions of the request service: queueing, fairness, admission, worker limits, lending, moves
//! of VMs and maintenance waves.
//!
//! A worker is a VM of a pool together with what this node observed of its endpoint.
//!
//! The crate does no I/O and reads no clock. `now` is always the time since the start of the
//! process, from one monotonic clock, and must not decrease between calls.

pub mod action;
mod admission;
pub mod core;
pub mod counters;
pub mod dump;
mod ejection;
mod fleet_state;
pub mod home;
pub mod lending;
mod lifecycle;
mod limit;
mod pool;
mod probing;
mod queue;
pub mod rebalance;
mod report;
mod request;
mod retry;
mod select;
pub mod settings;
mod timer;
pub mod usage;
pub mod wave;
mod worker;

pub use crate::action::ClaimReport;
pub use crate::action::DispatchAction;
pub use crate::action::ProbeReport;
pub use crate::action::RequestKey;
pub use crate::action::SendReport;
pub use crate::core::DispatchCore;
pub use crate::settings::DispatchSettings;
