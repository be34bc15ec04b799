//! Intake of submissions at the owner of a cell: how many may wait for the store, and whose.
//!
//! Answers the load of one workspace that floods a cell: more submissions than the owner can store
//! before their callers give up. Status calls and cancellations take no place, and leases, ends and
//! reports do not pass through here, so submissions never delay them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

/// Places for submissions of an owner that is not late: about four transactions of the store, which
/// hold up to 97 rows each.
pub const MAX_PLACES: usize = 384;
/// Places that remain when the owner is as late as [`MAX_WAIT`], so that it notices when it is not
/// any more.
pub const MIN_PLACES: usize = 16;
/// Wait of a submission after which it is answered as uncertain.
pub const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// A sender may have this many times the free places. One sender that floods the cell then has two
/// thirds of the places, and any other sender finds room.
const SHARE_FACTOR: usize = 2;
/// Longest time after which a refused caller is told to come back.
const MAX_RETRY: Duration = Duration::from_secs(4);

/// Place of a submission.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PlaceKey(u64);

/// Submissions of a cell that wait for the store.
#[derive(Debug, Default)]
pub struct CallIntake {
    next_key: u64,
    /// Sender of each submission and the time since which it waits, in order of arrival.
    waiting: BTreeMap<PlaceKey, (String, Duration)>,
    by_sender: HashMap<String, usize>,
}

impl CallIntake {
    /// Takes a place for a submission of `sender`, which is a workspace or, without workspaces, a
    /// queue. `age` is the time for which the submission may have waited before it was read.
    ///
    /// # Errors
    ///
    /// The time after which the caller should try again, if there is no place for the sender.
    pub fn admit(
        &mut self,
        sender: &str,
        age: Duration,
        now: Duration,
    ) -> Result<PlaceKey, Duration> {
        let oldest = (self.waiting.first_key_value())
            .map_or(Duration::ZERO, |(_, (_, since))| now.saturating_sub(*since));
        let lateness = age.max(oldest);
        let free = places(lateness).saturating_sub(self.waiting.len());
        let own = self.by_sender.get(sender).copied().unwrap_or_default();
        if own >= SHARE_FACTOR * free {
            // What waits now is served in about the time for which the oldest one has waited.
            return Err(lateness.clamp(Duration::from_secs(1), MAX_RETRY));
        }
        let key = PlaceKey(self.next_key);
        self.next_key += 1;
        self.waiting.insert(key, (sender.to_owned(), now));
        *self.by_sender.entry(sender.to_owned()).or_default() += 1;
        Ok(key)
    }

    /// Frees the place of a submission that was answered.
    pub fn release(&mut self, key: PlaceKey) {
        let Some((sender, _)) = self.waiting.remove(&key) else {
            return;
        };
        if let Some(count) = self.by_sender.get_mut(&sender) {
            *count -= 1;
            if *count == 0 {
                self.by_sender.remove(&sender);
            }
        }
    }

    /// Returns the number of submissions that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

/// Returns the number of places of an owner that is late by `lateness`: fewer the later it is,
/// since what it takes in now waits for at least that long.
fn places(lateness: Duration) -> usize {
    let remaining = 1.0 - lateness.as_secs_f64() / MAX_WAIT.as_secs_f64();
    ((MAX_PLACES as f64 * remaining) as usize).max(MIN_PLACES)
}
