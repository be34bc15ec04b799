//! The node of the job service.

pub mod access;
pub mod admin;
pub mod cell;
mod cell_orders;
pub mod clock;
pub mod duty;
mod duty_cells;
mod duty_records;
pub mod face;
pub mod holds;
pub mod ledger;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod records;
pub mod requests;
pub mod takeover;
pub mod view;
pub mod watch;

pub use node::JobNode;
