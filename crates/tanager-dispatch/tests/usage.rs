//! Measurement of the load offered to pools.

mod support;

use std::collections::BTreeMap;

use tanager_dispatch::SendReport;
use tanager_protocol::config::TeamQuota;

use support::ms;
use support::new_core;
use support::new_fleet;
use support::normal_request;
use support::refusal_reason;

/// Guards against underestimating load because the queue refuses a part of it, counting load again
/// in the next measurement, counting requests over a team's quota, and two nodes that report the
/// same pool.
#[test]
fn offered_load_is_measured_once_by_the_home() {
    let mut state = new_fleet(&[("pool", 1, 2), ("idle", 3, 8), ("foreign", 1, 2)]);
    let pool = state.document.pools.get_mut("pool").expect("configured");
    let quota = TeamQuota {
        rate: 0,
        burst: 3,
        weight: 1,
    };
    pool.quotas.insert("none".to_owned(), quota);
    let mut core = new_core(&state);
    core.set_home_pools(ms(0), Some(["pool".to_owned(), "idle".to_owned()].into()));
    // Sets the mean run time of the flow to 400 ms.
    let (key, _) = core.submit(ms(0), normal_request("pool"));
    let latency = ms(400);
    core.send_finished(ms(400), key, SendReport::Answered { latency });
    core.measure_usage(ms(1_000));
    let mut reasons = BTreeMap::new();
    for _ in 0..1_000 {
        for team in ["team", "none"] {
            let mut request = normal_request("pool");
            request.team = team.to_owned();
            let (key, actions) = core.submit(ms(1_500), request);
            let reason = refusal_reason(&actions, key).map(|reason| format!("{reason:?}"));
            *reasons.entry(reason).or_insert(0) += 1;
        }
        core.submit(ms(1_500), normal_request("foreign"));
    }
    assert_eq!(reasons[&Some("QuotaExceeded".to_owned())], 1_000);
    assert!(reasons.contains_key(&Some("QueueFull".to_owned())));
    for (second, expected) in [(3, 200.0), (4, 0.0)] {
        let usage = core.measure_usage(ms(second * 1_000));
        let usage = usage.into_iter();
        let usage: BTreeMap<_, _> = usage
            .map(|usage| (usage.pool, (usage.offered.round(), usage.capacity)))
            .collect();
        let idle = ("idle".to_owned(), (0.0, 24));
        assert_eq!(usage, [idle, ("pool".to_owned(), (expected, 2))].into());
    }
}
