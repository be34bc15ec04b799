//! Moves of VMs to pools whose load has exceeded their slots for a long time.
//!
//! Each home measures the load of its pools and reports it to the home of the name
//! [`REBALANCE_NAME`], which decides on moves with [`MovePlanner`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use tanager_dispatch::rebalance::MovePlanner;
use tanager_dispatch::rebalance::ReportedLoad;
use tanager_fleet::available_vms;
use tanager_protocol::change::FleetChange;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::ids::Incarnation;
use tanager_protocol::ids::NodeId;
use tanager_protocol::ids::PoolId;
use tanager_protocol::ids::VmId;
use tanager_protocol::peer::NodeStatus;
use tanager_protocol::peer::PoolUsage;

/// Name whose home runs the coordinator, and author of its proposals.
pub const REBALANCE_NAME: &str = "rebalance";
/// A report older than this counts as missing: five intervals of measurement and gossip. After more
/// than four lost or late messages a home is considered unresponsive, not idle.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// The report of an incarnation is dropped after this time. Bounds the table when nodes are
/// replaced under new names.
const REPORT_RETENTION: Duration = Duration::from_secs(60);

/// Newest measurement of the load of a node's pools.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageReport {
    /// Number of the measurement, from 1; 0 before the first one.
    pub window: u64,
    /// Time since the end of the measurement.
    pub age: Duration,
    /// Load of each pool of which the node is the home.
    pub pools: Vec<PoolUsage>,
}

impl UsageReport {
    /// Writes the report into a status, without the pools that can neither receive nor donate a VM.
    pub fn attach(self, state: &FleetState, suspects: &BTreeSet<VmId>, status: &mut NodeStatus) {
        status.usage_window = self.window;
        status.usage_age_ms = u32::try_from(self.age.as_millis()).unwrap_or(u32::MAX);
        let pools = self.pools.into_iter();
        status.usage = pools
            .filter(|usage| {
                usage.offered_millislots > 0 || has_spare_vm(state, &usage.pool, suspects)
            })
            .collect();
    }
}

fn has_spare_vm(state: &FleetState, pool: &str, suspects: &BTreeSet<VmId>) -> bool {
    available_vms(state, pool, suspects) > floor_of(state, pool)
}

fn floor_of(state: &FleetState, pool: &str) -> u32 {
    let pool = state.document.pools.get(pool);
    pool.map_or(0, |config| config.floor)
}

#[derive(Clone, Debug)]
struct ReceivedUsage {
    window: u64,
    /// End of the measurement by the monotonic clock of this process.
    measured_at: Instant,
    pools: BTreeMap<PoolId, PoolUsage>,
}

/// Newest usage report of each incarnation of each node.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    reports: BTreeMap<(NodeId, Incarnation), ReceivedUsage>,
}

impl UsageTable {
    /// Records the usage report of a status, if it is newer than the known one.
    pub fn record(&mut self, status: &NodeStatus, now: Instant) {
        let key = (status.node.clone(), status.incarnation);
        let known = self.reports.get(&key).map_or(0, |report| report.window);
        if status.usage_window <= known {
            return;
        }
        let age = Duration::from_millis(status.usage_age_ms.into());
        let usage = status.usage.iter();
        let report = ReceivedUsage {
            window: status.usage_window,
            measured_at: now.checked_sub(age).unwrap_or(now),
            pools: usage
                .map(|usage| (usage.pool.clone(), usage.clone()))
                .collect(),
        };
        self.reports.insert(key, report);
        self.reports.retain(|_, report| {
            now.saturating_duration_since(report.measured_at) < REPORT_RETENTION
        });
    }

    /// Newest report of the registered incarnation of a node, unless it is too old.
    fn find_recent(&self, state: &FleetState, node: &str, now: Instant) -> Option<&ReceivedUsage> {
        let record = state.nodes.get(node)?;
        self.reports
            .get(&(node.to_owned(), record.incarnation))
            .filter(|report| now.saturating_duration_since(report.measured_at) <= MAX_REPORT_AGE)
    }
}

/// Input of the coordinator's decision.
#[derive(Clone, Copy)]
pub struct LoadView<'view> {
    /// Newest applied state.
    pub state: &'view FleetState,
    /// VMs that local probes consider unavailable.
    pub suspects: &'view BTreeSet<VmId>,
    /// Monotonic time of the decision.
    pub now: Instant,
    /// Reports of all nodes, including this one.
    pub reports: &'view UsageTable,
    /// Returns the home of a pool among the live nodes.
    pub home_of: &'view dyn Fn(&str) -> Option<NodeId>,
}

impl fmt::Debug for LoadView<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("LoadView")
            .field("version", &self.state.version)
            .field("suspects", &self.suspects)
            .field("reports", &self.reports)
            .finish_non_exhaustive()
    }
}

/// Result of one round of the coordinator.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RebalanceRound {
    /// Move to propose.
    pub change: Option<FleetChange>,
    /// Homes without a recent report.
    pub missing_reports: u64,
}

/// Decides on moves by load. It has no durable state: a new coordinator waits again for a lasting
/// overload.
#[derive(Debug)]
pub struct RebalanceCoordinator {
    start: Instant,
    move_cost: Duration,
    planner: MovePlanner,
}

impl RebalanceCoordinator {
    /// Creates a coordinator without history at `now`. `move_cost` is the time that a move takes a
    /// VM out of service.
    pub fn new(now: Instant, move_cost: Duration) -> Self {
        Self {
            start: now,
            move_cost,
            planner: MovePlanner::default(),
        }
    }

    /// Decides on at most one move. Regardless of the result of its proposal, the load must last
    /// for the cost of a move again before the next one, so a refused proposal is not repeated at
    /// once.
    pub fn plan(&mut self, view: &LoadView<'_>) -> RebalanceRound {
        let state = view.state;
        let moving = moving_pools(state);
        let mut homes_without_report = BTreeSet::new();
        let mut reported_loads = Vec::new();
        for (pool, config) in &state.document.pools {
            let home = (view.home_of)(pool);
            let report = home
                .as_ref()
                .and_then(|home| view.reports.find_recent(state, home, view.now));
            if report.is_none() {
                homes_without_report.insert(home);
            }
            let usage = report.and_then(|report| Some((report, report.pools.get(pool)?)));
            let Some((report, usage)) = usage.filter(|_| !moving.contains(pool)) else {
                // A missing report shows neither load nor spare capacity, and during a move the
                // reports show its cost, not its effect.
                self.planner.reset_pool(pool);
                continue;
            };
            reported_loads.push(ReportedLoad {
                pool: pool.clone(),
                available: available_vms(state, pool, view.suspects),
                floor: config.floor,
                slots: usage.capacity,
                offered: f64::from(usage.offered_millislots) / 1_000.0,
                measured_at: report.measured_at.saturating_duration_since(self.start),
            });
        }
        let now = view.now.saturating_duration_since(self.start);
        let plan = self.planner.plan_move(now, &reported_loads, self.move_cost);
        let change = plan.and_then(|plan| {
            let vm = spare_vm(state, &plan.from, view.suspects)?;
            Some(FleetChange::StartMove { vm, to: plan.to })
        });
        RebalanceRound {
            change,
            missing_reports: homes_without_report.len() as u64,
        }
    }
}

/// Pools that donate or receive a VM in a move in progress.
fn moving_pools(state: &FleetState) -> BTreeSet<PoolId> {
    let moves = state.vms.values().filter_map(|vm| match &vm.activity {
        VmActivity::Moving { to, .. } => Some([vm.pool.clone(), to.clone()]),
        _ => None,
    });
    moves.flatten().collect()
}

fn spare_vm(state: &FleetState, pool: &str, suspects: &BTreeSet<VmId>) -> Option<VmId> {
    let mut vms = state.vms.iter().filter(|(vm, record)| {
        record.pool == pool
            && record.activity == VmActivity::Active
            && record.health == VmHealth::Up
            && !suspects.contains(*vm)
    });
    vms.next().map(|(vm, _)| vm.clone())
}
