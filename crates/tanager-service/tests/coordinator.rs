//! The pace of the holder of the duty at different sizes of the fleet.

use std::time::Duration;

use tanager_service::coordinator::step_period;

/// Bytes of a VM in a list.
const VM_BYTES: f64 = 250.0;
/// Share of the narrowest link (10 Mbit/s) that lists may take, in bytes per second.
const LIST_BUDGET: f64 = 760_000.0;
/// Questions about loads that a node of 0.12 of a core may ask in a second.
const QUESTION_BUDGET: f64 = 251.0;

/// Guards against moves that come late at the sizes that are in use, because the holder decides
/// seldom.
#[test]
fn small_fleets_are_looked_at_four_times_a_second() {
    for (vms, cells) in [(49, 5), (350, 30), (700, 60)] {
        assert_eq!(step_period(vms, cells), Duration::from_millis(250));
    }
}

/// Guards against a holder of the duty that is busy with lists and questions alone (sweep at 300
/// nodes and 3,000 VMs: 89% of a core and 6.7 MB/s at the busiest node).
#[test]
fn large_fleets_do_not_overload_the_holder() {
    for (vms, cells) in [(1_100, 218), (3_000, 231), (11_000, 850)] {
        let period = step_period(vms, cells).as_secs_f64();
        assert!(vms as f64 * VM_BYTES / period <= LIST_BUDGET, "{vms} VMs");
        assert!(cells as f64 / period <= QUESTION_BUDGET, "{cells} cells");
    }
}
