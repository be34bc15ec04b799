//! A node of the job service.
//!
//! Nodes share cells, each a part of a pool's jobs and workers. The owner of a cell accepts jobs,
//! stores them in the cell's ledger and runs their tasks on the cell's workers.

mod absorbed_rows;
mod absorption;
pub mod access;
pub mod admin;
pub mod admission;
pub mod allowance_exchange;
mod allowance_log;
pub mod authentication;
pub mod batch_limits;
mod call_guard;
mod cancellation_batches;
pub mod cancellations;
pub mod cell;
pub mod cell_load;
pub mod clock;
pub mod commit_outcome;
pub mod config_report;
pub mod coordinator;
mod coordinator_cells;
mod coordinator_records;
mod coordinator_waves;
pub mod cpu_time;
mod decision_loop;
mod delegated_jobs;
mod delegations;
pub mod independent_rows;
pub mod job_api;
pub mod lease_renewal;
pub mod ledger;
mod ledger_batch;
mod ledger_loop;
pub mod logging;
pub mod loop_lag;
pub mod membership;
mod merging;
pub mod metrics;
pub mod node;
pub mod operator_watch;
mod order_gate;
pub mod peers;
pub mod progress_rows;
pub mod queue_pools;
pub mod queue_statistics;
pub mod records;
pub mod requests;
pub mod run_log;
mod sibling_loads;
pub mod skipped_rows;
mod statistics_loop;
pub mod store_access;
pub mod stored_workers;
mod submission_intake;
pub mod supervision;
pub mod table_watch;
pub mod takeover;
pub mod unstorable_rows;
pub mod view;
mod vm_orders;
mod worker_orders;
pub mod worker_rows;
mod workspace_list;
pub mod workspace_metrics;

pub use node::JobNode;
