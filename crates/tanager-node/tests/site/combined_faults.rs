//! Two faults at the same time.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time;

use tanager_standin::PlatformFaults;
use tanager_standin::endpoint::EndpointFaults;
use tanager_standin::load::run_load;
use tanager_standin::platform::LostResponses;
use tanager_standin::platform::OutageMode;

use crate::caller::ReportedOutcome;
use crate::caller::assert_answered_percent;
use crate::caller::assert_one_response;
use crate::caller::count_runs;
use crate::caller::keyed_post;
use crate::caller::send_to_all;
use crate::caller::spawn_load;
use crate::fleet::assert_one_pool_at_a_time;
use crate::fleet::assert_refused;
use crate::harness::TestSite;
use crate::harness::eventually;
use crate::nodes::assert_verdict;
use crate::watch::ConfigWatcher;

/// Guards against second runs if the home is killed while responses of the store are lost, so that
/// the next home cannot know which claims were written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_killed_while_the_store_loses_responses() {
    let mut site = TestSite::start(4, 12, 1).await;
    site.set_platform_faults(PlatformFaults {
        lose_answers: Some(LostResponses::Chance {
            probability: 0.3,
            seed: 81,
        }),
        ..PlatformFaults::default()
    })
    .await;
    let load = spawn_load(site.load_options(81, 80.0, Duration::from_secs(8)));
    let home = site.home_of("alpha");
    let others: Vec<_> = (0..4)
        .filter(|node| *node != home)
        .map(|node| site.nodes[node].caller_address)
        .collect();
    let calls: Vec<_> = (0..20)
        .map(|number| {
            let key = format!("pair-{number}");
            let request = keyed_post("alpha", &key, Duration::from_millis(300));
            let others = others.clone();
            tokio::spawn(async move {
                let mut outcomes = send_to_all(&others, &request).await;
                time::sleep(Duration::from_secs(4)).await;
                outcomes.extend(send_to_all(&others, &request).await);
                (key, outcomes)
            })
        })
        .collect();
    time::sleep(Duration::from_millis(250)).await;
    site.nodes[home].kill();
    let mut outcomes_by_key: Vec<(String, Vec<ReportedOutcome>)> = Vec::new();
    for call in calls {
        outcomes_by_key.push(call.await.expect("caller"));
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 50);
    let runs = site.endpoints.runs();
    for (key, outcomes) in &outcomes_by_key {
        assert!(count_runs(&runs, key) <= 1, "{key}: {outcomes:?}");
        assert_one_response(key, outcomes);
    }
}

/// Guards against a node that resumes with an older state than it reported before, or that repeats
/// requests that other nodes ran in the meantime.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_frozen_during_a_store_outage() {
    let site = TestSite::start(4, 12, 1).await;
    let watcher = ConfigWatcher::spawn(&site.nodes);
    let mut options = site.load_options(82, 80.0, Duration::from_secs(9));
    options.mix.timeout = Duration::from_secs(2);
    let load = spawn_load(options);
    time::sleep(Duration::from_secs(1)).await;
    site.set_outage(OutageMode::Hang).await;
    let frozen = site.home_of("alpha");
    site.nodes[frozen].signal(Signal::SIGSTOP);
    time::sleep(Duration::from_secs(5)).await;
    site.nodes[frozen].signal(Signal::SIGCONT);
    time::sleep(Duration::from_secs(1)).await;
    site.set_outage(OutageMode::None).await;
    let report = load.await.expect("load");
    let after = run_load(&site.load_options(83, 60.0, Duration::from_secs(2))).await;
    watcher.finish().await;
    for report in [&report, &after] {
        assert_verdict(&site, report).await;
    }
    assert_answered_percent(&report, 40);
    assert_answered_percent(&after, 90);
}

/// Guards against a move that is not completed because a rack is lost, or that takes the pool below
/// its floor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn move_during_a_rack_loss() {
    let site = TestSite::start(3, 12, 2).await;
    let load = spawn_load(site.load_with_pool_paths(84, 60.0, 9, Duration::from_millis(100)));
    site.wait_for_traffic("vm-1").await;
    let refuse = EndpointFaults {
        refuse: true,
        ..EndpointFaults::default()
    };
    // The second rack contains one VM of each pool.
    let lost = ["vm-4", "vm-5", "vm-6"];
    for vm in lost {
        site.set_endpoint_faults(vm, refuse.clone()).await;
    }
    eventually("the failed VM is reported as down", async || {
        site.vm_record(0, "vm-4").await["health"] == "down"
    })
    .await;
    let response = site.start_move(0, "vm-1", "beta").await;
    assert!(response.status.is_success(), "{response:?}");
    // Two VMs of pool alpha are available, which is its floor.
    assert_refused(&site.start_move(1, "vm-7", "beta").await);
    site.wait_for_move(0, "vm-1", "beta").await;
    for vm in lost {
        site.set_endpoint_faults(vm, EndpointFaults::default())
            .await;
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 90);
    let pools = assert_one_pool_at_a_time(&site.endpoints.runs(), "vm-1");
    assert_eq!(pools, ["alpha", "beta"]);
    site.assert_floor_kept(2, 2).await;
}
