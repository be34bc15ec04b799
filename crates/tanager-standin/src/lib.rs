//! Stand-ins of the platform, of endpoints and of workers, and a load generator. Not shipped.
//!
//! The servers of [`platform`] and [`endpoint`] use plain TCP, because an HTTP library cannot
//! produce their faults: truncated, trickled, crossed and lost responses.

pub mod balancer;
pub mod endpoint;
pub mod load;
pub mod options;
pub mod plan;
pub mod platform;
pub mod port;
pub mod record;
pub mod report;
pub mod site;
pub mod table;
pub mod verification;
pub mod vms;
pub mod wire;

mod platform_state;
mod worker;

pub use endpoint::EndpointOptions;
pub use endpoint::EndpointStandin;
pub use platform::PlatformFaults;
pub use platform::PlatformOptions;
pub use platform::PlatformStandin;
pub use platform_state::PlatformStats;
pub use record::EndpointRun;
