//! Age of a call between nodes when its receiver begins it, and whether its caller still waits.
//!
//! Answers the load of an owner that falls behind: a call whose caller has given up costs as much
//! as any other one, and its caller repeats it, so that the overload outlives its cause.

use std::time::Duration;

/// Returns whether the caller has given up: it waited for `remaining` when it sent the call, which
/// was read `since_read` ago by a node whose event loop lags by `lag`.
pub fn has_expired(remaining: Duration, since_read: Duration, lag: Duration) -> bool {
    since_read + lag >= remaining
}
