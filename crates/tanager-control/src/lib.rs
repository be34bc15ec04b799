//! Replicates the change log, proposes changes and runs moves, drains and waves.

mod backend;
mod home;
mod service;
mod settings;

pub use backend::BoxFuture;
pub use backend::ControlBackend;
pub use backend::FetchCall;
pub use backend::GossipCall;
pub use backend::NodeProgress;
pub use home::rendezvous_home;
pub use service::ControlService;
pub use settings::ControlSettings;
pub use settings::ControlTiming;
