//! Claims that this process abandoned before their request was sent, but whose write may still
//! take effect in the store.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::claims::write::PendingWrite;

/// Largest number of tracked claims. If the write of an untracked claim takes effect later,
/// requests with its key get an unknown outcome, which is safe.
const MAX_ABANDONED_CLAIMS: usize = 4_096;

/// Delays before the checks of a row, indexed by the number of checks left after the next one. A
/// slow store may apply a write long after its client stopped waiting for the response.
const CHECK_DELAYS: [Duration; 3] = [
    Duration::from_secs(60),
    Duration::from_secs(10),
    Duration::from_secs(1),
];

/// Number of checks of an abandoned claim.
pub(super) const CHECK_COUNT: usize = CHECK_DELAYS.len();

/// A claim that was abandoned before its request was sent.
#[derive(Debug)]
pub(super) struct AbandonedClaim {
    /// Pool and key of its request.
    pub(super) name: String,
    /// Generation of its row.
    pub(super) generation: u64,
    /// Token of the claim.
    pub(super) token: String,
    /// Checks left after the next one.
    pub(super) checks_left: usize,
}

/// Abandoned claims by the name of their request, with the time of their next check.
#[derive(Debug, Default)]
pub(super) struct AbandonedClaims {
    claims: HashMap<String, (Instant, AbandonedClaim)>,
    schedule: BTreeSet<(Instant, String)>,
}

impl AbandonedClaims {
    /// Tracks a claim until its row has been checked `checks` times.
    pub(super) fn track(&mut self, write: &PendingWrite, checks: usize) {
        let Some(delay) = checks
            .checked_sub(1)
            .and_then(|index| CHECK_DELAYS.get(index))
        else {
            return;
        };
        self.remove(&write.name);
        if self.claims.len() >= MAX_ABANDONED_CLAIMS {
            return;
        }
        let time = Instant::now() + *delay;
        self.schedule.insert((time, write.name.clone()));
        let claim = AbandonedClaim {
            name: write.name.clone(),
            generation: write.generation,
            token: write.token.clone(),
            checks_left: checks - 1,
        };
        self.claims.insert(write.name.clone(), (time, claim));
    }

    /// Removes and returns the claim of a name, so that its token can be reused.
    pub(super) fn remove(&mut self, name: &str) -> Option<AbandonedClaim> {
        let (time, claim) = self.claims.remove(name)?;
        self.schedule.remove(&(time, name.to_owned()));
        Some(claim)
    }

    /// Returns the time of the next check.
    pub(super) fn next_check(&self) -> Option<Instant> {
        self.schedule.first().map(|(time, _)| *time)
    }

    /// Removes and returns a claim whose check is due.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<AbandonedClaim> {
        let (time, name) = self.schedule.first()?;
        if *time > now {
            return None;
        }
        let name = name.clone();
        self.remove(&name)
    }
}
