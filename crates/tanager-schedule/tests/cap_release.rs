//! How soon a cell gets what the other cells of its workspace no longer use. Each test names the failure
//! that it guards against.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_jobs::ResourceAmount;
use tanager_schedule::WorkspacePolicy;
use tanager_schedule::allowance::Amounts;
use tanager_schedule::allowance::add;
use tanager_schedule::allowance::holder::CellAllowances;
use tanager_schedule::allowance::is_within;
use tanager_schedule::allowance::report::AllowanceReply;
use tanager_schedule::allowance::request::StartRequest;
use tanager_schedule::allowance::table::AllowanceTable;

const CAP: Amounts = [10_000, 0, 0];
const LEASE: Duration = Duration::from_millis(5_700);
/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Time for a report and its reply on the network.
const ROUND_TRIP: Duration = Duration::from_millis(10);
/// Time after the others have stopped using the cap by which the wanting cell must have it.
const RELEASE_LIMIT: Duration = Duration::from_millis(1_000);
/// The same after the restart of an allocator to which all live cells have reported.
const RESTART_LIMIT: Duration = Duration::from_millis(2_000);

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// A cell whose tasks take as long as the test says.
struct Cell {
    name: String,
    held: CellAllowances,
    used: Amounts,
    /// Tasks that wait, in the order of the cell: amount of one and number.
    waiting: Vec<(Amounts, u64)>,
    /// Time by which the owner handles a due report, or a reply, too late.
    lag: Duration,
    awaited: Option<(Duration, Option<AllowanceReply>)>,
    next_at: Duration,
}

struct Fleet {
    table: AllowanceTable,
    cap: Amounts,
    cells: Vec<Cell>,
    now: Duration,
    token: u64,
}

impl Fleet {
    fn new(cap: Amounts, names: &[&str]) -> Self {
        let cells = (names.iter())
            .map(|name| Cell {
                name: (*name).to_owned(),
                held: CellAllowances::default(),
                used: Amounts::default(),
                waiting: Vec::new(),
                lag: Duration::ZERO,
                awaited: None,
                next_at: Duration::ZERO,
            })
            .collect();
        let mut fleet = Self {
            table: AllowanceTable::new(1, LEASE, Duration::ZERO),
            cap,
            cells,
            now: Duration::ZERO,
            token: 0,
        };
        fleet.restart_allocator();
        fleet
    }

    fn policies(&self) -> BTreeMap<String, WorkspacePolicy> {
        let policy = WorkspacePolicy {
            weight: 4.0,
            cap: ResourceAmount {
                cpu: self.cap[0],
                memory_mb: self.cap[1],
                gpu: self.cap[2],
            },
        };
        BTreeMap::from([("w".to_owned(), policy)])
    }

    fn restart_allocator(&mut self) {
        self.token += 1;
        self.table = AllowanceTable::new(self.token, LEASE, self.now);
        let policies = self.policies();
        self.table.set_policies(1, policies);
    }

    fn sync(&mut self, unowned: &[&str]) {
        let cells = (self.cells.iter())
            .map(|cell| (cell.name.clone(), !unowned.contains(&cell.name.as_str())))
            .collect();
        self.table.set_cells(&cells, self.now);
    }

    /// Advances the time; cells in `dead` do nothing.
    fn step(&mut self, dead: &[&str]) {
        self.now += STEP;
        self.sync(dead);
        let policies = self.policies();
        let (now, cap) = (self.now, self.cap);
        for cell in &mut self.cells {
            if dead.contains(&cell.name.as_str()) {
                cell.awaited = None;
                continue;
            }
            cell.run(&mut self.table, &policies, now);
        }
        let used = (self.cells.iter()).fold([0; 3], |sum: Amounts, cell| add(&sum, &cell.used));
        assert!(is_within(&used, &cap, &cap), "{used:?} used at {now:?}");
    }

    fn run(&mut self, time: Duration, dead: &[&str]) {
        let end = self.now + time;
        while self.now < end {
            self.step(dead);
        }
    }

    /// Returns the time until the first cell uses this much.
    fn time_until(&mut self, used: u64, limit: Duration, dead: &[&str]) -> Duration {
        let since = self.now;
        while self.cells[0].used[0] < used && self.now - since < limit * 20 {
            self.step(dead);
        }
        self.now - since
    }
}

impl Cell {
    fn run(
        &mut self,
        table: &mut AllowanceTable,
        policies: &BTreeMap<String, WorkspacePolicy>,
        now: Duration,
    ) {
        let mut is_changed = false;
        if (self.awaited.as_ref()).is_some_and(|(at, _)| now >= *at)
            && let Some((_, reply)) = self.awaited.take()
        {
            match reply {
                Some(reply) => is_changed = self.held.apply_reply(&reply, now).is_some(),
                None => self.held.abandon_report(),
            }
        }
        self.held
            .set_usage(BTreeMap::from([("w".to_owned(), self.used)]));
        self.held.begin_round();
        let policy = policies.get("w");
        for (step, (amount, count)) in self.waiting.iter_mut().enumerate() {
            let request = StartRequest {
                step: step as u64,
                amount: *amount,
                count: *count,
                is_gang: false,
            };
            if *count == 0 {
                continue;
            }
            let allowed = self.held.count_allowed("w", policy, &request, now);
            if allowed < *count {
                self.held
                    .record_waiting("w", policy, &request, allowed, now);
            }
            for _ in 0..allowed {
                self.held.record_start("w", amount);
                self.used = add(&self.used, amount);
            }
            *count -= allowed;
        }
        if is_changed {
            self.next_at = now;
        }
        let is_due = self.held.report_due(now) <= now && now >= self.next_at;
        if self.awaited.is_none() && is_due {
            let report = self.held.create_report(&self.name, 1, policies, now);
            let reply = table.answer(&report, now + ROUND_TRIP / 2);
            self.awaited = Some((now + ROUND_TRIP + self.lag, reply));
            self.next_at = now + self.lag;
        }
    }
}

fn wanting(fleet: &mut Fleet, amount: Amounts) {
    fleet.cells[0].waiting = vec![(amount, 100_000)];
}

/// Returns the time until the first cell has all of the cap after the others have ended their tasks.
fn release_time(others: usize, lag: Duration) -> Duration {
    let names = ["a", "b", "c", "d", "e"];
    let mut fleet = Fleet::new(CAP, &names[..=others]);
    for cell in &mut fleet.cells[1..] {
        cell.waiting = vec![([100, 0, 0], 90 / others as u64)];
        cell.lag = lag;
    }
    fleet.run(millis(2_000), &[]);
    wanting(&mut fleet, [100, 0, 0]);
    fleet.run(millis(2_000), &[]);
    for cell in &mut fleet.cells[1..] {
        cell.used = [0; 3];
        cell.waiting.clear();
    }
    fleet.time_until(CAP[0], RELEASE_LIMIT, &[])
}

/// Guards against limits that stay with cells whose tasks have ended.
#[test]
fn released_cap_reaches_the_cell_that_wants_it() {
    for others in 1..=4 {
        let time = release_time(others, Duration::ZERO);
        assert!(time <= RELEASE_LIMIT, "{time:?} with {others} others");
    }
}

/// Guards against limits that stay with cells whose owners are overloaded and report late.
#[test]
fn late_reports_release_the_cap() {
    for lag in [100, 300, 600].map(millis) {
        let time = release_time(3, lag);
        assert!(time <= RELEASE_LIMIT + lag, "{time:?} with {lag:?}");
    }
}

/// Guards against a new allocator that keeps for other cells what the former one granted them.
#[test]
fn restarted_allocator_gives_what_nobody_uses() {
    let mut fleet = Fleet::new(CAP, &["a", "b", "c", "d"]);
    for cell in &mut fleet.cells[1..] {
        cell.waiting = vec![([100, 0, 0], 30)];
    }
    fleet.run(millis(2_000), &[]);
    wanting(&mut fleet, [100, 0, 0]);
    fleet.run(millis(100), &[]);
    for cell in &mut fleet.cells[1..] {
        cell.used = [0; 3];
    }
    fleet.restart_allocator();
    let time = fleet.time_until(CAP[0], RESTART_LIMIT, &[]);
    assert!(time <= RESTART_LIMIT, "{time:?}");
}

/// Guards against an overloaded owner that gets the cap in steps of one kind of its tasks, one step a
/// report.
#[test]
fn mixed_tasks_fill_the_cap() {
    for lag in [0, 300, 600].map(millis) {
        let mut fleet = Fleet::new([10_000, 10_000, 0], &["a", "b", "c"]);
        fleet.cells[1].waiting = vec![([100, 10, 0], 60)];
        fleet.cells[2].waiting = vec![([10, 100, 0], 30)];
        fleet.run(millis(2_000), &[]);
        fleet.cells[0].lag = lag;
        fleet.cells[0].waiting = vec![([10, 80, 0], 40), ([100, 10, 0], 70), ([50, 400, 0], 3)];
        fleet.run(millis(2_000), &[]);
        fleet.cells[1].used = [0; 3];
        let time = fleet.time_until(400 + 7_000 + 150, RELEASE_LIMIT, &[]);
        assert!(time <= RELEASE_LIMIT + lag, "{time:?} with {lag:?}");
    }
}

/// Guards against tasks that need little of an exhausted resource and stand still behind others that need
/// much of it.
#[test]
fn scarce_memory_does_not_block_tasks_without_it() {
    let mut fleet = Fleet::new([10_000, 10_200, 0], &["a", "b"]);
    fleet.cells[1].waiting = vec![([10, 1_000, 0], 5)];
    fleet.run(millis(2_000), &[]);
    fleet.cells[0].waiting = vec![([10, 1_000, 0], 8), ([1_000, 20, 0], 9)];
    let time = fleet.time_until(9_000, RELEASE_LIMIT, &[]);
    assert!(time <= RELEASE_LIMIT, "{time:?}: {:?}", fleet.cells[0].used);
}

/// Guards against the same while another cell waits for the exhausted resource too.
#[test]
fn scarce_memory_does_not_block_tasks_of_competing_cells() {
    let mut fleet = Fleet::new([10_000, 10_200, 0], &["a", "b"]);
    fleet.cells[1].waiting = vec![([10, 1_000, 0], 12)];
    fleet.run(millis(2_000), &[]);
    fleet.cells[0].waiting = vec![([10, 1_000, 0], 8), ([1_000, 20, 0], 8)];
    let time = fleet.time_until(8_000, RELEASE_LIMIT, &[]);
    assert!(time <= RELEASE_LIMIT, "{time:?}: {:?}", fleet.cells[0].used);
}
