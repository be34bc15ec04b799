//! Intake of submissions at the owner of a cell. Each test names the failure that it guards against.

use std::time::Duration;

use tanager_schedule::call_intake::CallIntake;
use tanager_schedule::call_intake::MAX_PLACES;
use tanager_schedule::call_intake::MAX_WAIT;
use tanager_schedule::call_intake::MIN_PLACES;
use tanager_schedule::call_intake::PlaceKey;

const NO_LAG: Duration = Duration::ZERO;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Lets a sender submit until it is refused; returns the places that it got.
fn flood(intake: &mut CallIntake, sender: &str, lag: Duration) -> Vec<PlaceKey> {
    std::iter::from_fn(|| intake.admit(sender, lag, ms(0)).ok())
        .take(2 * MAX_PLACES)
        .collect()
}

/// Guards against a queue of submissions that grows until all callers have given up.
#[test]
fn flood_is_refused_at_a_bound() {
    let mut intake = CallIntake::default();
    let admitted = flood(&mut intake, "flood", NO_LAG).len();
    assert!(admitted < MAX_PLACES, "{admitted}");
    assert!(admitted >= MAX_PLACES / 2, "{admitted}");
}

/// Guards against a workspace that is refused because another one floods the cell.
#[test]
fn neighbour_of_a_flood_is_admitted() {
    let mut intake = CallIntake::default();
    let keys = flood(&mut intake, "flood", NO_LAG);
    for _ in 0..20 {
        assert!(intake.admit("neighbour", NO_LAG, ms(0)).is_ok());
    }
    intake.release(keys[0]);
    assert!(intake.admit("flood", NO_LAG, ms(0)).is_err());
    assert!(intake.admit("neighbour", NO_LAG, ms(0)).is_ok());
}

/// Guards against places that are lost, so that a sender is refused by an idle owner.
#[test]
fn answered_submissions_free_their_places() {
    let mut intake = CallIntake::default();
    let first = flood(&mut intake, "flood", NO_LAG);
    let admitted = first.len();
    for key in first {
        intake.release(key);
        intake.release(key);
    }
    assert_eq!(intake.waiting(), 0);
    assert_eq!(flood(&mut intake, "flood", NO_LAG).len(), admitted);
}

/// Guards against a late owner that takes in what it cannot answer before the callers give up.
#[test]
fn late_owner_takes_in_less() {
    let sizes: Vec<usize> = [0, 500, 1_000, 1_500, 9_000]
        .iter()
        .map(|lag| flood(&mut CallIntake::default(), "flood", ms(*lag)).len())
        .collect();
    assert!(sizes.is_sorted_by(|left, right| left >= right), "{sizes:?}");
    assert!(sizes[3] > 0 && sizes[3] <= MIN_PLACES, "{sizes:?}");
    assert_eq!(sizes[3], sizes[4]);
}

/// Guards against submissions that join others which the store has left without an answer.
#[test]
fn store_that_is_silent_stops_the_intake() {
    let mut intake = CallIntake::default();
    for _ in 0..MIN_PLACES {
        intake.admit("a", NO_LAG, ms(0)).expect("a place");
    }
    assert!(intake.admit("a", NO_LAG, MAX_WAIT / 2).is_ok());
    let refusal = intake.admit("a", NO_LAG, MAX_WAIT);
    assert_eq!(refusal, Err(MAX_WAIT));
}
