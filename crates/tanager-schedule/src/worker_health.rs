//! Evidence about the reliability of a worker, and how many runs may start there.
//!
//! The evidence is how runs on the worker end, how long they take and whether starts are answered,
//! compared with the same queue on other workers. It is summed up as a cumulative log-likelihood
//! ratio of a worker that spoils nearly half of what others complete against one that is as reliable
//! as the others. What a worker says about its own health is no evidence.

use std::time::Duration;

/// Score from which the number of runs is limited; reached by one failure that counts in full.
const LIMIT_SCORE: f64 = 2.0;
/// Score from which only one run at a time is allowed, and from which a failure on the worker does not
/// speak against the task: more than a single failure adds.
const SUSPECT_SCORE: f64 = 4.0;
/// Score from which a worker is ejected; reached by three failures in a row that others do not have. Two
/// at once are common on healthy workers: with 5.0, some were ejected at a failure rate of 1%.
const EJECT_SCORE: f64 = 7.0;
/// Score of unanswered calls from which the number of runs is limited: two in a row.
const RESPONSE_LIMIT_SCORE: f64 = 4.0;
/// Maximum score of unanswered calls.
const MAX_RESPONSE_SCORE: f64 = 8.0;
/// Bad runs in a row after which a suspect is ejected, whatever discounts apply to them.
const BAD_RUNS_TO_EJECT: u32 = 3;
/// Maximum score; bounds for how long earlier evidence outweighs later successes.
const MAX_SCORE: f64 = 14.0;
/// Share of the runs that succeed on other workers that a bad worker completes. The least reliable
/// workers to be found fail 0.45 of their runs.
const BAD_SUCCESS_SHARE: f64 = 0.55;
/// Failure rate that is assumed of others without observations, and the number of runs it counts as.
const PRIOR_RATE: f64 = 0.03;
/// See [`PRIOR_RATE`].
const PRIOR_RUNS: f64 = 20.0;
/// Maximum rate of others that is compared with.
const MAX_RATE: f64 = 0.95;
/// Time in which evidence and observed rates fall to 1/e of their value.
const DECAY_TIME_SECS: f64 = 20.0;
/// Number of concurrent runs on a worker with some evidence against it.
const LIMITED_RUNS: usize = 2;
/// Interval before the first trial after an ejection; doubles with each failed trial.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum interval between trials.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(20);
/// Successful trials in a row after which a worker gets work again. A worker that fails 0.45 of its
/// runs passes in one of eleven cases.
const TRIALS_TO_RETURN: u32 = 4;
/// Time without an ejection after which the first interval is used again.
const EJECTION_MEMORY: Duration = Duration::from_secs(60);
/// One worker in this many may be ejected at the same time.
const WORKERS_PER_EJECTION: usize = 3;
/// Maximum interval before the first trial that is reached by runs from before the ejection.
const MAX_FIRST_INTERVAL: Duration = Duration::from_secs(8);
/// A run that takes this multiple of its expected duration counts as slow.
pub const SLOW_RATIO: f64 = 3.0;

/// Number of runs or starts observed recently, and how many of them were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObservedRate {
    /// Bad ones.
    pub bad: f64,
    /// All.
    pub total: f64,
    updated_at: Duration,
}

/// What is observed about a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A run succeeded in the usual time.
    Succeeded,
    /// A run succeeded but took several times as long as expected, or is taking so long.
    Slow,
    /// A run failed or stalled. The job may be at fault if other runs of it failed elsewhere.
    Failed {
        /// Number of earlier failures of the task elsewhere.
        elsewhere: usize,
        /// Number of failures of other tasks of the job.
        others: usize,
    },
    /// A call was answered.
    Answered(CallKind),
    /// A call was not answered.
    Unanswered(CallKind),
}

/// Kind of a call to a worker. Renewals are sent regularly, starts in surges, so that the ones must
/// not outweigh the others.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallKind {
    /// Start of a run.
    Start,
    /// Lease renewal.
    Renewal,
}

/// Evidence from unanswered calls of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ResponseEvidence {
    score: f64,
    updated_at: Duration,
}

/// Number of runs that may be on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartLimit {
    /// As many as fit.
    Unlimited,
    /// At most this many.
    Limited(usize),
    /// One trial run at a time.
    Trial,
    /// None before this time.
    Ejected(Duration),
}

/// Ejection of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Ejection {
    since: Duration,
    next_trial: Duration,
    interval: Duration,
    successes: u32,
}

/// Evidence about one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerEvidence {
    score: f64,
    updated_at: Duration,
    /// Evidence from unanswered calls. It limits the number of runs but ejects no worker, because
    /// the runs may succeed.
    starts: ResponseEvidence,
    renewals: ResponseEvidence,
    /// Whether unanswered calls have a common cause, such as the network of the owner.
    has_common_cause: bool,
    /// Failed or slow runs since the last success.
    bad_in_row: u32,
    ejection: Option<Ejection>,
    /// Number of recent ejections and the time of the last one's end.
    ejections: u32,
    returned_at: Duration,
}

impl ObservedRate {
    /// Adds an observation.
    pub fn record(&mut self, is_bad: bool, now: Duration) {
        let decay = decay(self.updated_at, now);
        self.updated_at = now;
        self.bad = self.bad * decay + f64::from(u8::from(is_bad));
        self.total = self.total * decay + 1.0;
    }

    /// Returns the expected rate from these observations of other workers.
    pub fn baseline(others: impl IntoIterator<Item = Self>) -> f64 {
        let (bad, total) = (others.into_iter()).fold((0.0, 0.0), |(bad, total), rate| {
            (bad + rate.bad, total + rate.total)
        });
        ((bad + PRIOR_RATE * PRIOR_RUNS) / (total + PRIOR_RUNS)).clamp(0.0, MAX_RATE)
    }
}

impl Observation {
    /// Returns whether the observation speaks against the worker.
    pub fn is_bad(self) -> bool {
        !matches!(self, Self::Succeeded | Self::Answered(_))
    }

    /// Returns by how much the score changes. `baseline` is the rate of the same kind of bad
    /// observation on other workers, for the same queue.
    fn gain(self, baseline: f64) -> f64 {
        let bad_rate = 1.0 - (1.0 - baseline) * BAD_SUCCESS_SHARE;
        let against = (bad_rate / baseline.max(PRIOR_RATE * 0.5)).ln().max(0.0);
        let in_favour = BAD_SUCCESS_SHARE.ln();
        match self {
            Self::Succeeded | Self::Answered(_) => in_favour,
            Self::Slow | Self::Unanswered(_) => against,
            Self::Failed { elsewhere, others } => {
                against / (((1 + elsewhere) as f64).powi(2) * (1 + others.min(1)) as f64)
            }
        }
    }
}

impl ResponseEvidence {
    fn record(&mut self, gain: f64, now: Duration) {
        let score = self.score * decay(self.updated_at, now) + gain;
        self.score = score.clamp(0.0, MAX_RESPONSE_SCORE);
        self.updated_at = now;
    }

    fn is_clear(&self, now: Duration) -> bool {
        self.score * decay(self.updated_at, now) >= RESPONSE_LIMIT_SCORE
    }
}

impl WorkerEvidence {
    /// Returns the evidence against the worker.
    pub fn score(&self) -> f64 {
        self.score
    }

    /// Returns whether the worker is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns whether there is more evidence than a single failure.
    pub fn is_suspect(&self) -> bool {
        self.is_ejected() || self.score >= SUSPECT_SCORE
    }

    /// Returns whether the evidence suffices for an ejection.
    pub fn is_clear(&self) -> bool {
        self.score >= EJECT_SCORE
            || (self.score >= SUSPECT_SCORE && self.bad_in_row >= BAD_RUNS_TO_EJECT)
    }

    /// Records an observation of a run or order that was started or sent at `started_at`. `baseline` is the rate of
    /// bad observations of the kind on other workers, for the same queue; see
    /// [`ObservedRate::baseline`].
    pub fn record(
        &mut self,
        observation: Observation,
        baseline: f64,
        started_at: Duration,
        now: Duration,
    ) {
        if let Observation::Answered(kind) | Observation::Unanswered(kind) = observation {
            let evidence = match kind {
                CallKind::Start => &mut self.starts,
                CallKind::Renewal => &mut self.renewals,
            };
            evidence.record(observation.gain(baseline), now);
            return;
        }
        self.bad_in_row = match observation.is_bad() {
            true => self.bad_in_row + 1,
            false => 0,
        };
        let Some(ejection) = &mut self.ejection else {
            self.score *= decay(self.updated_at, now);
            self.updated_at = now;
            self.score = (self.score + observation.gain(baseline)).clamp(0.0, MAX_SCORE);
            return;
        };
        // Runs from before the ejection are no trials, but bad ones confirm it.
        if started_at < ejection.since {
            if observation.is_bad() && ejection.interval < MAX_FIRST_INTERVAL {
                ejection.interval *= 2;
                ejection.next_trial = ejection.since + ejection.interval;
            }
            return;
        }
        match observation {
            Observation::Succeeded => {
                ejection.successes += 1;
                if ejection.successes >= TRIALS_TO_RETURN {
                    self.reinstate(now);
                }
            }
            _ => {
                ejection.successes = 0;
                ejection.interval = (ejection.interval * 2).min(MAX_TRIAL_INTERVAL);
                ejection.next_trial = now + ejection.interval;
            }
        }
    }

    /// Withdraws most of the weight of a failure, because the task has failed on another worker too.
    pub fn withdraw_failure(&mut self, baseline: f64, now: Duration) {
        let gain = |elsewhere| {
            Observation::Failed {
                elsewhere,
                others: 0,
            }
            .gain(baseline)
        };
        self.score = (self.score - (gain(0) - gain(1))).max(0.0);
        let is_tried = (self.ejection).is_some_and(|ejection| now >= ejection.next_trial);
        if self.ejection.is_some() && !is_tried && !self.is_clear() {
            self.ejection = None;
            self.updated_at = now;
            self.ejections = self.ejections.saturating_sub(1);
        }
    }

    /// Ejects the worker.
    pub fn eject(&mut self, now: Duration) {
        if now.saturating_sub(self.returned_at) > EJECTION_MEMORY {
            self.ejections = 0;
        }
        self.ejections += 1;
        let interval = self.first_interval();
        self.ejection = Some(Ejection {
            since: now,
            next_trial: now + interval,
            interval,
            successes: 0,
        });
    }

    /// Ends the ejection because others are worse; the evidence remains.
    pub fn release(&mut self, now: Duration) {
        self.ejection = None;
        self.updated_at = now;
    }

    /// Ends the ejection; the number of runs remains limited at first.
    pub fn reinstate(&mut self, now: Duration) {
        self.ejection = None;
        self.score = LIMIT_SCORE;
        self.bad_in_row = 0;
        self.updated_at = now;
        self.returned_at = now;
    }

    fn first_interval(&self) -> Duration {
        let doublings = self.ejections.saturating_sub(1).min(8);
        (MIN_TRIAL_INTERVAL * 2u32.pow(doublings)).min(MAX_TRIAL_INTERVAL)
    }

    /// Returns whether the evidence from unanswered calls suffices for a limit.
    pub fn is_unanswering(&self, now: Duration) -> bool {
        self.starts.is_clear(now) || self.renewals.is_clear(now)
    }

    /// Sets whether so many workers leave calls unanswered that none of them is at fault; see
    /// [`has_common_cause`].
    pub fn set_common_cause(&mut self, has_common_cause: bool) {
        self.has_common_cause = has_common_cause;
    }

    /// Returns how many runs may be on the worker now.
    pub fn start_limit(&self, now: Duration) -> StartLimit {
        if let Some(ejection) = &self.ejection {
            return match now < ejection.next_trial {
                true => StartLimit::Ejected(ejection.next_trial),
                false => StartLimit::Trial,
            };
        }
        match self.score * decay(self.updated_at, now) {
            score if score >= SUSPECT_SCORE => StartLimit::Limited(1),
            score if score >= LIMIT_SCORE => StartLimit::Limited(LIMITED_RUNS),
            _ if self.is_unanswering(now) && !self.has_common_cause => {
                StartLimit::Limited(LIMITED_RUNS)
            }
            _ => StartLimit::Unlimited,
        }
    }

    /// Returns the number of runs that may be on the worker, given when each of its runs was
    /// ordered. Runs from before an ejection do not take the place of a trial.
    pub fn max_runs(&self, ordered_at: impl Iterator<Item = Duration>, now: Duration) -> usize {
        match self.start_limit(now) {
            StartLimit::Unlimited => usize::MAX,
            StartLimit::Limited(count) => count,
            StartLimit::Ejected(_) => 0,
            StartLimit::Trial => {
                let since = self.ejection.map_or(now, |ejection| ejection.since);
                1 + ordered_at.filter(|at| *at < since).count()
            }
        }
    }
}

/// Returns which workers should be ejected: of those with clear evidence and those that are ejected
/// already, the ones with the highest scores, at most a third of all.
pub fn select_ejections(workers: &[WorkerEvidence]) -> Vec<bool> {
    let mut order: Vec<usize> = (0..workers.len())
        .filter(|&index| workers[index].is_ejected() || workers[index].is_clear())
        .collect();
    // At the same score the ones that are ejected already stay so.
    order.sort_by(|&left, &right| {
        let (left, right) = (&workers[left], &workers[right]);
        (right.score.total_cmp(&left.score)).then(right.is_ejected().cmp(&left.is_ejected()))
    });
    let mut selected = vec![false; workers.len()];
    for index in order.into_iter().take(workers.len() / WORKERS_PER_EJECTION) {
        selected[index] = true;
    }
    selected
}

/// Returns whether more than a third of the workers leave calls unanswered. The owner's own network
/// is then the likely cause.
pub fn has_common_cause(workers: &[WorkerEvidence], now: Duration) -> bool {
    let unanswering = (workers.iter())
        .filter(|worker| worker.is_unanswering(now))
        .count();
    unanswering > workers.len() / WORKERS_PER_EJECTION
}

fn decay(from: Duration, to: Duration) -> f64 {
    (-to.saturating_sub(from).as_secs_f64() / DECAY_TIME_SECS).exp()
}
