//! Moves by load: decisions with time passed in, and proposals of real services.

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
use tanager_control::rendezvous_home;
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

const COST: Duration = Duration::from_secs(30);

fn usage(pool: &str, offered_millislots: u32) -> PoolUsage {
    let (pool, capacity) = (pool.to_owned(), 24);
    PoolUsage {
        pool,
        offered_millislots,
        capacity,
    }
}

/// Reports of one second: thousandths of slots offered to pools a and b of 24 slots, `None` when
/// the home is silent, and the age of the reports in seconds.
type Load = (Option<u32>, Option<u32>, u32);
const HOT: Load = (Some(40_000), Some(1_000), 0);
const CALM: Load = (Some(1_000), Some(1_000), 0);

/// A coordinator that is called each second. Node n0 is home of pool a, n1 of pool b.
struct RebalanceBench {
    state: FleetState,
    start: Instant,
    second: u32,
    reports: UsageTable,
    suspects: BTreeSet<String>,
    coordinator: RebalanceCoordinator,
    /// Second, VM and receiving pool of each move.
    moves: Vec<(u32, FleetChange)>,
    missing: u64,
}

impl RebalanceBench {
    fn new() -> Self {
        let start = Instant::now();
        let mut bench = Self {
            state: FleetState::default(),
            start,
            second: 0,
            reports: UsageTable::default(),
            suspects: BTreeSet::new(),
            coordinator: RebalanceCoordinator::new(start, COST),
            moves: Vec::new(),
            missing: 0,
        };
        let document = document();
        bench.append(FleetChange::Configure { document });
        for index in 0..2 {
            let (node, record) = (format!("n{index}"), node_record(index, 1));
            bench.append(FleetChange::JoinNode { node, record });
        }
        bench
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
                // Neither an earlier run of the node nor a late status counts.
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

/// Each case runs its phases, each after a change of the bench, and expects moves of `$vm` to a.
/// The documentation of a case says which failure it guards against.
macro_rules! cases {
    ($($(#[doc = $guard:literal])+ $name:ident: [$($seconds:literal of $load:expr
        $(, after $edit:expr)?;)*] => $vm:literal at $moves:expr, missing $missing:literal;)*) => {
        $($(#[doc = $guard])+ #[test] fn $name() {
            let mut bench = RebalanceBench::new();
            $($({ let edit: fn(&mut RebalanceBench) = $edit; edit(&mut bench); })?
            bench.run($seconds, $load);)*
            let moves: &[u32] = &$moves;
            let moves: Vec<_> = moves.iter().map(|second| (*second, start_move($vm, "a"))).collect();
            assert_eq!((bench.moves, bench.missing), (moves, $missing));
        })*
    };
}

cases! {
    /// A lasting overload that is never helped, or a refused proposal that is repeated each
    /// second: here no proposal takes effect.
    lasting_load_moves: [100 of HOT;] => "b0" at [31, 63, 95], missing 0;
    /// A VM that is suspect.
    suspect_vm_stays: [40 of HOT, after |bench| {
        bench.suspects.insert("b0".to_owned());
    };] => "b1" at [31], missing 0;
    /// Lag of reports that is taken for load that has lasted.
    lagging_reports_delay_a_move: [40 of (HOT.0, HOT.1, 4);] => "b0" at [35], missing 0;
    /// A decision on reports that say nothing about the present.
    old_reports_cause_no_move: [100 of (HOT.0, HOT.1, 6);] => "" at [], missing 200;
    /// A surge shorter than the cost of a move that causes one.
    short_surges_cause_no_move: [29 of HOT; 31 of CALM; 29 of HOT; 31 of CALM;]
        => "" at [], missing 0;
    /// The same when the reports of the surge come late.
    late_reports_of_a_surge_cause_no_move: [29 of (HOT.0, HOT.1, 4); 31 of (CALM.0, CALM.1, 4);]
        => "" at [], missing 0;
    /// Silence of the donor's home that counts as room. The report of second 19 is recent until 24.
    silence_is_no_room: [20 of HOT; 40 of (HOT.0, None, 0); 40 of HOT;] => "b0" at [91], missing 35;
    /// Silence of the other home that counts as load.
    silence_is_no_load: [20 of HOT; 40 of (None, HOT.1, 0); 40 of HOT;] => "b0" at [91], missing 35;
    /// A new coordinator that moves at once.
    new_coordinator_waits: [20 of HOT; 40 of HOT, after |bench| {
        bench.coordinator = RebalanceCoordinator::new(bench.now(), COST);
    };] => "b0" at [51], missing 0;
    /// A second move before the effect of the first shows in the reports.
    moves_block_their_pools: [20 of HOT; 50 of HOT, after |bench| {
        bench.append(start_move("b2", "a"));
    }; 40 of HOT, after |bench| {
        bench.append(FleetChange::CommitMove { vm: "b2".to_owned() });
    };] => "b0" at [101], missing 0;
    /// A donor that is taken below its floor.
    donor_at_its_floor_gives_nothing: [100 of HOT, after |bench| {
        bench.state.document.pools.get_mut("b").expect("configured").floor = 3;
    };] => "" at [], missing 0;
}

/// Reports that exceed the traffic allowed for control, or contain idle pools at their floor.
#[test]
fn reports_are_small_at_the_design_size() {
    let nodes: Vec<String> = (0..7).map(|index| format!("entry-{index}")).collect();
    for (pools, bound) in [(5_usize, 200), (218, 1_500)] {
        let mut state = FleetState::default();
        let mut homes: BTreeMap<&String, Vec<PoolUsage>> = BTreeMap::new();
        for index in 0..pools {
            let pool = format!("photo-inspection-{index}");
            let home = rendezvous_home(&pool, &nodes).expect("a node");
            let home = homes.entry(home).or_default();
            home.extend([usage(&pool, 123_456), usage("idle", 0)]);
            state
                .document
                .pools
                .insert(pool, document().pools["a"].clone());
        }
        let sizes = homes.into_values().map(|pools| {
            let (window, age) = (1 << 20, COST);
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

/// Two coordinators at once that move one VM twice, and a conflicting proposal that is not
/// counted or is repeated at once.
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
    // Reads the store only at its start and for a proposal, so it does not see the other's move.
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
    cluster.cut(0);
    cluster.cut(1);
    wait_until(|| first.is_home("rebalance") && second.is_home("rebalance")).await;
    let feed = |node: &'static str| {
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
    let feeds = [feed("n1"), {
        wait_until(|| first.rebalance_counters().moves_proposed > 0).await;
        feed("n0")
    }];
    wait_until(|| second.rebalance_counters().moves_proposed > 0).await;
    // Several times the cost of a move.
    time::sleep(Duration::from_secs(1)).await;
    feeds.iter().for_each(JoinHandle::abort);
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
