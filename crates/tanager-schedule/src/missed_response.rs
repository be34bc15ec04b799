//! Decides whether a call without a response says something about the other side, or only about this
//! process.
//!
//! Load: a flood of one pool in which its owner, with a share of a core, runs tens to hundreds of
//! milliseconds late. Its calls to healthy workers pass their time limits because it sends or reads
//! them late.

use std::time::Duration;

/// Share of a call's time limit from which a lag of the own loop explains a missing response. A call
/// takes up to four turns of the loop: to connect, to write, to read, and to run its task.
pub const MAX_LAG_SHARE: f64 = 0.25;

/// What a missing response says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MissedResponse {
    /// The other side or the connection did not respond.
    Unanswered,
    /// This process ran late and may not have sent the call or read its response in time.
    Unread,
}

impl MissedResponse {
    /// Decides what a missing response says: `lag` is the largest lag of the own loop during the call,
    /// `limit` the time that the call was given beyond a delay that the other side was asked for.
    pub fn from_lag(lag: Duration, limit: Duration) -> Self {
        match lag >= limit.mul_f64(MAX_LAG_SHARE) {
            true => Self::Unread,
            false => Self::Unanswered,
        }
    }
}
