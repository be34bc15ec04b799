//! Decisions of one cell: jobs, tasks, workers and leases, without I/O.

pub mod action;
pub mod admission;
pub mod advice;
pub mod capacity;
pub mod core;
pub mod evacuate;
pub mod job;
pub mod learn;
pub mod lives;
pub mod order;
pub mod orders;
pub mod pace;
pub mod place;
pub mod recover;
pub mod report;
pub mod settings;
pub mod stored;
pub mod wave;
pub mod worker;

pub use action::CellAction;
pub use action::CellNote;
pub use admission::AdmissionAnswer;
pub use core::CellCore;
pub use settings::CellSettings;
pub use settings::QueuePolicy;
pub use worker::WorkerKey;
