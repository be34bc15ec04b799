//! Counters and latency histograms of a node, in the OpenMetrics text format.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use tanager_schedule::decision_work::DecisionWork;

use crate::cell_sizes::CellGauges;
use crate::cpu_time::CpuCollector;
use crate::question_log::FailedQuestions;
use crate::workspace_metrics::WorkspaceMetrics;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

macro_rules! node_metrics {
    ($($kind:ident $name:ident $text:literal;)*) => {
        /// Metrics of a node.
        #[derive(Debug)]
        pub struct NodeMetrics {
            registry: Registry,
            /// Counters by workspace.
            pub workspaces: WorkspaceMetrics,
            /// Failed questions by reason.
            pub failed_questions: FailedQuestions,
            /// What the cells keep in memory.
            pub cells: CellGauges,
            $(#[doc = $text] pub $name: $kind,)*
        }

        impl NodeMetrics {
            /// Registers all metrics.
            pub fn new() -> Self {
                let mut registry = Registry::with_prefix("tanager");
                $(
                    let $name = $kind::build();
                    registry.register(stringify!($name), $text, $name.handle());
                )*
                let workspaces = WorkspaceMetrics::register(&mut registry);
                let failed_questions = FailedQuestions::register(&mut registry);
                let cells = CellGauges::register(&mut registry);
                registry.register_collector(Box::new(CpuCollector));
                Self { registry, workspaces, failed_questions, cells, $($name,)* }
            }
        }
    };
}

/// An event counter.
#[derive(Clone, Debug, Default)]
pub struct CountMetric(Counter);

/// A latency histogram in seconds.
#[derive(Clone, Debug)]
pub struct LatencyMetric(Histogram);

impl CountMetric {
    fn build() -> Self {
        Self::default()
    }

    fn handle(&self) -> Counter {
        self.0.clone()
    }

    /// Adds one.
    pub fn increment(&self) {
        self.0.inc();
    }

    /// Adds a number of events.
    pub fn add(&self, number: u64) {
        self.0.inc_by(number);
    }
}

impl LatencyMetric {
    fn build() -> Self {
        Self(Histogram::new(LATENCY_BOUNDS))
    }

    fn handle(&self) -> Histogram {
        self.0.clone()
    }

    /// Adds an observation.
    pub fn observe(&self, latency: std::time::Duration) {
        self.0.observe(latency.as_secs_f64());
    }
}

node_metrics! {
    CountMetric jobs_accepted "Jobs accepted by cells of this node";
    CountMetric jobs_refused "Jobs refused by cells of this node";
    CountMetric refused_late "Jobs refused because they would end too late";
    CountMetric refused_excess "Jobs refused that exceeded the rate of their workspace";
    CountMetric refused_displaced "Jobs refused in favour of one of higher value";
    CountMetric refused_cap "Jobs refused because a gang exceeds the cap of its workspace";
    CountMetric refused_no_worker "Jobs refused because a task fits on no worker";
    CountMetric refused_no_room "Jobs refused because long-running tasks leave no room for them";
    CountMetric refused_memory "Jobs refused because the jobs of their cell take all memory";
    CountMetric refused_store "Jobs refused because the store is away";
    CountMetric refused_intake "Submissions refused before the job was decoded because too many waited for the store";
    CountMetric jobs_planned "Jobs admitted by a plan in which they end in time";
    CountMetric jobs_delayed "Jobs admitted by a plan in which they end late";
    CountMetric jobs_delegated "Jobs that cells of this node delegated to another cell of their pool";
    CountMetric jobs_taken_back "Delegated jobs that the other cell did not accept and the first cell stored";
    CountMetric jobs_received "Jobs that cells of this node accepted from another cell of their pool";
    CountMetric jobs_uncertain "Submissions answered without knowing whether the job is stored";
    CountMetric jobs_ended "Jobs that ended";
    CountMetric stored_answers "Questions answered from the stored rows of a job because no owner of its cell answered";
    CountMetric calls_withheld "Calls to owners that were refused without passing them on";
    CountMetric calls_dropped "Calls of other nodes that were dropped because their callers had given up";
    CountMetric cancellations_batched "Repeated cancellations that were sent together with others";
    CountMetric cancellation_batches "Calls with such cancellations";
    CountMetric runs_started "Start orders sent";
    CountMetric runs_refused "Start orders that a worker refused";
    CountMetric orders_unanswered "Orders to workers without an answer";
    CountMetric orders_unread "Orders to workers whose answer this node may have missed because its loop lagged";
    CountMetric renewals_unread "Lease renewals whose answer this node may have missed because its loop lagged";
    CountMetric runs_ended "Ends taken from workers";
    CountMetric runs_adopted "Runs of a former owner found in a report that continue";
    CountMetric unknown_runs_stopped "Runs found in a report that must not continue";
    CountMetric incarnations_replaced "Incarnations of workers that ended under cells of this node";
    CountMetric store_calls "Calls to the store";
    CountMetric store_failures "Calls to the store that failed";
    CountMetric reads_failed "Regular reads of tables of the store that failed";
    CountMetric copies_read "Reads of the operator's table that peers answered from what they had read";
    CountMetric store_relayed "Calls to the store made through a peer";
    CountMetric transactions_rejected "Transactions of ledgers that the store rejected as they were";
    CountMetric rows_set_aside "Rows of ledgers that the store rejected alone and that are not written for a while";
    CountMetric cells_blocked "Times that a cell began to refuse jobs because its transactions failed";
    CountMetric cells_taken "Cells taken";
    CountMetric cells_merged "Cells of this node that were merged into another one of their pool";
    CountMetric cells_lost "Cells lost to another node or given up";
    CountMetric requests_outdated "Requests refused because other nodes have had a newer configuration for too long";
    CountMetric keys_rejected "Requests without a key, or with one that no workspace has";
    CountMetric keys_unverified "Requests with a key that came while the configuration was unverified";
    CountMetric access_refused "Requests about a job of another workspace";
    CountMetric vm_orders_sent "Orders to VMs that were sent";
    CountMetric vm_orders_withheld "Orders to VMs that were not sent because the ownership was not certain";
    CountMetric wave_vms_maintained "Maintenance orders that the platform accepted";
    CountMetric wave_vms_late "Maintenance orders that the platform accepted after the end of the wave";
    CountMetric wave_drains_interrupted "Drains for a wave that did not end and made room for other VMs";
    CountMetric workers_ejected "Workers that get no runs for a while because of evidence against them";
    CountMetric rows_skipped "Rows of other writers that could not be used";
    CountMetric decision_steps "Waiting steps that decisions ranked or considered for a start";
    CountMetric decision_cap_checks "Checks of a step against the cap of its workspace";
    CountMetric decision_workers "Workers that decisions compared";
    CountMetric decision_runs "Runs that scans and counts of decisions visited";
    CountMetric decision_tasks "Tasks that counts of decisions visited";
    LatencyMetric loop_lag_seconds "Lag of the loop of the node's runtime, sampled every 50 ms at owners of cells, else every 0.5 s";
    LatencyMetric accept_seconds "Time from a submission to its answer at the owner";
    LatencyMetric store_seconds "Time of a transaction of a ledger";
    LatencyMetric start_seconds "Time of a start order";
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl NodeMetrics {
    /// Counts the work of a cell's decisions between two readings.
    pub(crate) fn count_work(&self, before: &DecisionWork, after: &DecisionWork) {
        self.decision_steps.add(after.steps - before.steps);
        (self.decision_cap_checks).add(after.cap_checks - before.cap_checks);
        self.decision_workers.add(after.workers - before.workers);
        self.decision_runs.add(after.runs - before.runs);
        self.decision_tasks.add(after.tasks - before.tasks);
    }

    /// Adds metrics that are computed when they are read.
    pub(crate) fn register_collector(&mut self, collector: Box<dyn Collector>) {
        self.registry.register_collector(collector);
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}
