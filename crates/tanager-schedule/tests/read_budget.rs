//! Reads of jobs' states from the store. Each test names the failure that it guards against.

use std::time::Duration;

use tanager_schedule::read_budget::ReadBudget;

/// Reads a second that the store serves.
const RATE: f64 = 2_000.0;
/// Reads for one question.
const READS: u32 = 3;

/// Returns the questions that a node may answer from the store in a time, of one each millisecond.
fn questions(nodes: usize, seconds: u64) -> u64 {
    let mut budget = ReadBudget::new(Duration::ZERO);
    let times = (0..seconds * 1_000).map(Duration::from_millis);
    times
        .filter(|now| budget.take(READS, RATE, nodes, *now))
        .count() as u64
}

/// Guards against questions about a silent owner that use up the store's reads, so that nodes no longer
/// learn of owners and workers.
#[test]
fn questions_take_a_tenth_of_the_reads() {
    for nodes in [1, 3, 7, 147, 1_000] {
        let reads = questions(nodes, 60) * u64::from(READS) * nodes as u64;
        // The budget of one more second has accumulated, and at least one question of each node.
        let limit = (RATE * 0.1 * 61.0) as u64 + 2 * nodes as u64 * u64::from(READS);
        assert!(reads <= limit, "{nodes} nodes: {reads}");
    }
}

/// Guards against a budget that never suffices for a question, however many nodes there are.
#[test]
fn each_node_reads_from_time_to_time() {
    assert!(questions(1_000, 60) >= 4);
    assert!(questions(3, 60) >= 1_000);
}
