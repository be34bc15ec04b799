//! Readings of the memory of the process, and which of them are logged.

use tanager_service::memory_use::MemoryWatch;
use tanager_service::memory_use::resident_bytes;

/// Guards against a limit that is approached without a line, and against a line for each reading.
#[test]
fn memory_is_logged_when_it_reaches_a_further_eighth_of_the_limit() {
    let mut watch = MemoryWatch::default();
    let logged = [100, 499, 510, 520, 630, 700, 900, 990, 300, 510]
        .map(|resident| watch.observe(resident, 1_000));
    let expected = [
        false, false, true, false, true, false, true, false, false, true,
    ];
    assert_eq!(logged, expected);
}

/// Guards against a reading that does not follow what the process allocates.
#[test]
fn resident_memory_follows_allocations() {
    let before = resident_bytes().expect("the system tells it");
    let block = vec![1u8; 64 << 20];
    let after = resident_bytes().expect("the system tells it");
    assert!(after >= before + (60 << 20), "{before} {after}");
    drop(block);
}
