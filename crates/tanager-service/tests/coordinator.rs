//! Interval of the coordinator's decisions at different fleet sizes.

use std::time::Duration;

use tanager_service::coordinator::decision_period;

/// Size of a VM's entry in the VM list, in bytes.
const VM_BYTES: f64 = 250.0;
/// Bandwidth that VM lists may use on the slowest link (10 Mbit/s), in bytes per second.
const LIST_BUDGET: f64 = 760_000.0;
/// Load requests per second that a node with 0.12 of a core may send.
const LOAD_REQUEST_BUDGET: f64 = 251.0;

/// Guards against a coordinator that decides too rarely at common fleet sizes, so that moves come
/// late.
#[test]
fn coordinator_of_a_small_fleet_decides_four_times_a_second() {
    for (vms, cells) in [(49, 5), (350, 30), (700, 60)] {
        assert_eq!(decision_period(vms, cells), Duration::from_millis(250));
    }
}

/// Guards against a coordinator that spends all its time on VM lists and load requests: at 300
/// nodes and 3,000 VMs they took 89% of a core and 6.7 MB/s on the busiest node.
#[test]
fn large_fleets_do_not_overload_the_coordinator() {
    for (vms, cells) in [(1_100, 218), (3_000, 231), (11_000, 850)] {
        let period = decision_period(vms, cells).as_secs_f64();
        assert!(vms as f64 * VM_BYTES / period <= LIST_BUDGET, "{vms} VMs");
        assert!(
            cells as f64 / period <= LOAD_REQUEST_BUDGET,
            "{cells} cells"
        );
    }
}
