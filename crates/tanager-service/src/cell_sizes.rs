//! What a cell keeps in memory: numbers for its lines in the log, and as metrics.

use std::fmt;

use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;
use tanager_jobs::JobId;
use tanager_schedule::decision_work::DecisionWork;

use crate::memory_use::resident_bytes;

type CellLabel = [(&'static str, String); 1];

/// What a cell keeps.
#[derive(Clone, Copy, Debug, Default)]
pub struct CellSizes {
    /// Numbers of open jobs, open steps with tasks to place, and runs.
    pub jobs: (usize, usize, usize),
    /// Numbers of open occurrences, and of their tasks.
    pub tasks: (usize, usize),
    /// Number of occurrences that are due but not open, and the job that has most of them.
    pub held_back: Option<(u64, JobId)>,
    /// Memory that is reserved for the jobs, and its budget, in bytes.
    pub memory: (u64, u64),
    /// Work of the decisions so far.
    pub work: DecisionWork,
}

impl fmt::Display for CellSizes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (occurrences, tasks) = self.tasks;
        let (reserved, budget) = self.memory;
        let resident = resident_bytes().unwrap_or_default();
        write!(
            formatter,
            "occurrences={occurrences} tasks={tasks} reserved={reserved} budget={budget} memory={resident}"
        )?;
        match self.held_back {
            Some((count, job)) => write!(formatter, " held_back={count} most_of={job}"),
            None => Ok(()),
        }
    }
}

/// Gauges of the cells of a node.
#[derive(Debug, Default)]
pub struct CellGauges {
    reserved: Family<CellLabel, Gauge>,
    budget: Family<CellLabel, Gauge>,
    held_back: Family<CellLabel, Gauge>,
}

impl CellGauges {
    /// Creates the gauges and registers them.
    pub fn register(registry: &mut Registry) -> Self {
        let gauges = Self::default();
        registry.register_with_unit(
            "cell_memory_reserved",
            "Memory that is reserved for the jobs of a cell",
            Unit::Bytes,
            gauges.reserved.clone(),
        );
        registry.register_with_unit(
            "cell_memory_budget",
            "Memory that the jobs of a cell may take",
            Unit::Bytes,
            gauges.budget.clone(),
        );
        registry.register(
            "cell_occurrences_held_back",
            "Occurrences of jobs of a cell that are due but not open",
            gauges.held_back.clone(),
        );
        gauges
    }

    /// Sets the gauges of a cell.
    pub fn set(&self, cell: &str, sizes: &CellSizes) {
        let label = [("cell", cell.to_owned())];
        // Gauges are signed.
        let signed = |number| i64::try_from(number).unwrap_or(i64::MAX);
        let held_back = sizes.held_back.map_or(0, |(count, _)| count);
        (self.reserved.get_or_create(&label)).set(signed(sizes.memory.0));
        (self.budget.get_or_create(&label)).set(signed(sizes.memory.1));
        (self.held_back.get_or_create(&label)).set(signed(held_back));
    }

    /// Removes the gauges of a cell that this node owns no more.
    pub fn remove(&self, cell: &str) {
        let label = [("cell", cell.to_owned())];
        self.reserved.remove(&label);
        self.budget.remove(&label);
        self.held_back.remove(&label);
    }
}
