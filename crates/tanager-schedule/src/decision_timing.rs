//! Bounds how often the decisions of a cell run.
//!
//! Load: in a surge a cell gets some thousand reports and answers to orders a second. A round of
//! decisions for each would take its owner's processor time.

use std::time::Duration;

/// Minimum time between the end of a round of decisions that were asked for and the next one. It is
/// small beside the round trip of a start.
pub const DECISION_GAP: Duration = Duration::from_millis(4);

/// Returns how long decisions that are asked for now must wait, given when the last ones ended.
pub fn decision_delay(last_run: Option<Duration>, now: Duration) -> Duration {
    match last_run {
        Some(last_run) => (last_run + DECISION_GAP).saturating_sub(now),
        None => Duration::ZERO,
    }
}
