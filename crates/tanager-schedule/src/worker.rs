//! State of a worker: clock, leases, runs and health.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;
use tanager_jobs::ResourceAmount;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerEntry;
use tanager_jobs::ids::RunNumber;

use crate::cap_usage::RunCharge;
use crate::crashes::CrashedRun;
use crate::crashes::WorkerIsolation;
use crate::ejection::FailureStreak;
use crate::ejection::TRIAL_TIME;
use crate::ejection::WorkerStanding;
use crate::order_token::IncarnationNumber;
use crate::orders::OrderResult;
use crate::settings::MIN_CLOCK_RATE;
use crate::unstored_ends::UnstoredEnds;
use crate::worker_health::Observation;
use crate::worker_health::StartLimit;
use crate::worker_health::WorkerEvidence;

new_key_type! {
    /// Key of one incarnation of a worker.
    pub struct WorkerKey;
}

/// Workers of a cell.
pub type WorkerTable = SlotMap<WorkerKey, WorkerSlot>;

/// A worker without contact for this long gets no new tasks. Lease renewals are answered within a
/// second.
pub const CONTACT_LIMIT: Duration = Duration::from_millis(1_600);
/// A worker whose entry is missing for longer is not used. Entries that expired during a store
/// outage are back within two seconds, as documented by the platform.
pub const MISSING_ENTRY_LIMIT: Duration = Duration::from_millis(2_500);
/// A worker that left this many orders in a row unanswered gets no new tasks. Healthy workers leave
/// single orders unanswered.
const UNANSWERED_LIMIT: u32 = 3;
/// Maximum delay with which an unanswered call may be carried out. The platform documents 12 s.
pub const MAX_EXECUTION_DELAY: Duration = Duration::from_millis(13_000);
/// Tolerance of the start of a later incarnation, in milliseconds: the times of day of VMs differ.
const START_TOLERANCE_MS: u64 = 5_000;

/// Stage of a run on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunStage {
    /// The start was ordered but not confirmed; the run may start now or later.
    Starting,
    /// Confirmed by the worker.
    Running,
    /// A stop was ordered but not confirmed.
    Stopping,
    /// The stop was confirmed at this time; the run may still be listed for a moment.
    Stopped(Duration),
}

/// A run on a worker. It reserves its resources until it is certain not to run.
#[derive(Clone, Debug)]
pub struct RunSlot {
    /// Run.
    pub run: RunNumber,
    /// Resources.
    pub amount: ResourceAmount,
    /// What it adds to the usage of its workspace; `None` without a workspace.
    pub charge: Option<Arc<RunCharge>>,
    /// Stage.
    pub stage: RunStage,
    /// Time of the last order.
    pub ordered_at: Duration,
    /// Time at which the run was first confirmed.
    pub confirmed_at: Option<Duration>,
    /// Number of starts without a response.
    pub unanswered_starts: u32,
    /// Whether an order is in flight.
    pub in_flight: bool,
    /// Last reported progress in percent.
    pub percent: u32,
    /// Time at which `percent` last increased.
    pub progressed_at: Duration,
    /// Usage in the last report; see `RunningRun::usage`.
    pub usage: u64,
    /// Pace in percent that was ordered last.
    pub pace: u32,
    /// Whether the worker is known to run the task at that pace.
    pub pace_confirmed: bool,
    /// Time of the last change of pace.
    pub paced_at: Duration,
    /// Whether no other run was young on the worker at the start, and none has started since.
    pub is_isolated: bool,
    /// Whether it has been observed to stall or to take too long.
    pub is_overdue: bool,
    /// Whether it is long-running and has been observed for long enough to count as a success.
    pub has_lasted: bool,
    /// Whether it is of an occurrence that was missed.
    pub is_missed: bool,
}

/// Health of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerHealth {
    /// Failures in a row; not recorded where workers are weighed.
    pub streak: FailureStreak,
    /// Smoothed ratio of measured to expected durations.
    pub slowness: f64,
    /// Evidence; recorded only where workers are weighed.
    pub evidence: WorkerEvidence,
    /// Limit of runs that was logged last.
    pub(crate) logged_limit: Option<StartLimit>,
    /// Last observation against the worker, with the rate of others.
    pub(crate) last_bad: Option<(Observation, f64)>,
}

/// State of one incarnation of a worker.
#[derive(Debug)]
pub struct WorkerSlot {
    /// Entry in the store.
    pub entry: WorkerEntry,
    /// Position among the incarnations with its id that the owner has met; see `order_token`.
    pub incarnation: IncarnationNumber,
    /// Time since which the entry is missing from the store.
    pub missing_since: Option<Duration>,
    /// The worker's clock in milliseconds in the last report, and the time at which that report was
    /// received.
    pub clock: Option<(u64, Duration)>,
    /// Latest lease expiry that this owner sent in any order, on the worker's clock in milliseconds.
    pub lease_sent_ms: u64,
    /// Latest lease expiry that other orders may have granted, on the worker's clock in milliseconds.
    pub lease_assumed_ms: u64,
    /// Lease that orders before the first report may have granted: orders of a former owner, or
    /// orders to a former incarnation, which had a different clock.
    pub assumed_lease: Duration,
    /// Time by which these leases have expired if the incarnation never reports.
    pub unreported_until: Duration,
    /// Time of the last response.
    pub last_contact: Option<Duration>,
    /// Whether the last lease renewal had no response.
    pub renewal_unanswered: bool,
    /// Orders without a response since the last response.
    pub unanswered_orders: u32,
    /// Calls without a response since the last report that say nothing about the worker.
    pub unread_calls: UnreadCalls,
    /// Whether the worker is in the ledger; only then may it be used.
    pub registered: bool,
    /// Runs that may exist.
    pub runs: HashMap<TaskKey, RunSlot>,
    /// Recent starts without a response, with the time of the order. They may be carried out late,
    /// even by the next incarnation if it has the same id.
    pub unconfirmed_starts: HashMap<TaskKey, (RunNumber, Duration)>,
    /// Sum of the resources of `runs`.
    pub reserved: ResourceAmount,
    /// Highest end that was applied to the jobs.
    pub processed_end: u64,
    /// Highest end that is stored.
    pub stored_end: u64,
    /// Ends above `stored_end` that were applied.
    pub(crate) unstored_ends: UnstoredEnds,
    /// Health.
    pub health: WorkerHealth,
    /// The worker gets no starts before this time because it is being drained.
    pub draining_until: Duration,
    /// Whether draining also stops runs that can resume from a checkpoint.
    pub evicts: bool,
    /// The worker gets no starts before this time because a start did not fit.
    pub full_until: Duration,
    /// Reservation for an isolated run; nothing else starts here meanwhile.
    pub isolation: Option<WorkerIsolation>,
    /// Runs that were released because the leases expired. If the worker reports again, it did not
    /// crash.
    pub lapsed_runs: Vec<CrashedRun>,
}

/// Kinds of calls whose responses the owner may have missed because it ran late. They are no evidence
/// against the worker, but each may have been carried out, also by its next incarnation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UnreadCalls {
    /// An order.
    pub has_order: bool,
    /// The last lease renewal.
    pub has_renewal: bool,
}

impl WorkerSlot {
    /// Creates the state of a worker that has not reported yet. Former orders to it, with leases of up to
    /// `assumed_lease`, were sent until `orders_until`.
    pub fn new(entry: WorkerEntry, assumed_lease: Duration, orders_until: Duration) -> Self {
        Self {
            entry,
            incarnation: 0,
            missing_since: None,
            clock: None,
            lease_sent_ms: 0,
            lease_assumed_ms: 0,
            assumed_lease,
            unreported_until: orders_until
                + MAX_EXECUTION_DELAY
                + assumed_lease.mul_f64(1.0 / MIN_CLOCK_RATE),
            last_contact: None,
            renewal_unanswered: false,
            unanswered_orders: 0,
            unread_calls: UnreadCalls::default(),
            registered: false,
            runs: HashMap::new(),
            unconfirmed_starts: HashMap::new(),
            reserved: ResourceAmount::default(),
            processed_end: 0,
            stored_end: 0,
            unstored_ends: UnstoredEnds::default(),
            health: WorkerHealth {
                slowness: 1.0,
                ..WorkerHealth::default()
            },
            draining_until: Duration::ZERO,
            evicts: false,
            full_until: Duration::ZERO,
            isolation: None,
            lapsed_runs: Vec::new(),
        }
    }

    /// Returns a lower bound of the worker's clock in milliseconds; `None` before the first report.
    pub fn min_clock_ms(&self, now: Duration) -> Option<u64> {
        let (clock_ms, received) = self.clock?;
        let elapsed_ms = now.saturating_sub(received).as_secs_f64() * 1e3 * MIN_CLOCK_RATE;
        Some(clock_ms + elapsed_ms as u64)
    }

    /// Returns whether a later incarnation of a worker that reports can have started at this time, in
    /// milliseconds since 1970: not later than now, as the worker's clock counts from its own start.
    pub fn can_have_restarted(&self, started_ms: u64, now: Duration) -> bool {
        self.clock.is_some_and(|(clock_ms, received)| {
            let elapsed_ms = now.saturating_sub(received).as_millis() as u64;
            let age_ms = (clock_ms.saturating_add(elapsed_ms)) as f64 / MIN_CLOCK_RATE;
            let latest_ms = (self.entry.started_ms)
                .saturating_add(age_ms as u64)
                .saturating_add(START_TOLERANCE_MS);
            started_ms <= latest_ms
        })
    }

    /// Returns whether all leases granted so far have expired for certain.
    pub fn leases_expired(&self, now: Duration) -> bool {
        match self.min_clock_ms(now) {
            Some(clock) => clock > self.lease_sent_ms.max(self.lease_assumed_ms),
            // Orders that grant a lease follow the first report, so all others are older than this slot.
            None => now > self.unreported_until,
        }
    }

    /// Returns whether the last lease renewal had no response, for whatever reason.
    pub fn misses_renewal(&self) -> bool {
        self.renewal_unanswered || self.unread_calls.has_renewal
    }

    /// Returns whether the response to a call was missed, so that another incarnation may respond
    /// under the same id.
    pub fn misses_response(&self) -> bool {
        self.misses_renewal() || self.unanswered_orders > 0 || self.unread_calls.has_order
    }

    /// Returns whether the worker responded recently.
    pub fn responded_recently(&self, now: Duration) -> bool {
        self.last_contact
            .is_some_and(|last_contact| now.saturating_sub(last_contact) < CONTACT_LIMIT)
    }

    /// Returns whether the worker reported its runs recently.
    pub fn reported_recently(&self, now: Duration) -> bool {
        self.clock
            .is_some_and(|(_, received)| now.saturating_sub(received) < CONTACT_LIMIT)
    }

    /// Returns the time for which reports show that the worker has had a run.
    pub fn observed_time(&self, run: &RunSlot) -> Duration {
        match (self.clock, run.confirmed_at) {
            (Some((_, received)), Some(confirmed)) => received.saturating_sub(confirmed),
            _ => Duration::ZERO,
        }
    }

    /// Returns whether new tasks may be placed here, without regard to failures.
    pub fn is_available(&self, now: Duration) -> bool {
        let missing_for = self
            .missing_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.registered
            && !self.renewal_unanswered
            && self.unanswered_orders < UNANSWERED_LIMIT
            && !self.entry.draining
            && missing_for < MISSING_ENTRY_LIMIT
            && self.responded_recently(now)
            && now >= self.draining_until
            && now >= self.full_until
    }

    /// Returns which starts the worker gets in view of its failures.
    pub fn standing(&self, now: Duration) -> WorkerStanding {
        let ordered_at = self.runs.values().map(|run| run.ordered_at);
        self.health.streak.standing(ordered_at, now)
    }

    /// Returns whether new tasks may be placed here that other workers could hold as well.
    pub fn is_usable(&self, now: Duration) -> bool {
        let standing = self.standing(now);
        let is_trusted = matches!(standing, WorkerStanding::Sound | WorkerStanding::Trial);
        self.is_available(now) && is_trusted
    }

    /// Returns whether the worker needs no entry in the ledger: nothing runs here, nothing may start
    /// late, and it gets no new tasks for now.
    pub fn is_retired(&self, now: Duration) -> bool {
        let missing_for = self
            .missing_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let gets_no_tasks = self.entry.draining
            || now < self.draining_until
            || missing_for >= MISSING_ENTRY_LIMIT
            || !self.responded_recently(now);
        // Before its first report it may have runs of a former owner.
        let has_reported = self.clock.is_some();
        gets_no_tasks
            && has_reported
            && self.runs.is_empty()
            && !self.has_unconfirmed_starts(now)
            && self.processed_end == self.stored_end
    }

    /// Returns the unreserved resources.
    pub fn free(&self) -> ResourceAmount {
        self.entry.capacity.minus(&self.reserved)
    }

    /// Adds a run and reserves its resources.
    ///
    /// Returns the run that it replaces.
    pub(crate) fn add_run(&mut self, task: TaskKey, slot: RunSlot) -> Option<RunSlot> {
        self.reserved = self.reserved.plus(&slot.amount);
        let before = self.runs.insert(task, slot)?;
        self.reserved = self.reserved.minus(&before.amount);
        Some(before)
    }

    /// Records a start without a response.
    pub fn record_unconfirmed_start(
        &mut self,
        task: TaskKey,
        run: RunNumber,
        ordered_at: Duration,
    ) {
        self.unconfirmed_starts
            .retain(|_, (_, at)| ordered_at.saturating_sub(*at) < MAX_EXECUTION_DELAY);
        self.unconfirmed_starts.insert(task, (run, ordered_at));
    }

    /// Removes a run and releases its resources.
    pub(crate) fn remove_run(&mut self, task: &TaskKey) -> Option<RunSlot> {
        let slot = self.runs.remove(task)?;
        self.reserved = self.reserved.minus(&slot.amount);
        Some(slot)
    }

    /// Records the worker's clock from a report.
    pub fn record_clock(&mut self, clock_ms: u64, now: Duration) {
        if self.clock.is_none() {
            let assumed = clock_ms + self.assumed_lease.as_millis() as u64;
            self.lease_assumed_ms = self.lease_assumed_ms.max(assumed);
            self.assumed_lease = Duration::ZERO;
        }
        self.clock = Some((clock_ms, now));
        self.last_contact = Some(now);
    }

    /// Returns whether a start without a response may still be carried out.
    pub fn has_unconfirmed_starts(&self, now: Duration) -> bool {
        (self.unconfirmed_starts.values())
            .any(|(_, at)| now.saturating_sub(*at) < MAX_EXECUTION_DELAY)
    }

    /// Records the result of an order.
    pub fn record_order_result(&mut self, result: OrderResult, now: Duration) {
        match result {
            OrderResult::Answered(_) => {
                self.last_contact = Some(now);
                self.unanswered_orders = 0;
            }
            OrderResult::NotSent => self.renewal_unanswered = true,
            OrderResult::Unknown => self.unanswered_orders += 1,
            OrderResult::Unread => self.unread_calls.has_order = true,
        }
    }

    /// Records the long-running runs that have lasted long enough to count as a success, and returns
    /// their tasks. A trial among them ends the streak of failures.
    pub fn record_lasting_runs(
        &mut self,
        is_long_running: impl Fn(&TaskKey) -> bool,
    ) -> Vec<TaskKey> {
        let lasting: Vec<TaskKey> = (self.runs.iter())
            .filter(|(task, run)| {
                !run.has_lasted
                    && run.stage == RunStage::Running
                    && self.observed_time(run) >= TRIAL_TIME
                    && is_long_running(task)
            })
            .map(|(task, _)| *task)
            .collect();
        for task in &lasting {
            if let Some(run) = self.runs.get_mut(task) {
                run.has_lasted = true;
                if self.health.streak.is_trial(run.ordered_at) {
                    self.health.streak.record_success();
                }
            }
        }
        lasting
    }
}

impl RunSlot {
    /// Creates a run whose start is being ordered.
    pub fn starting(run: RunNumber, amount: ResourceAmount, now: Duration) -> Self {
        Self {
            run,
            amount,
            charge: None,
            stage: RunStage::Starting,
            ordered_at: now,
            confirmed_at: None,
            unanswered_starts: 0,
            in_flight: true,
            percent: 0,
            progressed_at: now,
            usage: 0,
            pace: 100,
            pace_confirmed: true,
            paced_at: Duration::ZERO,
            is_isolated: false,
            is_overdue: false,
            has_lasted: false,
            is_missed: false,
        }
    }
}
