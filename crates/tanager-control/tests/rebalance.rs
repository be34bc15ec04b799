//! Tests of moves by load: decisions with a simulated clock, and proposals of running services.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use prost::Message;
use tokio::task::JoinHandle;
use tokio::time;

use tanager_control::ControlTiming;
use tanager_control::rebalance::LoadView;
use tanager_control::rebalance::RebalanceCoordinator;
use tanager_control::rebalance::UsageReport;
use tanager_control::rebalance::UsageTable;
use tanager_control::select_home_node;
use tanager_fleet::apply_entry;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::peer::NodeStatus;
use tanager_protocol::peer::PoolUsage;

use support::Cluster;
use support::FakePlatform;
use support::configure;
use support::document;
use support::fast_timing;
use support::node_record;
use support::start_move;
use support::wait_until;

const MOVE_COST: Duration = Duration::from_secs(30);

fn usage(pool: &str, offered_millislots: u32) -> PoolUsage {
    let (pool, capacity) = (pool.to_owned(), 24);
    PoolUsage {
        pool,
        offered_millislots,
        capacity,
    }
}

/// Reports of one second: load of pools a and b of 24 slots in thousandths of a slot, `None` when
/// the home does not report, and the age of the reports in seconds.
type Load = (Option<u32>, Option<u32>, u32);
const HIGH: Load = (Some(40_000), Some(1_000), 0);
const LOW: Load = (Some(1_000), Some(1_000), 0);

/// Calls a coordinator each second. Node n0 is the home of pool a, n1 of pool b.
struct RebalanceHarness {
    state: FleetState,
    start: Instant,
    second: u32,
    reports: UsageTable,
    suspects: BTreeSet<String>,
    coordinator: RebalanceCoordinator,
    /// Second and change of each move.
    moves: Vec<(u32, FleetChange)>,
    missing: u64,
}

impl RebalanceHarness {
    fn new() -> Self {
        let start = Instant::now();
        let mut harness = Self {
            state: FleetState::default(),
            start,
            second: 0,
            reports: UsageTable::default(),
            suspects: BTreeSet::new(),
            coordinator: RebalanceCoordinator::new(start, MOVE_COST),
            moves: Vec::new(),
            missing: 0,
        };
        let document = document();
        harness.append(FleetChange::Configure { document });
        for index in 0..2 {
            let (node, record) = (format!("n{index}"), node_record(index, 1));
            harness.append(FleetChange::JoinNode { node, record });
        }
        harness
    }

    fn append(&mut self, change: FleetChange) {
        let entry = ChangeEntry {
            version: self.state.version + 1,
            author: "test".to_owned(),
            token: String::new(),
            change,
        };
        apply_entry(&mut self.state, &entry).expect("consecutive");
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs(self.second.into())
    }

    fn report(&mut self, node: &str, incarnation: u64, window: u32, age: u32, usage: PoolUsage) {
        let status = NodeStatus {
            node: node.to_owned(),
            incarnation,
            usage_window: window.into(),
            usage_age_ms: age * 1_000,
            usage: vec![usage],
            ..NodeStatus::default()
        };
        self.reports.record(&status, self.now());
    }

    fn run(&mut self, seconds: u32, (a, b, age): Load) {
        for _ in 0..seconds {
            let window = self.second + 1;
            for (node, pool, offered) in [("n0", "a", a), ("n1", "b", b)] {
                // Neither a report of another incarnation nor one with an old window must count.
                self.report(node, 7, window, 0, usage(pool, 23_000));
                if let Some(offered) = offered {
                    self.report(node, 1, window, age, usage(pool, offered));
                    self.report(node, 1, self.second, 0, usage(pool, 23_000));
                }
            }
            let round = self.coordinator.plan(&LoadView {
                state: &self.state,
                suspects: &self.suspects,
                now: self.now(),
                reports: &self.reports,
                home_of: &|pool| Some(if pool == "a" { "n0" } else { "n1" }.to_owned()),
            });
            let change = round.change.map(|change| (self.second, change));
            self.moves.extend(change);
            self.missing += round.missing_reports;
            self.second += 1;
        }
    }
}

/// Each case runs its phases, optionally edits the harness before a phase, and expects moves of
/// `$vm` to pool a. The documentation of a case describes the failure that it guards against.
macro_rules! cases {
    ($($(#[doc = $guard:literal])+ $name:ident: [$($seconds:literal of $load:expr
        $(, after $edit:expr)?;)*] => $vm:literal at $moves:expr, missing $missing:literal;)*) => {
        $($(#[doc = $guard])+ #[test] fn $name() {
            let mut harness = RebalanceHarness::new();
            $($({ let edit: fn(&mut RebalanceHarness) = $edit; edit(&mut harness); })?
            harness.run($seconds, $load);)*
            let moves: &[u32] = &$moves;
            let moves: Vec<_> = moves.iter().map(|second| (*second, start_move($vm, "a"))).collect();
            assert_eq!((harness.moves, harness.missing), (moves, $missing));
        })*
    };
}

cases! {
    /// A lasting overload that causes no move, or a refused proposal that is repeated each second:
    /// here no proposal takes effect.
    lasting_load_moves: [100 of HIGH;] => "b0" at [31, 63, 95], missing 0;
    /// A move of a suspected VM.
    suspect_vm_stays: [40 of HIGH, after |harness| {
        harness.suspects.insert("b0".to_owned());
    };] => "b1" at [31], missing 0;
    /// Lag of reports that counts as duration of the load.
    lagging_reports_delay_a_move: [40 of (HIGH.0, HIGH.1, 4);] => "b0" at [35], missing 0;
    /// A decision based on outdated reports.
    old_reports_cause_no_move: [100 of (HIGH.0, HIGH.1, 6);] => "" at [], missing 200;
    /// A move because of a surge that is shorter than the cost of a move.
    short_surges_cause_no_move: [29 of HIGH; 31 of LOW; 29 of HIGH; 31 of LOW;]
        => "" at [], missing 0;
    /// A move because of such a surge when its reports arrive late.
    late_reports_of_a_surge_cause_no_move: [29 of (HIGH.0, HIGH.1, 4); 31 of (LOW.0, LOW.1, 4);]
        => "" at [], missing 0;
    /// Missing reports of the donor that count as spare capacity. The report of second 19 is recent
    /// until second 24.
    missing_donor_reports_delay_a_move: [20 of HIGH; 40 of (HIGH.0, None, 0); 40 of HIGH;]
        => "b0" at [91], missing 35;
    /// Missing reports of the receiver that count as load.
    missing_receiver_reports_delay_a_move: [20 of HIGH; 40 of (None, HIGH.1, 0); 40 of HIGH;]
        => "b0" at [91], missing 35;
    /// A new coordinator that moves a VM at once.
    new_coordinator_waits: [20 of HIGH; 40 of HIGH, after |harness| {
        harness.coordinator = RebalanceCoordinator::new(harness.now(), MOVE_COST);
    };] => "b0" at [51], missing 0;
    /// A second move before the reports show the effect of the first one.
    move_in_progress_blocks_its_pools: [20 of HIGH; 50 of HIGH, after |harness| {
        harness.append(start_move("b2", "a"));
    }; 40 of HIGH, after |harness| {
        harness.append(FleetChange::CommitMove { vm: "b2".to_owned() });
    };] => "b0" at [101], missing 0;
    /// A move that takes the donor below its floor.
    donor_at_its_floor_keeps_its_vms: [100 of HIGH, after |harness| {
        harness.state.document.pools.get_mut("b").expect("configured").floor = 3;
    };] => "" at [], missing 0;
}

/// Guards against reports that exceed the traffic limit of control messages, or contain idle pools
/// at their floor.
#[test]
fn reports_are_small_at_the_design_size() {
    let nodes: Vec<String> = (0..7).map(|index| format!("entry-{index}")).collect();
    for (pools, bound) in [(5_usize, 200), (218, 1_500)] {
        let mut state = FleetState::default();
        let mut homes: BTreeMap<&String, Vec<PoolUsage>> = BTreeMap::new();
        for index in 0..pools {
            let pool = format!("photo-inspection-{index}");
            let home = select_home_node(&pool, &nodes).expect("a node");
            let home = homes.entry(home).or_default();
            home.extend([usage(&pool, 123_456), usage("idle", 0)]);
            state
                .document
                .pools
                .insert(pool, document().pools["a"].clone());
        }
        let sizes = homes.into_values().map(|pools| {
            let (window, age) = (1 << 20, MOVE_COST);
            let mut status = NodeStatus::default();
            let report = UsageReport { window, age, pools };
            report.attach(&state, &BTreeSet::new(), &mut status);
            (status.usage.len(), status.encoded_len())
        });
        let sizes: Vec<(usize, usize)> = sizes.collect();
        println!("{pools} pools: (pools of a node, bytes) {sizes:?}");
        assert!(sizes.iter().all(|(_, bytes)| *bytes <= bound), "{sizes:?}");
        assert_eq!(sizes.iter().map(|(count, _)| count).sum::<usize>(), pools);
    }
}

/// Guards against two concurrent coordinators that move one VM twice, and against a conflicting
/// proposal that is not counted or is repeated at once.
#[tokio::test]
async fn one_of_two_coordinators_moves_a_vm() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let timing = ControlTiming {
        contact_timeout: Duration::from_millis(50),
        ..fast_timing()
    };
    let first = cluster.spawn(&platform, 1, 2, timing);
    wait_until(|| first.may_dispatch()).await;
    configure(&first).await;
    // Reads the store only at its start and for a proposal, so it does not learn of the first
    // node's move.
    let poll_interval = Duration::from_secs(600);
    let second = cluster.spawn(
        &platform,
        0,
        1,
        ControlTiming {
            poll_interval,
            ..timing
        },
    );
    wait_until(|| second.may_dispatch()).await;
    cluster.disconnect(0);
    cluster.disconnect(1);
    wait_until(|| first.is_home("rebalance") && second.is_home("rebalance")).await;
    let report_usage = |node: &'static str| {
        let usages = Arc::clone(&cluster.usage);
        tokio::spawn(async move {
            for window in 1.. {
                let pools = vec![usage("a", 40_000), usage("b", 1_000)];
                let age = Duration::ZERO;
                let report = UsageReport { window, age, pools };
                usages.lock().unwrap().insert(node.to_owned(), report);
                time::sleep(Duration::from_millis(5)).await;
            }
        })
    };
    let reporters = [report_usage("n1"), {
        wait_until(|| first.rebalance_counters().moves_proposed > 0).await;
        report_usage("n0")
    }];
    wait_until(|| second.rebalance_counters().moves_proposed > 0).await;
    // Several times the cost of a move.
    time::sleep(Duration::from_secs(1)).await;
    reporters.iter().for_each(JoinHandle::abort);
    let counts = [&first, &second].map(|service| {
        let counters = service.rebalance_counters();
        (counters.moves_proposed, counters.moves_refused)
    });
    assert_eq!(counts, [(1, 0), (1, 1)]);
    let history = first.history(1_000).await.expect("history");
    let moves = history.iter().filter(|entry| entry.author == "rebalance");
    let changes: Vec<&FleetChange> = moves.map(|entry| &entry.change).collect();
    assert_eq!(changes, [&start_move("b0", "a")]);
}
