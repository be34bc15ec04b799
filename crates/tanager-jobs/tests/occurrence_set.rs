//! Sets of occurrences.

use tanager_jobs::OccurrenceSet;

/// Guards against occurrences that are lost or added when their numbers are stored.
#[test]
fn numbers_are_kept() {
    let sets: [Vec<u32>; 6] = [
        vec![],
        vec![0],
        vec![3],
        (0..100).collect(),
        (0..100).filter(|number| number % 7 != 2).collect(),
        vec![0, 1, 2, 50, 1_000],
    ];
    for numbers in sets {
        let set = OccurrenceSet::from_ascending(numbers.iter().copied());
        assert_eq!(set.numbers(u32::MAX), numbers);
        let limited: Vec<u32> = numbers.into_iter().filter(|number| *number < 60).collect();
        assert_eq!(set.numbers(60), limited);
    }
}

/// Guards against a text that grows with each occurrence that is done.
#[test]
fn done_prefix_takes_no_room() {
    let set = OccurrenceSet::from_ascending(0..1_000_000);
    assert_eq!(set.below, 1_000_000);
    assert!(set.bitmap.is_empty());
}
