//! Two faults at a time.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time;

use tanager_standin::PlatformFaults;
use tanager_standin::endpoint::EndpointFaults;
use tanager_standin::load::run_load;
use tanager_standin::platform::LostResponses;
use tanager_standin::platform::OutageMode;

use crate::caller::ToldOutcome;
use crate::caller::assert_one_answer;
use crate::caller::assert_served;
use crate::caller::keyed_post;
use crate::caller::runs_of;
use crate::caller::spawn_load;
use crate::caller::tell_all;
use crate::fleet::assert_one_pool_at_a_time;
use crate::fleet::assert_refused;
use crate::harness::TestSite;
use crate::harness::eventually;
use crate::nodes::assert_verdict;
use crate::watch::ConfigWatcher;

/// Guards against second runs when neither the killed home nor a lost answer tells what was
/// written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_killed_while_the_store_loses_answers() {
    let mut site = TestSite::open(4, 12, 1).await;
    site.set_platform(PlatformFaults {
        lose_answers: Some(LostResponses::Chance {
            probability: 0.3,
            seed: 81,
        }),
        ..PlatformFaults::default()
    })
    .await;
    let load = spawn_load(site.load(81, 80.0, Duration::from_secs(8)));
    let home = site.home_of("alpha");
    let others: Vec<_> = (0..4)
        .filter(|node| *node != home)
        .map(|node| site.nodes[node].caller)
        .collect();
    let calls: Vec<_> = (0..20)
        .map(|number| {
            let key = format!("pair-{number}");
            let request = keyed_post("alpha", &key, Duration::from_millis(300));
            let others = others.clone();
            tokio::spawn(async move {
                let mut outcomes = tell_all(&others, &request).await;
                time::sleep(Duration::from_secs(4)).await;
                outcomes.extend(tell_all(&others, &request).await);
                (key, outcomes)
            })
        })
        .collect();
    time::sleep(Duration::from_millis(250)).await;
    site.nodes[home].kill();
    let mut told: Vec<(String, Vec<ToldOutcome>)> = Vec::new();
    for call in calls {
        told.push(call.await.expect("caller"));
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_served(&report, 50);
    let runs = site.endpoints.runs();
    for (key, outcomes) in &told {
        assert!(runs_of(&runs, key) <= 1, "{key}: {outcomes:?}");
        assert_one_answer(key, outcomes);
    }
}

/// Guards against a node that wakes with a state older than it showed, or runs again what others
/// ran meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_frozen_during_a_store_outage() {
    let site = TestSite::open(4, 12, 1).await;
    let watcher = ConfigWatcher::spawn(&site.nodes);
    let mut options = site.load(82, 80.0, Duration::from_secs(9));
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
    let after = run_load(&site.load(83, 60.0, Duration::from_secs(2))).await;
    watcher.finish().await;
    for report in [&report, &after] {
        assert_verdict(&site, report).await;
    }
    assert_served(&report, 40);
    assert_served(&after, 90);
}

/// Guards against a move that a lost rack keeps open or that takes the pool below its floor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn move_during_a_rack_loss() {
    let site = TestSite::open(3, 12, 2).await;
    let load = spawn_load(site.named_load(84, 60.0, 9, Duration::from_millis(100)));
    site.wait_used("vm-1").await;
    let refuse = EndpointFaults {
        refuse: true,
        ..EndpointFaults::default()
    };
    // The second rack holds one VM of each pool.
    let lost = ["vm-4", "vm-5", "vm-6"];
    for vm in lost {
        site.set_endpoint(vm, refuse.clone()).await;
    }
    eventually("the failed VM is reported", async || {
        site.vm(0, "vm-4").await["health"] == "down"
    })
    .await;
    let response = site.start_move(0, "vm-1", "beta").await;
    assert!(response.status.is_success(), "{response:?}");
    // Two VMs of alpha are available, which is its floor.
    assert_refused(&site.start_move(1, "vm-7", "beta").await);
    site.wait_pool(0, "vm-1", "beta").await;
    for vm in lost {
        site.set_endpoint(vm, EndpointFaults::default()).await;
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_served(&report, 90);
    let pools = assert_one_pool_at_a_time(&site.endpoints.runs(), "vm-1");
    assert_eq!(pools, ["alpha", "beta"]);
    site.assert_floor_kept(2, 2).await;
}
