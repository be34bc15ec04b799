//! Home selection, lending, moves and waves.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use tanager_dispatch::home::rank_homes;
use tanager_dispatch::home::select_home;
use tanager_dispatch::lending::LentTask;
use tanager_dispatch::lending::PoolLoad;
use tanager_dispatch::lending::PreemptionAction;
use tanager_dispatch::lending::lending_headroom;
use tanager_dispatch::lending::plan_loans;
use tanager_dispatch::lending::plan_preemption;
use tanager_dispatch::rebalance::MovePlanner;
use tanager_dispatch::rebalance::ReportedLoad;
use tanager_dispatch::wave::WaveProgress;
use tanager_dispatch::wave::WaveVm;
use tanager_dispatch::wave::min_wave_rounds;
use tanager_dispatch::wave::next_wave_vms;
use tanager_dispatch::wave::wave_order;

use support::ms;

/// Defines one test per case; its documentation states the failure that it guards against.
macro_rules! cases {
    ($($(#[doc = $guard:literal])+ $name:ident $body:block)*) => {
        $($(#[doc = $guard])+ #[test] fn $name() $body)*
    };
}

const NODES: [&str; 7] = ["e1", "e2", "e3", "e4", "e5", "e6", "e7"];

fn reported_load(pool: &str, offered: f64, available: u32, measured_at: u64) -> ReportedLoad {
    ReportedLoad {
        pool: pool.to_owned(),
        available,
        floor: 6,
        slots: available * 8,
        offered,
        measured_at: Duration::from_secs(measured_at),
    }
}

fn pool_load(pool: &str, used: u32, waiting_batch: u32) -> PoolLoad {
    PoolLoad {
        pool: pool.to_owned(),
        capacity: 80,
        used,
        waiting: waiting_batch,
        waiting_batch,
        ..PoolLoad::default()
    }
}

fn wave_vms(zones: &[usize]) -> Vec<WaveVm> {
    let vms = zones.iter().enumerate().flat_map(|(zone, count)| {
        (0..*count).map(move |index| WaveVm {
            vm: format!("vm-{zone}-{index}"),
            zone: format!("zone-{zone}"),
            rack: format!("rack-{zone}-{}", index / 4),
        })
    });
    vms.collect()
}

/// Runs a wave in which the maintenance of each VM takes one round. Returns the number of rounds
/// and the largest number of zones in maintenance at once.
fn run_wave(vms: &[WaveVm], floor: u32) -> (usize, usize) {
    let total = u32::try_from(vms.len()).expect("small");
    let mut waiting = wave_order(vms);
    let zones: BTreeMap<&str, &str> = vms
        .iter()
        .map(|vm| (vm.vm.as_str(), vm.zone.as_str()))
        .collect();
    let (mut rounds, mut max_zones) = (0, 0);
    while !waiting.is_empty() {
        let progress = WaveProgress {
            vms,
            waiting: &waiting,
            running: &[],
            available: total,
            floor,
        };
        let started = next_wave_vms(&progress);
        assert!(!started.is_empty() && started.len() <= (total - floor) as usize);
        let used: BTreeSet<&str> = started.iter().map(|vm| zones[vm.as_str()]).collect();
        max_zones = max_zones.max(used.len());
        waiting.retain(|vm| !started.contains(vm));
        rounds += 1;
    }
    (rounds, max_zones)
}

cases! {
    /// Guards against a hash that differs between processes or versions, so that nodes disagree on
    /// a home.
    homes_are_stable {
        let homes = ["diary-intake", "case-files", "evidence-media", "spare"]
            .map(|pool| select_home(pool, NODES));
        assert_eq!(homes, [Some("e2"), Some("e1"), Some("e1"), Some("e7")]);
        assert_eq!(select_home("spare", []), None);
        assert_eq!(rank_homes("spare", NODES).first().copied(), select_home("spare", NODES));
    }

    /// Guards against a lost node that changes the homes on other nodes, and against an uneven
    /// distribution.
    losing_a_node_changes_only_its_homes {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for index in 0..700 {
            let pool = format!("pool-{index}");
            let home = select_home(&pool, NODES).expect("nodes exist");
            *counts.entry(home).or_default() += 1;
            let rest = NODES.into_iter().filter(|node| *node != "e3");
            let later = select_home(&pool, rest).expect("nodes exist");
            assert!(home == "e3" || later == home);
            assert_eq!(rank_homes(&pool, NODES).iter().find(|node| **node != "e3"), Some(&later));
        }
        assert!(counts.len() == 7 && counts.values().all(|count| (60..=140).contains(count)),
            "{counts:?}");
    }

    /// Guards against lending slots that their owner needs, and against lending all idle slots to
    /// one pool.
    loans_are_fair_and_leave_the_owner_its_slots {
        let mut lender = pool_load("spare", 20, 0);
        lender.waiting = 10;
        lender.headroom = 6;
        lender.lent = 4;
        let loans = plan_loans(&[pool_load("a", 80, 100), pool_load("b", 80, 10), lender]);
        let slots: BTreeMap<&str, u32> =
            loans.iter().map(|loan| (loan.borrower.as_str(), loan.slots)).collect();
        assert_eq!(slots, [("a", 30), ("b", 10)].into());
        assert!(loans.iter().all(|loan| loan.lender == "spare"));
        assert_eq!(lending_headroom(12.0, ms(400)), 5);
    }

    /// Guards against stopping a task although throttling or a checkpoint would free its slots in
    /// time.
    preemption_takes_the_cheapest_step {
        let task = |lease, unsaved, checkpoint: Option<u64>, can_throttle| LentTask {
            lease,
            slots: 1,
            unsaved_work: ms(unsaved),
            checkpoint_time: checkpoint.map(ms),
            can_throttle,
        };
        let tasks = [task(1, 9_000, None, false), task(2, 5_000, Some(400), false),
            task(3, 8_000, Some(3_000), false), task(4, 70, Some(100), false),
            task(5, 9_000, None, true)];
        let plan = plan_preemption(&tasks, 4, ms(1_000));
        assert_eq!(plan, [(5, PreemptionAction::Throttle), (2, PreemptionAction::Checkpoint),
            (4, PreemptionAction::Stop), (3, PreemptionAction::Stop)]);
        assert!(plan_preemption(&tasks, 0, ms(1_000)).is_empty());
    }

    /// Guards against a move for a surge that is shorter than the cost of the move.
    short_surge_causes_no_move {
        let mut planner = MovePlanner::default();
        let cost = Duration::from_secs(30);
        for second in 0..600 {
            let surge = second % 60 < 29;
            let offered = if surge { 200.0 } else { 10.0 };
            let pools =
                [reported_load("hot", offered, 10, second), reported_load("cold", 5.0, 10, second)];
            assert_eq!(planner.plan_move(Duration::from_secs(second + 3), &pools, cost), None);
        }
    }

    /// Guards against treating two short surges with a pause between them as one long surge.
    short_surges_with_a_pause_cause_no_move {
        let mut planner = MovePlanner::default();
        let cost = Duration::from_secs(30);
        for second in 0..600 {
            let offered = if matches!(second % 60, 0..20 | 22..42) { 200.0 } else { 10.0 };
            let pools =
                [reported_load("hot", offered, 10, second), reported_load("cold", 5.0, 10, second)];
            assert_eq!(planner.plan_move(Duration::from_secs(second), &pools, cost), None);
        }
    }

    /// Guards against treating a lasting overload with single low reports as many short ones.
    noisy_reports_do_not_hide_a_lasting_load {
        let mut planner = MovePlanner::default();
        let cost = Duration::from_secs(30);
        let moves = (0..100).filter(|second| {
            let offered = if second % 7 == 0 { 60.0 } else { 130.0 };
            let pools = [
                reported_load("hot", offered, 10, *second),
                reported_load("cold", 5.0, 10, *second)];
            planner.plan_move(Duration::from_secs(*second), &pools, cost).is_some()
        });
        // One after each 30 s of overload.
        assert_eq!(moves.count(), 3);
    }

    /// Guards against a lasting overload without a move, and against taking the donor below its
    /// floor.
    lasting_load_moves_one_vm_at_a_time_and_respects_floors {
        let mut planner = MovePlanner::default();
        let cost = Duration::from_secs(30);
        let (mut hot, mut cold, mut moves) = (10, 8, Vec::new());
        for second in 0..300 {
            let pools = [
                reported_load("hot", 200.0, hot, second), reported_load("cold", 5.0, cold, second),
                reported_load("at-floor", 0.0, 6, second)];
            if let Some(plan) = planner.plan_move(Duration::from_secs(second), &pools, cost) {
                assert_eq!((plan.from.as_str(), plan.to.as_str()), ("cold", "hot"));
                hot += 1;
                cold -= 1;
                moves.push(second);
            }
        }
        assert_eq!(cold, 6);
        assert_eq!(moves, [31, 63]);
    }

    /// Guards against a move that is based on an outdated report.
    stale_reports_cause_no_move {
        let mut planner = MovePlanner::default();
        for second in 0..300 {
            let pools =
                [reported_load("hot", 200.0, 10, second), reported_load("cold", 5.0, 10, second)];
            let now = Duration::from_secs(second + 16);
            assert_eq!(planner.plan_move(now, &pools, Duration::from_secs(30)), None);
        }
    }

    /// Guards against a repeated report that outweighs later ones in the mean.
    repeated_reports_count_once {
        let mut planner = MovePlanner::default();
        let cost = Duration::from_secs(30);
        let mut moves = 0;
        for second in 0..40 {
            // Above the 80 slots only if the first report counts more than once.
            let offered = if second == 0 { 200.0 } else if second % 2 == 0 { 81.0 } else { 70.0 };
            let pools =
                [reported_load("hot", offered, 10, second), reported_load("cold", 5.0, 10, second)];
            for _ in 0..if second == 0 { 20 } else { 1 } {
                moves += usize::from(
                    planner.plan_move(Duration::from_secs(second), &pools, cost).is_some());
            }
        }
        assert_eq!(moves, 0);
    }

    /// Guards against a wave that covers several zones without need, or takes far longer than its
    /// floor requires.
    waves_stay_in_one_zone_when_that_is_affordable {
        assert_eq!(run_wave(&wave_vms(&[4, 3, 3]), 6), (3, 1));
        assert_eq!(run_wave(&wave_vms(&[2, 2, 2, 2]), 4), (2, 2));
    }

    /// Guards against a wave that starts VMs although a failure has already reduced the pool to its
    /// floor.
    wave_waits_at_the_floor {
        let vms = wave_vms(&[4, 4]);
        let waiting = wave_order(&vms);
        let progress = |running, available| WaveProgress {
            vms: &vms, waiting: &waiting[2..], running, available, floor: 5,
        };
        assert!(next_wave_vms(&progress(&waiting[..2], 5)).is_empty());
        assert_eq!(next_wave_vms(&progress(&waiting[..2], 6)), waiting[2..3]);
        assert!(next_wave_vms(&progress(&waiting[..2], 3)).is_empty());
    }

    /// Guards against any layout for which a wave violates the floor or leaves no time for drains
    /// within 1.5 times its shortest time.
    waves_are_within_a_fifth_of_the_shortest {
        let config = ProptestConfig {
            failure_persistence: None,
            rng_seed: RngSeed::Fixed(21),
            ..ProptestConfig::default()
        };
        proptest!(config, |(zones in prop::collection::vec(0..7_usize, 1..5), spare in 1..8_u32)| {
            let vms = wave_vms(&zones);
            let total = u32::try_from(vms.len()).expect("small");
            prop_assume!(total > 0);
            let spare = spare.min(total);
            let (rounds, _) = run_wave(&vms, total - spare);
            let shortest = min_wave_rounds(vms.len(), spare as usize).expect("some may start");
            prop_assert!(rounds * 5 <= shortest * 6, "{} rounds, shortest {}", rounds, shortest);
        });
    }
}
