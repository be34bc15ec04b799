//! The allocator: divides the caps of workspaces among the cells.
//!
//! What is reserved for a cell is the most that it may have in use until its next report: the limit
//! that it holds, the limit sent to it since, and its usage. A limit is raised only by what is not
//! reserved for other cells, so the sum of what the cells use is within the cap whatever happens to
//! replies. A cell applies only the reply to its latest report; so a report states for certain what
//! became of all replies before it.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_jobs::ids::FencingToken;
use tanager_jobs::ids::WorkspaceName;

use crate::allowance::Amounts;
use crate::allowance::add;
use crate::allowance::amounts;
use crate::allowance::division::CellDemand;
use crate::allowance::division::divide;
use crate::allowance::division::whole_tasks;
use crate::allowance::is_lowered;
use crate::allowance::is_served_first;
use crate::allowance::is_within;
use crate::allowance::larger;
use crate::allowance::limited;
use crate::allowance::report::AllowanceReply;
use crate::allowance::report::AllowanceReport;
use crate::allowance::report::WorkspaceAllowance;
use crate::allowance::report::WorkspaceReport;
use crate::allowance::smaller;
use crate::allowance::subtract;
use crate::settings::MIN_CLOCK_RATE;
use crate::settings::WorkspacePolicy;

/// Time for which a limit is valid, by the holder's clock from its request. A takeover of the
/// allocator takes about 3 s.
pub const LIMIT_VALIDITY: Duration = Duration::from_secs(6);
/// Time for which a peak of usage is remembered.
const PEAK_TIME: Duration = Duration::from_secs(1);
/// Age of a report from which its waiting tasks no longer count. Cells report every second.
pub(super) const REPORT_AGE_LIMIT: Duration = Duration::from_millis(1_500);

/// Limits of all cells, as the allocator knows them.
#[derive(Debug)]
pub struct AllowanceTable {
    token: FencingToken,
    /// Time after which an unresponsive cell without an owner certainly runs nothing.
    pub(super) hold_time: Duration,
    pub(super) started_at: Duration,
    /// Whether the limits granted by former allocators are known.
    is_rebuilt: bool,
    /// Time from which they were known.
    pub(super) rebuilt_at: Option<Duration>,
    /// Whether the set of cells is known.
    knows_cells: bool,
    policies: BTreeMap<WorkspaceName, WorkspacePolicy>,
    /// Version of the configuration that the policies are from.
    version: u64,
    pub(super) cells: BTreeMap<CellName, CellEntry>,
}

/// A cell as known to the allocator.
#[derive(Debug, Default)]
pub(super) struct CellEntry {
    token: FencingToken,
    number: u64,
    pub(super) has_reported: bool,
    pub(super) reported_at: Duration,
    /// Last time at which the cell reported or had an owner.
    pub(super) alive_at: Duration,
    /// Whether the cell has a live owner.
    pub(super) has_owner: bool,
    pub(super) workspaces: BTreeMap<WorkspaceName, CellShare>,
}

/// A workspace in a cell.
#[derive(Debug, Default)]
pub(super) struct CellShare {
    pub(super) report: WorkspaceReport,
    /// Limit sent in the reply to the last report.
    pub(super) sent: Amounts,
    peak: Amounts,
    peak_at: Duration,
    /// Time since which no waiting task fits into the limit.
    unfit_since: Option<Duration>,
}

impl CellShare {
    pub(super) fn reserved(&self) -> Amounts {
        larger(&larger(&self.report.limit, &self.sent), &self.report.used)
    }
}

impl AllowanceTable {
    /// Creates the table of an allocator that has just acquired its cell with this token.
    /// `longest_lease` is the longest lease of a run.
    pub fn new(token: FencingToken, longest_lease: Duration, now: Duration) -> Self {
        Self {
            token,
            hold_time: (LIMIT_VALIDITY + longest_lease).mul_f64(1.0 / MIN_CLOCK_RATE),
            started_at: now,
            is_rebuilt: false,
            rebuilt_at: None,
            knows_cells: false,
            policies: BTreeMap::new(),
            version: 0,
            cells: BTreeMap::new(),
        }
    }

    /// Sets the terms of the workspaces and the version of their configuration. A workspace that was
    /// removed from the configuration keeps its last terms for the jobs that the cells still have.
    pub fn set_policies(
        &mut self,
        version: u64,
        policies: impl IntoIterator<Item = (WorkspaceName, WorkspacePolicy)>,
    ) {
        self.version = version;
        self.policies.extend(policies);
    }

    /// Sets the cells with jobs, and whether each has a live owner.
    ///
    /// What is reserved for an unresponsive cell is kept while the cell has an owner, which may be
    /// cut off from the allocator only: its runs go on for as long as it renews their leases.
    pub fn set_cells(&mut self, cells: &BTreeMap<CellName, bool>, now: Duration) {
        self.knows_cells = true;
        for (name, has_owner) in cells {
            let entry = self.cells.entry(name.clone()).or_default();
            entry.has_owner = *has_owner;
            if *has_owner || entry.alive_at.is_zero() {
                entry.alive_at = now;
            }
        }
        let hold_time = self.hold_time;
        self.cells.retain(|name, entry| {
            let is_held = now.saturating_sub(entry.alive_at) < hold_time;
            if !is_held {
                entry.workspaces.clear();
            }
            entry.has_owner &= cells.contains_key(name);
            is_held || cells.contains_key(name)
        });
    }

    /// Returns whether the limits granted by former allocators are known. Until then, no cell gets
    /// more than it holds.
    pub fn is_rebuilt(&self) -> bool {
        self.is_rebuilt
    }

    /// Applies a report and returns the reply; `None` if a later report or owner is known.
    pub fn answer(&mut self, report: &AllowanceReport, now: Duration) -> Option<AllowanceReply> {
        let entry = self.cells.entry(report.cell.clone()).or_default();
        if (report.token, report.number) <= (entry.token, entry.number) {
            return None;
        }
        entry.token = report.token;
        entry.number = report.number;
        entry.has_reported = true;
        entry.reported_at = now;
        entry.alive_at = now;
        entry.apply_report(report, now);
        self.is_rebuilt |= now.saturating_sub(self.started_at) >= self.hold_time
            || (self.knows_cells && self.cells.values().all(|entry| entry.has_reported));
        if self.is_rebuilt {
            self.rebuilt_at.get_or_insert(now);
        }
        let allowances = (report.workspaces.iter())
            .map(|reported| self.allow(&report.cell, reported, now))
            .collect();
        Some(AllowanceReply {
            number: report.number,
            allocator: self.token,
            valid_ms: LIMIT_VALIDITY.as_millis() as u64,
            version: self.version,
            workspaces: allowances,
        })
    }

    /// Returns what is reserved for the cells, for the state dump and for tests.
    pub fn reserved(&self, workspace: &str) -> BTreeMap<CellName, Amounts> {
        (self.cells.iter())
            .filter_map(|(name, entry)| {
                let share = entry.workspaces.get(workspace)?;
                Some((name.clone(), share.reserved()))
            })
            .collect()
    }

    /// Returns the workspaces for which something is reserved.
    pub fn workspaces(&self) -> Vec<WorkspaceName> {
        let names: std::collections::BTreeSet<&WorkspaceName> = (self.cells.values())
            .flat_map(|entry| entry.workspaces.keys())
            .collect();
        names.into_iter().cloned().collect()
    }

    /// Determines the terms of a workspace in a cell that has just reported.
    fn allow(
        &mut self,
        cell: &CellName,
        reported: &WorkspaceReport,
        now: Duration,
    ) -> WorkspaceAllowance {
        let name = &reported.name;
        let cap = self.cap(name);
        let mut allowance = WorkspaceAllowance {
            name: name.clone(),
            cap,
            rate: self.rate(name, cell),
            ..WorkspaceAllowance::default()
        };
        if cap == Amounts::default() {
            return allowance;
        }
        let (limit, excess) = match self.is_rebuilt {
            true => self.limit(cell, reported, &cap, now),
            // A limit under a higher cap must not be confirmed under a lower one.
            false if is_lowered(&reported.cap, &cap) => Default::default(),
            false => (reported.limit, Amounts::default()),
        };
        allowance.limit = limited(&limit, &cap);
        allowance.excess = excess;
        let share = (self.cells.get_mut(cell)).and_then(|entry| entry.workspaces.get_mut(name));
        if let Some(share) = share {
            share.sent = match excess == Amounts::default() {
                true => allowance.limit,
                false => add(&reported.used, &excess),
            };
            let least = add(&reported.used, &reported.smallest);
            let is_waiting = reported.wanted != Amounts::default();
            if !is_waiting || is_within(&least, &limit, &cap) {
                share.unfit_since = None;
            } else {
                share.unfit_since.get_or_insert(now);
            }
        }
        allowance
    }

    /// Returns the new limit of a cell, and the size of a task that it may start above the limit.
    fn limit(
        &self,
        cell: &CellName,
        reported: &WorkspaceReport,
        cap: &Amounts,
        now: Duration,
    ) -> (Amounts, Amounts) {
        let none = Amounts::default();
        let shares: Vec<WorkspaceShare<'_>> = (self.cells.iter())
            .filter_map(|(name, entry)| {
                let share = entry.workspaces.get(&reported.name)?;
                Some(WorkspaceShare { name, entry, share })
            })
            .collect();
        let Some(position) = shares.iter().position(|share| share.name == cell) else {
            return (none, none);
        };
        let others = || shares.iter().filter(|share| share.name != cell);
        let longest_waiting = (shares.iter())
            .filter(|other| other.is_servable(cap))
            .filter_map(|other| Some((other.share.unfit_since?, other.name)))
            .min();
        let starved = longest_waiting
            .filter(|(since, _)| is_served_first(now.saturating_sub(*since)))
            .map(|(_, name)| name);
        let demands: Vec<CellDemand> = (shares.iter())
            .map(|other| other.demand(starved == Some(other.name), now))
            .collect();
        let reserved_elsewhere =
            others().fold(none, |sum, other| add(&sum, &other.share.reserved()));
        let available = subtract(cap, &reserved_elsewhere);
        let part = smaller(&divide(cap, &demands)[position], &available);
        let limit = match reported.wanted == none {
            true => part,
            // A fraction of a task would stand idle here.
            false => whole_tasks(cap, &demands[position], &part),
        };
        let excess_cell = (longest_waiting.map(|(_, name)| name))
            .and_then(|name| shares.iter().position(|share| share.name == name))
            .filter(|&index| {
                needs_excess(cap, &demands, index, &shares[index].share.report.single)
            });
        match excess_cell {
            None => (limit, none),
            Some(index) if index == position => {
                // Cells without a limit start nothing above the cap beside the task.
                let is_alone = others()
                    .all(|other| larger(&other.share.report.limit, &other.share.sent) == none);
                match is_alone {
                    true => (smaller(&limit, &reported.used), reported.single),
                    false => (limit, none),
                }
            }
            Some(_) => (none, none),
        }
    }

    pub(super) fn cap(&self, name: &str) -> Amounts {
        match self.policies.get(name) {
            Some(policy) => amounts(&policy.cap),
            // The workspace was removed before this node became the allocator.
            None => (self.cells.values())
                .filter_map(|entry| entry.workspaces.get(name))
                .fold(Amounts::default(), |cap, share| {
                    larger(&cap, &share.report.cap)
                }),
        }
    }

    /// Returns the cell's part of the rate of a workspace, in jobs per second: what arrives, and an
    /// equal part of the rest; in proportion to the arrivals if more than the rate arrives.
    fn rate(&self, name: &str, cell: &CellName) -> f64 {
        let weight = self.policies.get(name).map_or(0.0, |policy| policy.weight);
        let arrivals = |entry: &CellEntry| {
            (entry.workspaces.get(name)).map_or(0.0, |share| share.report.arrivals.max(0.0))
        };
        let total: f64 = self.cells.values().map(arrivals).sum();
        let own = self.cells.get(cell).map_or(0.0, arrivals);
        match total > weight {
            true => weight * own / total,
            false => own + (weight - total) / self.cells.len().max(1) as f64,
        }
    }
}

/// Returns whether a cell may start a single task that does not fit into the cap beside what is in
/// use: less than half of the cap is in use. Otherwise a task larger than the cap would never run.
fn needs_excess(cap: &Amounts, demands: &[CellDemand], index: usize, single: &Amounts) -> bool {
    let used = (demands.iter()).fold(Amounts::default(), |sum, demand| add(&sum, &demand.used));
    let is_below_half =
        (0..3).all(|resource| cap[resource] == 0 || used[resource] * 2 < cap[resource]);
    let is_waiting = demands[index].wanted != Amounts::default() && *single != Amounts::default();
    is_below_half && is_waiting && !is_within(&add(&used, single), cap, cap)
}

/// A workspace in a cell, with the cell.
struct WorkspaceShare<'a> {
    name: &'a CellName,
    entry: &'a CellEntry,
    share: &'a CellShare,
}

impl CellEntry {
    fn apply_report(&mut self, report: &AllowanceReport, now: Duration) {
        let mut known = std::mem::take(&mut self.workspaces);
        for reported in &report.workspaces {
            let mut share = known.remove(&reported.name).unwrap_or_default();
            if !is_within(&reported.used, &share.report.used, &reported.cap) {
                // The cell started tasks, so it has not been waiting.
                share.unfit_since = None;
            }
            share.sent = Amounts::default();
            if now.saturating_sub(share.peak_at) > PEAK_TIME {
                share.peak = Amounts::default();
            }
            let peak = larger(&share.peak, &reported.used);
            if peak != share.peak {
                share.peak = peak;
                share.peak_at = now;
            }
            share.report = reported.clone();
            self.workspaces.insert(reported.name.clone(), share);
        }
    }
}

impl WorkspaceShare<'_> {
    /// Returns whether a waiting task may start under this cap: not a gang that is wider.
    fn is_servable(&self, cap: &Amounts) -> bool {
        let report = &self.share.report;
        report.single != Amounts::default() || is_within(&report.smallest, cap, cap)
    }

    fn demand(&self, is_starved: bool, now: Duration) -> CellDemand {
        if now.saturating_sub(self.entry.reported_at) > REPORT_AGE_LIMIT {
            return CellDemand {
                used: self.share.reserved(),
                ..CellDemand::default()
            };
        }
        let report = &self.share.report;
        CellDemand {
            used: report.used,
            wanted: report.wanted,
            smallest: report.smallest,
            peak: self.share.peak,
            is_starved,
        }
    }
}
