//! Replicates the change log, proposes changes and coordinates moves, drains and waves.
//!
//! Each pool, each VM and each task such as `vm-list` has a home, which coordinates it: the live
//! node that [`select_home_node`] returns for its name.
//!
//! The coordinators ([`health`], [`moves`], [`rebalance`], [`waves`]) receive the time as an
//! argument and perform no I/O; the service executes the actions that they return.

mod backend;
mod core;
mod home;
mod peers;
mod propose;
mod replica;
mod restore;
mod service;
mod settings;
mod snapshots;
mod store;
mod tasks;

pub mod health;
pub mod moves;
pub mod rebalance;
pub mod waves;

pub use backend::BoxFuture;
pub use backend::ControlBackend;
pub use backend::FetchCall;
pub use backend::GossipCall;
pub use backend::NodeProgress;
pub use home::select_home_node;
pub use service::ControlService;
pub use service::RebalanceCounters;
pub use settings::ControlSettings;
pub use settings::ControlTiming;
pub use settings::RebalanceSettings;
