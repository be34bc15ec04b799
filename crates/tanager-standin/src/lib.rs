//! Stand-ins of the platform and of endpoints, and the load tool. Not shipped.
//!
//! The servers are written on plain TCP, because their faults (truncated, trickled, crossed and
//! lost responses) cannot be produced through an HTTP library.

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
