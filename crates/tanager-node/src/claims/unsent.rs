//! Claims of this process that were given up before their request was sent, but whose write may
//! still take effect in the store.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::claims::write::PendingWrite;

/// Remembered claims. A claim that is not remembered is answered unknown if its write takes effect
/// later; that is safe.
const MAX_UNSENT: usize = 4_096;

/// Times between the checks of a row, by the number of checks left. A write that a slow store
/// still holds may take effect long after its response was given up.
const CHECK_DELAYS: [Duration; 3] = [
    Duration::from_secs(60),
    Duration::from_secs(10),
    Duration::from_secs(1),
];

/// Checks of a claim that was given up.
pub(super) const FULL_CHECKS: usize = CHECK_DELAYS.len();

/// A claim that was given up.
#[derive(Debug)]
pub(super) struct UnsentClaim {
    /// Pool and key of its request.
    pub(super) name: String,
    /// Generation of its row.
    pub(super) generation: u64,
    /// Token of the claim.
    pub(super) token: String,
    /// Checks left after the next one.
    pub(super) checks_left: usize,
}

/// Claims that were given up, by the name of their request.
#[derive(Debug, Default)]
pub(super) struct UnsentTable {
    claims: HashMap<String, (Instant, UnsentClaim)>,
    schedule: BTreeSet<(Instant, String)>,
}

impl UnsentTable {
    /// Remembers a claim until it was checked `checks` times.
    pub(super) fn remember(&mut self, write: &PendingWrite, checks: usize) {
        let Some(delay) = checks
            .checked_sub(1)
            .and_then(|index| CHECK_DELAYS.get(index))
        else {
            return;
        };
        self.take(&write.name);
        if self.claims.len() >= MAX_UNSENT {
            return;
        }
        let time = Instant::now() + *delay;
        self.schedule.insert((time, write.name.clone()));
        let claim = UnsentClaim {
            name: write.name.clone(),
            generation: write.generation,
            token: write.token.clone(),
            checks_left: checks - 1,
        };
        self.claims.insert(write.name.clone(), (time, claim));
    }

    /// Takes the claim of a name, to use its token again.
    pub(super) fn take(&mut self, name: &str) -> Option<UnsentClaim> {
        let (time, claim) = self.claims.remove(name)?;
        self.schedule.remove(&(time, name.to_owned()));
        Some(claim)
    }

    /// Time of the next check.
    pub(super) fn next_check(&self) -> Option<Instant> {
        self.schedule.first().map(|(time, _)| *time)
    }

    /// Takes a claim whose check is due.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<UnsentClaim> {
        let (time, name) = self.schedule.first()?;
        if *time > now {
            return None;
        }
        let name = name.clone();
        self.take(&name)
    }
}
