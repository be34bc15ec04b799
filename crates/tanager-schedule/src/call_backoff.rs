//! Pauses between repeats of a call that must be confirmed in the end, such as a cancellation.
//!
//! Answers the load of hundreds of cancellations that an overloaded owner has not confirmed: repeats
//! at a fixed pace would be work that keeps it from confirming any.

use std::time::Duration;

/// First pause.
pub const FIRST_PAUSE: Duration = Duration::from_millis(700);
/// Maximum pause, without jitter. A client expects that a cancellation takes effect within 4 s once
/// all is calm; this pause and the call that follows it take less.
pub const MAX_PAUSE: Duration = Duration::from_millis(1_800);
/// Factor from one pause to the next.
const GROWTH: f64 = 1.4;
/// Pauses vary by this part in both directions, so that repeats that began together spread out.
const JITTER: f64 = 0.25;

/// Returns the pause before the repeat `attempt`, counted from 1. `retry_after` is what the owner
/// asked for; `draw` is a random number from 0 to 1.
pub fn repeat_pause(attempt: u32, retry_after: Option<Duration>, draw: f64) -> Duration {
    let exponent = attempt.saturating_sub(1).min(16) as i32;
    let pause = FIRST_PAUSE.mul_f64(GROWTH.powi(exponent));
    let pause = pause.max(retry_after.unwrap_or_default()).min(MAX_PAUSE);
    pause.mul_f64(1.0 - JITTER + 2.0 * JITTER * draw.clamp(0.0, 1.0))
}
