//! Division of caps and the limits of a cell. Each test names the failure that it guards against.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tanager_jobs::ResourceAmount;
use tanager_schedule::WorkspacePolicy;
use tanager_schedule::allowance::Amounts;
use tanager_schedule::allowance::add;
use tanager_schedule::allowance::division::CellDemand;
use tanager_schedule::allowance::division::divide;
use tanager_schedule::allowance::holder::CellAllowances;
use tanager_schedule::allowance::is_within;
use tanager_schedule::allowance::missing::LimitEnd;
use tanager_schedule::allowance::report::AllowanceReply;
use tanager_schedule::allowance::report::AllowanceReport;
use tanager_schedule::allowance::report::WorkspaceReport;
use tanager_schedule::allowance::request::StartRequest;
use tanager_schedule::allowance::reservation::is_refused;
use tanager_schedule::allowance::table::AllowanceTable;
use tanager_schedule::allowance::table::LIMIT_VALIDITY;

const CAP: Amounts = [10_000, 0, 0];
const LEASE: Duration = Duration::from_millis(5_700);

fn cpu(amount: u64) -> Amounts {
    [amount, 0, 0]
}

fn demand(used: u64, wanted: u64, smallest: u64) -> CellDemand {
    CellDemand {
        used: cpu(used),
        wanted: cpu(wanted),
        smallest: cpu(smallest),
        ..CellDemand::default()
    }
}

fn table(cells: &[&str]) -> AllowanceTable {
    let mut table = AllowanceTable::new(1, LEASE, Duration::ZERO);
    let policy = WorkspacePolicy {
        weight: 4.0,
        cap: ResourceAmount {
            cpu: CAP[0],
            ..ResourceAmount::default()
        },
    };
    table.set_policies(1, [("w".to_owned(), policy)]);
    let cells: BTreeMap<String, bool> = cells
        .iter()
        .map(|cell| ((*cell).to_owned(), true))
        .collect();
    table.set_cells(&cells, Duration::ZERO);
    table
}

fn report(
    cell: &str,
    number: u64,
    limit: u64,
    used: u64,
    wanted: u64,
    task: u64,
) -> AllowanceReport {
    AllowanceReport {
        cell: cell.to_owned(),
        token: 1,
        number,
        workspaces: vec![WorkspaceReport {
            name: "w".to_owned(),
            cap: CAP,
            limit: cpu(limit),
            used: cpu(used),
            wanted: cpu(wanted),
            smallest: cpu(task),
            largest: cpu(task),
            single: cpu(task),
            arrivals: 1.0,
        }],
    }
}

fn policies(cap: u64) -> BTreeMap<String, WorkspacePolicy> {
    let policy = WorkspacePolicy {
        weight: 4.0,
        cap: ResourceAmount {
            cpu: cap,
            ..ResourceAmount::default()
        },
    };
    BTreeMap::from([("w".to_owned(), policy)])
}

fn limit(reply: &Option<AllowanceReply>) -> u64 {
    reply.as_ref().expect("a reply").workspaces[0].limit[0]
}

/// Guards against a division that gives a cell more than its equal part while another one waits.
#[test]
fn division_is_max_min_fair() {
    let parts = divide(&CAP, &[demand(0, 2_000, 1_000), demand(0, 90_000, 1_000)]);
    assert_eq!(parts, vec![cpu(2_000), cpu(8_000)]);
    let parts = divide(&CAP, &[demand(0, 90_000, 1_000), demand(0, 90_000, 1_000)]);
    assert_eq!(parts, vec![cpu(5_000), cpu(5_000)]);
}

/// Guards against a part below what a cell uses of a resource that is not scarce, because its waiting
/// tasks need more of the scarce one than its running tasks (fmra-atlas-grown, trouble-3: SHORT).
#[test]
fn waiting_tasks_of_another_mix_get_what_is_free() {
    let cap = [10_000, 10_000, 0];
    let cell = CellDemand {
        used: [5_000, 1_000, 0],
        wanted: [1_000, 20_000, 0],
        smallest: [100, 2_000, 0],
        ..CellDemand::default()
    };
    assert_eq!(
        divide(&cap, std::slice::from_ref(&cell)),
        vec![[5_400, 9_000, 0]]
    );
    let other = CellDemand {
        used: [0, 4_000, 0],
        ..CellDemand::default()
    };
    assert_eq!(
        divide(&cap, &[cell, other]),
        vec![[5_200, 5_000, 0], [0, 4_000, 0]]
    );
}

/// Guards against parts whose sum is above the cap, and against a cell that gets nothing although its
/// smallest task fits beside all that is in use and no other cell waits.
#[test]
fn parts_of_mixed_tasks_are_within_the_cap() {
    let mut rng = SmallRng::seed_from_u64(47);
    for _ in 0..20_000 {
        let cap = [10_000, 10_000, 40];
        let mut cells: Vec<CellDemand> = (0..rng.random_range(1..6))
            .map(|_| {
                let smallest = cap.map(|amount| rng.random_range(0..=amount / 10));
                let count = rng.random_range(0..50);
                CellDemand {
                    used: cap.map(|amount| rng.random_range(0..=amount / 4)),
                    wanted: smallest.map(|amount| amount * count),
                    smallest: smallest.map(|amount| amount * count.min(1)),
                    ..CellDemand::default()
                }
            })
            .collect();
        let check = |cells: &[CellDemand]| {
            let parts = divide(&cap, cells);
            let total = parts.iter().fold([0; 3], |sum, part| add(&sum, part));
            assert!(is_within(&total, &cap, &cap), "{total:?}: {cells:?}");
            parts
        };
        check(&cells);
        for cell in &mut cells[1..] {
            (cell.wanted, cell.smallest) = Default::default();
        }
        let parts = check(&cells);
        let used = cells.iter().fold([0; 3], |sum, cell| add(&sum, &cell.used));
        let least = add(&used, &cells[0].smallest);
        if cells[0].wanted != [0; 3] && is_within(&least, &cap, &cap) {
            let needed = add(&cells[0].used, &cells[0].smallest);
            assert!(is_within(&needed, &parts[0], &cap), "{parts:?}: {cells:?}");
        }
    }
}

/// Guards against a part that stands idle because it is too small for a waiting task.
#[test]
fn parts_consist_of_whole_tasks() {
    let parts = divide(&CAP, &[demand(0, 60_000, 6_000), demand(0, 60_000, 1_000)]);
    assert_eq!(parts, vec![cpu(0), cpu(10_000)]);
}

/// Guards against two cells that together run more than the cap when a reply is lost.
#[test]
fn limit_of_a_lost_reply_stays_reserved() {
    let mut table = table(&["a", "b"]);
    let now = Duration::from_millis(10);
    table.answer(&report("b", 1, 0, 0, 0, 0), now);
    let lost = table.answer(&report("a", 1, 0, 0, 8_000, 1_000), now);
    assert_eq!(limit(&lost), 8_000);
    let reply = table.answer(&report("b", 2, 0, 0, 8_000, 1_000), now);
    assert_eq!(limit(&reply), 2_000);
    // A report of the cell shows that the reply was lost.
    let reply = table.answer(&report("a", 2, 0, 0, 0, 0), now);
    assert_eq!(limit(&reply), 0);
    let reply = table.answer(&report("b", 3, 2_000, 2_000, 6_000, 1_000), now);
    assert_eq!(limit(&reply), 8_000);
}

/// Guards against a late report that overwrites a newer one.
#[test]
fn late_report_is_dropped() {
    let mut table = table(&["a"]);
    let now = Duration::from_millis(10);
    assert!(table.answer(&report("a", 2, 0, 0, 0, 0), now).is_some());
    assert_eq!(table.answer(&report("a", 1, 0, 0, 0, 0), now), None);
}

/// Guards against a new allocator that grants what another cell still holds.
#[test]
fn new_allocator_grants_only_what_is_held() {
    let mut table = table(&["a", "b"]);
    let now = Duration::from_millis(10);
    let reply = table.answer(&report("a", 1, 3_000, 3_000, 7_000, 1_000), now);
    assert_eq!(limit(&reply), 3_000);
    assert!(!table.is_rebuilt());
    table.answer(&report("b", 1, 6_000, 6_000, 0, 0), now);
    let reply = table.answer(&report("a", 2, 3_000, 3_000, 7_000, 1_000), now);
    assert_eq!(limit(&reply), 4_000);
}

/// Guards against a task larger than the cap that never runs, and against two of them at once.
#[test]
fn single_task_may_exceed_the_cap() {
    let mut table = table(&["a", "b"]);
    let now = Duration::from_millis(10);
    table.answer(&report("b", 1, 0, 0, 0, 0), now);
    let reply = table.answer(&report("a", 1, 0, 0, 12_000, 12_000), now);
    let reply = table.answer(&report("a", 2, limit(&reply), 0, 12_000, 12_000), now);
    assert_eq!(reply.expect("a reply").workspaces[0].excess, cpu(12_000));
    let reply = table.answer(&report("b", 2, 0, 0, 12_000, 12_000), now);
    let terms = &reply.expect("a reply").workspaces[0];
    assert_eq!((terms.limit, terms.excess), (cpu(0), cpu(0)));
}

/// Guards against messages that cost an entry VM more of its link than the notes state.
#[test]
fn report_sizes() {
    let mut report = report("debo14c/3", 100_000, 48_000, 42_500, 12_000, 3_100);
    report.workspaces[0].name = "workspace-12".to_owned();
    let size = |report: &AllowanceReport| serde_json::to_vec(report).expect("JSON").len();
    let one = size(&report);
    report.workspaces = vec![report.workspaces[0].clone(); 20];
    let entry = (size(&report) - one) / 19;
    println!("{} bytes and {entry} for each workspace", one - entry);
    assert!(entry < 300, "{entry} bytes for each workspace");
}

/// Guards against a refusal whose cause, a cell that keeps more than it uses, is in no log line.
#[test]
fn refusal_names_what_is_reserved_elsewhere() {
    let mut table = table(&["a", "b"]);
    let at = Duration::from_millis;
    table.answer(&report("b", 1, 9_500, 500, 0, 0), at(10));
    let refused = report("a", 1, 0, 0, 8_000, 1_000);
    let reply = table.answer(&refused, at(400)).expect("a reply");
    assert!(is_refused(&refused.workspaces[0], &reply.workspaces[0]));
    let cause = table.refusal_cause(&refused, "w", at(400));
    assert_eq!((cause.cap, cause.unknown_cells.len()), (CAP, 0));
    assert_eq!(cause.rebuilt_for, Some(Duration::ZERO));
    let other = &cause.others[0];
    assert_eq!(
        (other.limit, other.sent, other.used),
        (cpu(9_500), cpu(9_500), cpu(500))
    );
    assert_eq!((other.report_age, other.has_owner), (at(390), true));
    let held: Vec<_> = table
        .held_cells(at(1_600))
        .into_iter()
        .map(|held| held.cell)
        .collect();
    assert_eq!(held, vec!["b"]);
}

/// Guards against a log that doesn't tell a limit that expired from one that was never granted or is
/// void.
#[test]
fn missing_limit_tells_how_it_ended() {
    let at = Duration::from_millis;
    let mut held = CellAllowances::default();
    let terms = policies(CAP[0]);
    let request = StartRequest {
        step: 1,
        amount: cpu(1_000),
        count: 2,
        is_gang: false,
    };
    held.record_waiting("w", terms.get("w"), &request, 0, at(0));
    let end = |held: &CellAllowances, cap, now| {
        let missing = held.missing_limits(&policies(cap), now);
        missing
            .first()
            .map(|missing| (missing.end, missing.ended_for))
    };
    assert_eq!(end(&held, CAP[0], at(0)), Some((None, Duration::ZERO)));
    let sent = held.create_report(&"a".to_owned(), 1, &terms, at(0));
    let reply = table(&["a"]).answer(&sent, at(5)).expect("a reply");
    held.apply_reply(&reply, at(10));
    assert_eq!(end(&held, CAP[0], at(10)), None);
    held.set_version(2);
    let void = Some((Some(LimitEnd::Void), Duration::ZERO));
    assert_eq!(end(&held, 5_000, at(20)), void);
    held.create_report(&"a".to_owned(), 1, &terms, LIMIT_VALIDITY);
    let expired = Some((Some(LimitEnd::Expired), at(1_000)));
    assert_eq!(end(&held, CAP[0], LIMIT_VALIDITY + at(1_000)), expired);
}
