//! Limits of an entry node on its calls to the owners of cells.
//!
//! Answers the load of an owner that is asked more than it can answer: each entry node limits its
//! calls in flight to a cell, by additive increase with answers and multiplicative decrease with
//! silence, and keeps to what the owner last said about a sender. A call that is not passed on has
//! certainly not run.

use std::collections::HashMap;
use std::time::Duration;

/// Calls in flight to a cell whose owner answers; fewer than the places that the owner has.
const MAX_IN_FLIGHT: f64 = 256.0;
/// Calls in flight to a cell whose owner is silent; each is a probe.
const MIN_IN_FLIGHT: f64 = 1.0;
/// Factor of the limit when calls get no answer.
const DECREASE: f64 = 0.5;
/// Calls that time out within this period belong to one silence and reduce the limit once.
const DECREASE_PERIOD: Duration = Duration::from_millis(250);
/// A call that had less time than this says nothing about the owner: an acceptance takes this long
/// while the store is slow.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// While the owner refuses a sender, one submission of it is passed on in each such period.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// A sender may have this many times the free calls, as at the owner.
const SHARE_FACTOR: f64 = 2.0;
/// Calls with cancellations beyond the limit, so that submissions do not keep them from an owner that
/// is asked by probes only. A node repeats its cancellations with one call at a time.
const RESERVED_CANCELLATIONS: f64 = 1.0;
/// Time after which a caller should try again if too many calls are in flight: most of them are
/// answered or have timed out by then.
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(1);

/// Kind of a call, which decides how it is limited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A submission.
    Submission,
    /// Cancellations, whose answer waits for the store like that of a submission.
    Cancellation,
    /// A question about a job or a queue, which the owner answers from memory.
    Question,
}

/// Why a call is not passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallRefusal {
    /// The owner refuses the sender for this time.
    Held(Duration),
    /// As many calls are in flight as the owner answers; try again after this time.
    InFlight(Duration),
}

/// Outcome of a call that was passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The owner answered.
    Answered,
    /// The owner refuses all submissions of the sender for this time.
    Refused(Duration),
    /// The owner did not answer within this time.
    Silent(Duration),
    /// The call did not reach the owner, or the caller stopped waiting for another reason.
    Unknown,
}

/// Calls of an entry node, by cell.
#[derive(Debug, Default)]
pub struct CallLimits {
    cells: HashMap<String, CellCalls>,
}

/// Calls to the owner of a cell.
#[derive(Debug)]
struct CellCalls {
    owner: String,
    /// Calls whose answers wait for the store.
    changes: CallWindow,
    /// Calls that the owner answers from memory. A silent store does not limit them.
    questions: CallWindow,
    senders: HashMap<String, SenderCalls>,
}

/// Calls in flight and their limit.
#[derive(Clone, Copy, Debug)]
struct CallWindow {
    limit: f64,
    in_flight: usize,
    decreased: Option<Duration>,
}

#[derive(Debug, Default)]
struct SenderCalls {
    in_flight: usize,
    held: Option<SenderHold>,
}

#[derive(Clone, Copy, Debug)]
struct SenderHold {
    until: Duration,
    next_probe: Duration,
}

impl CallLimits {
    /// Decides whether a call of `sender` to the cell `cell` of `owner` is passed on. If it is,
    /// [`Self::end`] must follow.
    ///
    /// # Errors
    ///
    /// Why it is not passed on.
    pub fn begin(
        &mut self,
        cell: &str,
        owner: &str,
        sender: &str,
        kind: CallKind,
        now: Duration,
    ) -> Result<(), CallRefusal> {
        let calls = match self.cells.get_mut(cell) {
            Some(calls) => calls,
            None => (self.cells.entry(cell.to_owned())).or_insert_with(|| CellCalls::new(owner)),
        };
        calls.set_owner(owner);
        calls.begin(sender, kind, now)
    }

    /// Records the outcome of a call that was passed on.
    pub fn end(
        &mut self,
        cell: &str,
        owner: &str,
        sender: &str,
        kind: CallKind,
        outcome: CallOutcome,
        now: Duration,
    ) {
        if let Some(calls) = self.cells.get_mut(cell) {
            calls.end(owner, sender, kind, outcome, now);
        }
    }

    /// Returns the number of calls of a kind that may be in flight to a cell, together with those that
    /// share its limit.
    pub fn limit(&self, cell: &str, kind: CallKind) -> f64 {
        (self.cells.get(cell)).map_or(MAX_IN_FLIGHT, |calls| calls.window(kind).limit)
    }
}

impl CellCalls {
    fn new(owner: &str) -> Self {
        Self {
            owner: owner.to_owned(),
            changes: CallWindow::new(),
            questions: CallWindow::new(),
            senders: HashMap::new(),
        }
    }

    fn window(&self, kind: CallKind) -> &CallWindow {
        match kind {
            CallKind::Submission | CallKind::Cancellation => &self.changes,
            CallKind::Question => &self.questions,
        }
    }

    fn window_mut(&mut self, kind: CallKind) -> &mut CallWindow {
        match kind {
            CallKind::Submission | CallKind::Cancellation => &mut self.changes,
            CallKind::Question => &mut self.questions,
        }
    }

    /// Forgets what a former owner said. The limit remains, since the load may be the same.
    fn set_owner(&mut self, owner: &str) {
        if self.owner != owner {
            owner.clone_into(&mut self.owner);
            for calls in self.senders.values_mut() {
                calls.held = None;
            }
        }
    }

    fn begin(&mut self, sender: &str, kind: CallKind, now: Duration) -> Result<(), CallRefusal> {
        let free = self.window(kind).free();
        let calls = self.senders.get(sender);
        let own = calls.map_or(0, |calls| calls.in_flight);
        let has_room = match kind {
            CallKind::Submission => (own as f64) < SHARE_FACTOR * free,
            CallKind::Cancellation => free > -RESERVED_CANCELLATIONS,
            CallKind::Question => free > 0.0,
        };
        let held = (calls.and_then(|calls| calls.held))
            .filter(|held| kind == CallKind::Submission && now < held.until);
        match held {
            Some(held) if now < held.next_probe => {
                return Err(CallRefusal::Held(held.until - now));
            }
            _ if !has_room => return Err(CallRefusal::InFlight(IN_FLIGHT_RETRY)),
            _ => {}
        }
        self.window_mut(kind).in_flight += 1;
        if kind == CallKind::Submission {
            let calls = self.senders.entry(sender.to_owned()).or_default();
            calls.in_flight += 1;
            calls.held = held.map(|held| SenderHold {
                next_probe: now + PROBE_PERIOD,
                ..held
            });
        }
        Ok(())
    }

    fn end(
        &mut self,
        owner: &str,
        sender: &str,
        kind: CallKind,
        outcome: CallOutcome,
        now: Duration,
    ) {
        let is_current = self.owner == owner;
        let window = self.window_mut(kind);
        match outcome {
            CallOutcome::Silent(wait) if wait >= MIN_SILENCE && is_current => window.decrease(now),
            CallOutcome::Answered => window.increase(),
            CallOutcome::Refused(_) | CallOutcome::Silent(_) | CallOutcome::Unknown => {}
        }
        window.in_flight = window.in_flight.saturating_sub(1);
        if kind != CallKind::Submission {
            return;
        }
        let Some(calls) = self.senders.get_mut(sender) else {
            return;
        };
        calls.in_flight = calls.in_flight.saturating_sub(1);
        if is_current {
            match outcome {
                CallOutcome::Refused(after) => {
                    calls.held = Some(SenderHold {
                        until: now + after,
                        next_probe: now + PROBE_PERIOD,
                    });
                }
                CallOutcome::Answered => calls.held = None,
                CallOutcome::Silent(_) | CallOutcome::Unknown => {}
            }
        }
        if calls.in_flight == 0 && calls.held.is_none() {
            self.senders.remove(sender);
        }
    }
}

impl CallWindow {
    fn new() -> Self {
        Self {
            limit: MAX_IN_FLIGHT,
            in_flight: 0,
            decreased: None,
        }
    }

    fn free(&self) -> f64 {
        self.limit - self.in_flight as f64
    }

    fn increase(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(MAX_IN_FLIGHT);
    }

    fn decrease(&mut self, now: Duration) {
        if (self.decreased).is_some_and(|last| now.saturating_sub(last) < DECREASE_PERIOD) {
            return;
        }
        self.decreased = Some(now);
        let used = self.limit.min(self.in_flight as f64);
        self.limit = (used * DECREASE).max(MIN_IN_FLIGHT);
    }
}
