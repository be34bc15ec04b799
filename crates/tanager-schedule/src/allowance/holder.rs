//! The limits that a cell holds, and what it reports to the allocator.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_jobs::ids::FencingToken;
use tanager_jobs::ids::WorkspaceName;

use crate::allowance::Amounts;
use crate::allowance::add;
use crate::allowance::amounts;
use crate::allowance::is_lowered;
use crate::allowance::is_served_first;
use crate::allowance::is_within;
use crate::allowance::larger;
use crate::allowance::missing::EndedLimit;
use crate::allowance::multiply;
use crate::allowance::report::AllowanceReply;
use crate::allowance::report::AllowanceReport;
use crate::allowance::report::WorkspaceReport;
use crate::allowance::request::StartRequest;
use crate::allowance::request::largest_fitting;
use crate::settings::WorkspacePolicy;

/// Interval between reports while a task waits for its limit, or after a limit was lowered.
pub const WAITING_PERIOD: Duration = Duration::from_millis(40);
/// Interval between reports while the cell holds more than it uses.
pub const UNUSED_PERIOD: Duration = Duration::from_millis(250);
/// Interval between reports otherwise.
pub const IDLE_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after which a workspace that is in no configuration counts as removed, and its accepted jobs
/// run without a limit. New configurations apply within 3 s; a shorter time could start jobs of a
/// workspace whose cap this node has not read yet.
const UNKNOWN_WORKSPACE_TIME: Duration = Duration::from_secs(10);
/// Window in which arrivals are counted.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of arrivals remembered per workspace.
const MAX_ARRIVALS: usize = 1_000;

/// Limits of the workspaces in one cell.
#[derive(Debug, Default)]
pub struct CellAllowances {
    pub(super) limits: BTreeMap<WorkspaceName, HeldLimit>,
    usage: BTreeMap<WorkspaceName, Amounts>,
    pub(super) waiting: BTreeMap<WorkspaceName, WaitingTasks>,
    /// Steps at which a limit blocked a workspace first, with the time since when.
    blocked: BTreeMap<WorkspaceName, BlockedStep>,
    unknown_since: BTreeMap<WorkspaceName, Duration>,
    arrivals: BTreeMap<WorkspaceName, VecDeque<Duration>>,
    /// Version of the configuration in force.
    pub(super) version: u64,
    /// Highest token of an allocator that replied.
    allocator: FencingToken,
    /// Number of the last report.
    number: u64,
    /// Time of the report whose reply is awaited.
    awaited_since: Option<Duration>,
    reported_at: Option<Duration>,
    /// Time at which the last reply was applied.
    pub(super) replied_at: Option<Duration>,
    /// Limits that were given up since, until the next reply.
    pub(super) ended: BTreeMap<WorkspaceName, EndedLimit>,
    /// Whether the last reply lowered a limit. What the cell gave up stays reserved for it until its
    /// next report.
    has_lowered: bool,
}

/// A limit that the cell holds.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HeldLimit {
    pub(super) limit: Amounts,
    pub(super) cap: Amounts,
    /// Size of a single task that may start above the limit.
    excess: Amounts,
    /// Version of the allocator's configuration.
    version: u64,
    rate: f64,
    pub(super) valid_until: Duration,
}

impl HeldLimit {
    pub(super) fn is_void(&self, version: u64, cap: &Amounts) -> bool {
        self.version < version && is_lowered(&self.cap, cap)
    }
}

/// Tasks that wait for the limit of their workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WaitingTasks {
    /// Sum of the tasks.
    pub wanted: Amounts,
    /// Smallest amount with which one of them, or a gang, starts.
    pub smallest: Amounts,
    /// Largest such amount.
    pub largest: Amounts,
    /// Smallest task that is not part of a gang.
    pub single: Amounts,
}

/// A step that waits for the limit of its workspace.
#[derive(Clone, Debug, PartialEq)]
struct BlockedStep {
    step: u64,
    since: Duration,
    /// Whether the step was seen in the current round.
    is_current: bool,
}

/// A change of a limit that delays tasks, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Workspace.
    pub workspace: WorkspaceName,
    /// Limit before.
    pub before: Amounts,
    /// New limit.
    pub limit: Amounts,
    /// Amount in use.
    pub used: Amounts,
    /// Sum of the tasks that wait for the limit.
    pub wanted: Amounts,
}

/// Effect of a reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyEffect {
    /// Token of the allocator if it is another one than before.
    pub new_allocator: Option<FencingToken>,
    /// Limits that were lowered, or that are too small for waiting tasks.
    pub refusals: Vec<LimitChange>,
}

impl CellAllowances {
    /// Sets the usage that was counted from the runs, including what may be running after a
    /// takeover. Workspaces that are not listed use nothing.
    pub fn set_usage(&mut self, usage: BTreeMap<WorkspaceName, Amounts>) {
        self.usage = usage;
    }

    /// Sets the usage of one workspace.
    pub fn set_used(&mut self, workspace: &str, amount: Amounts) {
        match amount == Amounts::default() {
            true => self.usage.remove(workspace),
            false => self.usage.insert(workspace.to_owned(), amount),
        };
    }

    /// Sets the version of the configuration in force.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Begins a round of placement, which reports again which tasks wait.
    pub fn begin_round(&mut self) {
        self.waiting.clear();
        self.blocked.retain(|_, step| step.is_current);
        for step in self.blocked.values_mut() {
            step.is_current = false;
        }
    }

    /// Returns the number of tasks of the step that may start now: at most `request.count`, and for
    /// a gang all or none.
    ///
    /// `policy` is `None` if the workspace is in no configuration that this node has read.
    pub fn count_allowed(
        &mut self,
        workspace: &str,
        policy: Option<&WorkspacePolicy>,
        request: &StartRequest,
        now: Duration,
    ) -> u64 {
        let Some(policy) = policy else {
            return self.count_allowed_unknown(workspace, request, now);
        };
        let cap = amounts(&policy.cap);
        if cap == Amounts::default() {
            return request.count;
        }
        if self.is_kept_back(workspace, request.step, now) {
            return 0;
        }
        let used = self.usage.get(workspace).copied().unwrap_or_default();
        let Some(held) = self.limit_under(workspace, &cap, now) else {
            return 0;
        };
        let fits = |count: u64| {
            let after = add(&used, &multiply(&request.amount, count));
            is_within(&after, &held.limit, &held.cap)
        };
        if request.is_gang {
            return u64::from(fits(request.count)) * request.count;
        }
        let is_excess = held.excess != Amounts::default()
            && is_within(&request.amount, &held.excess, &held.cap);
        largest_fitting(request.count, fits).max(u64::from(is_excess).min(request.count))
    }

    /// Returns how many tasks of a workspace that is in no configuration may start.
    fn count_allowed_unknown(
        &mut self,
        workspace: &str,
        request: &StartRequest,
        now: Duration,
    ) -> u64 {
        let since = match self.unknown_since.get(workspace) {
            Some(since) => *since,
            None => {
                self.unknown_since.insert(workspace.to_owned(), now);
                now
            }
        };
        match now.saturating_sub(since) >= UNKNOWN_WORKSPACE_TIME {
            true => request.count,
            false => 0,
        }
    }

    /// Returns whether a step waits because an earlier one of its workspace is served first.
    fn is_kept_back(&self, workspace: &str, step: u64, now: Duration) -> bool {
        self.blocked.get(workspace).is_some_and(|first| {
            first.is_current
                && first.step != step
                && is_served_first(now.saturating_sub(first.since))
        })
    }

    /// Records that a task was started.
    pub fn record_start(&mut self, workspace: &str, amount: &Amounts) {
        match self.usage.get_mut(workspace) {
            Some(used) => *used = add(used, amount),
            None => {
                self.usage.insert(workspace.to_owned(), *amount);
            }
        }
        self.end_excess(workspace);
    }

    /// Records that a task was started, which may have been the one above the limit.
    pub fn end_excess(&mut self, workspace: &str) {
        if let Some(held) = self.limits.get_mut(workspace) {
            held.excess = Amounts::default();
        }
    }

    /// Returns the limit of a workspace; `None` if the cell holds none.
    ///
    /// A limit that is part of a higher cap than the one in force is void: other cells may use more
    /// than their parts of the lower cap, which only the allocator knows.
    fn limit_under(&self, workspace: &str, cap: &Amounts, now: Duration) -> Option<&HeldLimit> {
        (self.limits.get(workspace))
            .filter(|held| now < held.valid_until && !held.is_void(self.version, cap))
    }

    /// Records that `allowed` of the step's tasks may start, and that the others wait for the limit.
    /// A gang wider than the cap cannot start unless the cap is raised, and is not recorded.
    pub fn record_waiting(
        &mut self,
        workspace: &str,
        policy: Option<&WorkspacePolicy>,
        request: &StartRequest,
        allowed: u64,
        now: Duration,
    ) {
        let unit = request.unit();
        let cap = policy.map_or_else(Amounts::default, |policy| amounts(&policy.cap));
        if request.is_gang && !is_within(&unit, &cap, &cap) {
            return;
        }
        let is_kept_back = self.is_kept_back(workspace, request.step, now);
        let waiting = self.waiting.entry(workspace.to_owned()).or_default();
        let is_first = waiting.wanted == Amounts::default();
        let count = request.count.saturating_sub(allowed);
        waiting.wanted = add(&waiting.wanted, &multiply(&request.amount, count));
        waiting.largest = larger(&waiting.largest, &unit);
        if is_first {
            let known = (self.blocked.get(workspace))
                .filter(|blocked| blocked.step == request.step && allowed == 0);
            let since = known.map_or(now, |blocked| blocked.since);
            let blocked = BlockedStep {
                step: request.step,
                since,
                is_current: true,
            };
            self.blocked.insert(workspace.to_owned(), blocked);
        }
        // Only the step that is served first can use a larger limit.
        if is_kept_back {
            return;
        }
        let smallest = |known: &Amounts| {
            let is_unknown = *known == Amounts::default();
            match is_unknown || unit.iter().sum::<u64>() < known.iter().sum() {
                true => unit,
                false => *known,
            }
        };
        waiting.smallest = smallest(&waiting.smallest);
        if !request.is_gang {
            waiting.single = smallest(&waiting.single);
        }
    }

    /// Adds tasks that wait for the limit and request at least as much as a recorded one.
    pub fn add_waiting(&mut self, workspace: &str, wanted: &Amounts, largest: &Amounts) {
        if let Some(waiting) = self.waiting.get_mut(workspace) {
            waiting.wanted = add(&waiting.wanted, wanted);
            waiting.largest = larger(&waiting.largest, largest);
        }
    }

    /// Records the arrival of a job.
    pub fn record_arrival(&mut self, workspace: &str, now: Duration) {
        let arrivals = match self.arrivals.get_mut(workspace) {
            Some(arrivals) => arrivals,
            None => self.arrivals.entry(workspace.to_owned()).or_default(),
        };
        arrivals.push_back(now);
        while (arrivals.front()).is_some_and(|at| now.saturating_sub(*at) > ARRIVAL_WINDOW)
            || arrivals.len() > MAX_ARRIVALS
        {
            arrivals.pop_front();
        }
    }

    /// Returns the cell's part of the rate of a workspace in jobs per second; `None` before the
    /// first reply.
    pub fn rate(&self, workspace: &str) -> Option<f64> {
        self.limits.get(workspace).map(|held| held.rate)
    }

    /// Returns the time at which the next report is due.
    pub fn report_due(&self, now: Duration) -> Duration {
        let Some(reported) = self.reported_at else {
            return now;
        };
        if !self.waiting.is_empty() || self.has_lowered {
            return reported + WAITING_PERIOD;
        }
        let has_unused = (self.limits.iter())
            .filter(|(_, held)| now < held.valid_until)
            .any(|(name, held)| {
                let used = self.usage.get(name).copied().unwrap_or_default();
                (0..3).any(|index| held.cap[index] > 0 && held.limit[index] > used[index])
            });
        match has_unused {
            true => reported + UNUSED_PERIOD,
            false => reported + IDLE_PERIOD,
        }
    }

    /// Creates the next report. Replies to earlier reports are not applied any more.
    pub fn create_report(
        &mut self,
        cell: &CellName,
        token: FencingToken,
        policies: &BTreeMap<WorkspaceName, WorkspacePolicy>,
        now: Duration,
    ) -> AllowanceReport {
        self.number += 1;
        self.awaited_since = Some(now);
        self.reported_at = Some(now);
        self.has_lowered = false;
        self.end_limits(policies, now);
        for held in self.limits.values_mut() {
            // The report does not state it, so the allocator takes it back.
            held.excess = Amounts::default();
        }
        (self.unknown_since).retain(|name, _| !policies.contains_key(name));
        let mut workspaces: BTreeMap<&WorkspaceName, WorkspaceReport> = BTreeMap::new();
        for (name, held) in &self.limits {
            workspaces.entry(name).or_default().limit = held.limit;
        }
        for (name, used) in &self.usage {
            workspaces.entry(name).or_default().used = *used;
        }
        for (name, waiting) in &self.waiting {
            let report = workspaces.entry(name).or_default();
            report.wanted = waiting.wanted;
            report.smallest = waiting.smallest;
            report.largest = waiting.largest;
            report.single = waiting.single;
        }
        for (name, arrivals) in &mut self.arrivals {
            arrivals.retain(|at| now.saturating_sub(*at) <= ARRIVAL_WINDOW);
            if !arrivals.is_empty() {
                workspaces.entry(name).or_default().arrivals =
                    arrivals.len() as f64 / ARRIVAL_WINDOW.as_secs_f64();
            }
        }
        let workspaces = (workspaces.into_iter())
            .map(|(name, mut report)| {
                report.name.clone_from(name);
                report.cap = (policies.get(name))
                    .map_or_else(Amounts::default, |policy| amounts(&policy.cap));
                report
            })
            .filter(|report| {
                let is_limited = report.cap != Amounts::default()
                    || report.limit != Amounts::default()
                    || !policies.contains_key(&report.name);
                let has_amounts = [report.limit, report.used, report.wanted] != [[0; 3]; 3];
                (is_limited && has_amounts) || report.arrivals > 0.0
            })
            .collect();
        AllowanceReport {
            cell: cell.clone(),
            token,
            number: self.number,
            workspaces,
        }
    }

    /// Applies a reply. One to an earlier report, or of an older allocator, has no effect.
    pub fn apply_reply(&mut self, reply: &AllowanceReply, now: Duration) -> Option<ReplyEffect> {
        if reply.number != self.number || reply.allocator < self.allocator {
            return None;
        }
        let requested_at = self.awaited_since.take()?;
        self.replied_at = Some(now);
        let valid_until = requested_at + Duration::from_millis(reply.valid_ms);
        let mut effect = ReplyEffect::default();
        if reply.allocator > self.allocator {
            self.allocator = reply.allocator;
            effect.new_allocator = Some(reply.allocator);
        }
        if now >= valid_until {
            return Some(effect);
        }
        for allowance in &reply.workspaces {
            let name = &allowance.name;
            let before = (self.limits.get(name)).map_or_else(Amounts::default, |held| held.limit);
            let held = HeldLimit {
                limit: allowance.limit,
                cap: allowance.cap,
                excess: allowance.excess,
                version: reply.version,
                rate: allowance.rate,
                valid_until,
            };
            self.limits.insert(name.clone(), held);
            self.ended.remove(name);
            self.has_lowered |= !is_within(&before, &allowance.limit, &allowance.cap);
            let used = self.usage.get(name).copied().unwrap_or_default();
            let waiting = self.waiting.get(name).cloned().unwrap_or_default();
            let least = add(&used, &waiting.smallest);
            let is_waiting = waiting.wanted != Amounts::default();
            let is_excess = allowance.excess != Amounts::default();
            if is_waiting && !is_excess && !is_within(&least, &allowance.limit, &allowance.cap) {
                effect.refusals.push(LimitChange {
                    workspace: name.clone(),
                    before,
                    limit: allowance.limit,
                    used,
                    wanted: waiting.wanted,
                });
            }
        }
        Some(effect)
    }

    /// Gives up the reply to the last report.
    pub fn abandon_report(&mut self) {
        self.awaited_since = None;
    }

    /// Returns whether tasks wait for a limit.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the limit, usage and waiting amount of each workspace, for the state dump.
    pub fn describe(&self, now: Duration) -> BTreeMap<WorkspaceName, String> {
        let mut names: Vec<&WorkspaceName> = (self.limits.keys())
            .chain(self.usage.keys())
            .chain(self.waiting.keys())
            .collect();
        names.sort();
        names.dedup();
        (names.into_iter())
            .map(|name| {
                let used = self.usage.get(name).copied().unwrap_or_default();
                let waiting = self.waiting.get(name).map_or([0; 3], |tasks| tasks.wanted);
                let limit = match self.limits.get(name) {
                    Some(held) if now < held.valid_until => format!(
                        "{:?} of cap {:?}, valid for {:?}, rate {:.2}",
                        held.limit,
                        held.cap,
                        held.valid_until.saturating_sub(now),
                        held.rate
                    ),
                    _ => "none".to_owned(),
                };
                let text = format!("used {used:?}, waiting {waiting:?}, limit {limit}");
                (name.clone(), text)
            })
            .collect()
    }
}
