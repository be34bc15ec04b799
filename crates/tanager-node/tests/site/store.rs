//! Faults of the store: out, slow, losing answers.

use std::time::Duration;

use http::Method;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use tokio::time;

use tanager_http::HttpRequest;
use tanager_standin::PlatformFaults;
use tanager_standin::load::LoadOptions;
use tanager_standin::load::run_load;
use tanager_standin::platform::LostResponses;
use tanager_standin::platform::OutageMode;
use tanager_standin::report::LoadReport;
use tanager_standin::verification::CallerOutcome;

use crate::caller::ToldOutcome;
use crate::caller::assert_one_answer;
use crate::caller::assert_served;
use crate::caller::insert;
use crate::caller::keyed_post;
use crate::caller::runs_of;
use crate::caller::spawn_load;
use crate::caller::tell;
use crate::caller::tell_all;
use crate::caller::tell_until_answered;
use crate::harness::POOLS;
use crate::harness::SiteOptions;
use crate::harness::TestSite;
use crate::harness::eventually;
use crate::harness::is_ready;
use crate::harness::log_version;
use crate::harness::version_of;
use crate::nodes::assert_verdict;
use crate::watch::ConfigWatcher;
use crate::watch::shown;

const NO_FAULTS: PlatformFaults = PlatformFaults {
    delay_ms: Some(0),
    outage: Some(OutageMode::None),
    lose_answers: Some(LostResponses::Count(0)),
    freeze_list: None,
    list_lag_ms: None,
};
const SLOW: PlatformFaults = PlatformFaults {
    delay_ms: Some(500),
    ..NO_FAULTS
};
const LOSSY: PlatformFaults = PlatformFaults {
    lose_answers: Some(LostResponses::Chance {
        probability: 0.3,
        seed: 41,
    }),
    ..NO_FAULTS
};
const HANGS: PlatformFaults = outage(OutageMode::Hang);
const REFUSES: PlatformFaults = outage(OutageMode::Refuse);

const fn outage(mode: OutageMode) -> PlatformFaults {
    PlatformFaults {
        outage: Some(mode),
        ..NO_FAULTS
    }
}

/// Longer than the 500 ms delay of a slow store.
const PATIENT: Duration = Duration::from_secs(2);
/// Shorter than the 500 ms delay of a slow store: every call fails, and its write takes effect.
const IMPATIENT: Duration = Duration::from_millis(400);

/// The store gives no usable answer for 5 s. Guards against outage effects on work that needs no
/// store, against runs of keyed work whose history cannot be read, and against work that stays
/// refused afterwards.
async fn store_is_out(seed: u64, faults: PlatformFaults) {
    let site = TestSite::open_with(SiteOptions {
        platform_timeout: IMPATIENT,
        ..SiteOptions::default()
    })
    .await;
    let callers = site.callers();
    let before = run_load(&site.load(seed, 60.0, Duration::from_secs(1))).await;
    site.set_platform(faults).await;
    let mut options = short_load(&site, seed + 100, 4);
    options.retry = false;
    let load = spawn_load(options);
    let mut keyed = Vec::new();
    for number in 0..6 {
        let key = format!("outage-{seed}-{number}");
        let request = keyed_post(POOLS[number % 3], &key, Duration::from_millis(20));
        let callers = callers.clone();
        keyed.push(tokio::spawn(async move {
            let outcomes = tell_all(&callers, &request).await;
            (key, request, outcomes)
        }));
    }
    let mut told = Vec::new();
    for call in keyed {
        told.push(call.await.expect("caller"));
    }
    let during = load.await.expect("load");
    site.set_platform(NO_FAULTS).await;
    for (key, _, outcomes) in &told {
        let unknown = ToldOutcome::Unknown {
            reason: "key_history".to_owned(),
            retry_after: true,
        };
        let all_unknown = outcomes.iter().all(|outcome| *outcome == unknown);
        assert!(all_unknown, "{key}: {outcomes:?}");
    }
    for (key, request, outcomes) in &mut told {
        outcomes.extend(tell_until_answered(&callers, request, 10).await);
        let answered = outcomes.last().and_then(ToldOutcome::answer).is_some();
        assert!(answered, "{key}: {outcomes:?}");
        assert_one_answer(key, &*outcomes);
    }
    let after = run_load(&site.load(seed + 200, 60.0, Duration::from_secs(2))).await;
    for report in [&before, &during, &after] {
        assert_verdict(&site, report).await;
    }
    assert_served(&before, 90);
    assert_served(&after, 90);
    assert_keyless_served(&during);
    assert_keyed_unknown(&during);
    let runs = site.endpoints.runs();
    for (key, _, outcomes) in &told {
        assert_eq!(runs_of(&runs, key), 1, "{key}: {outcomes:?}");
    }
}

/// The store answers late or not at all, but its writes take effect. Guards against second runs
/// after a lost answer and against a node that gives up keyed work although the store works.
async fn store_is_impaired(seed: u64, faults: PlatformFaults) {
    let site = TestSite::open_with(SiteOptions {
        platform_timeout: PATIENT,
        ..SiteOptions::default()
    })
    .await;
    let callers = site.callers();
    site.set_platform(faults).await;
    let load = spawn_load(site.load(seed, 60.0, Duration::from_secs(6)));
    let mut calls = Vec::new();
    for number in 0..12 {
        let key = format!("impaired-{seed}-{number}");
        let request = keyed_post(POOLS[number % 3], &key, Duration::from_millis(20));
        let callers = callers.clone();
        calls.push(tokio::spawn(async move {
            let mut outcomes = tell_all(&callers, &request).await;
            outcomes.extend(tell_until_answered(&callers, &request, 10).await);
            (key, outcomes)
        }));
    }
    let mut told = Vec::new();
    for call in calls {
        told.push(call.await.expect("caller"));
    }
    let during = load.await.expect("load");
    site.set_platform(NO_FAULTS).await;
    let after = run_load(&site.load(seed + 200, 60.0, Duration::from_secs(2))).await;
    for report in [&during, &after] {
        assert_verdict(&site, report).await;
        assert_served(report, 90);
    }
    assert_keyless_served(&during);
    let runs = site.endpoints.runs();
    for (key, outcomes) in &told {
        assert_eq!(runs_of(&runs, key), 1, "{key}: {outcomes:?}");
        let answered = outcomes.last().and_then(ToldOutcome::answer).is_some();
        assert!(answered, "{key}: {outcomes:?}");
        assert_one_answer(key, outcomes);
    }
}

/// Operators change the configuration through every node. Guards against accepted changes that
/// do not come into force everywhere or revert.
async fn configuration_changes(seed: u64, faults: PlatformFaults) {
    let site = TestSite::open_with(SiteOptions {
        platform_timeout: PATIENT,
        ..SiteOptions::default()
    })
    .await;
    let watcher = ConfigWatcher::spawn(&site.nodes);
    let load = spawn_load(site.load(seed, 40.0, Duration::from_secs(8)));
    site.set_platform(faults).await;
    for revision in 1..=6 {
        let node = revision % 3;
        let document = revised(&site, revision).await;
        put_until_shown(&site, node, &document).await;
        let accepted = shown(site.nodes[node].admin).await.expect("configuration");
        site.wait_version(accepted.configured_version).await;
        for node in &site.nodes {
            let shown = shown(node.admin).await.expect("configuration");
            assert_eq!(shown.document, document, "{} at {revision}", node.name);
        }
    }
    let report = load.await.expect("load");
    site.set_platform(NO_FAULTS).await;
    watcher.finish().await;
    assert_verdict(&site, &report).await;
    assert_served(&report, 90);
}

/// A node is stopped while the store is out. Guards against requests that the stop cuts off, and
/// against a stop that fails or never ends because the node cannot leave the register.
async fn node_stops(seed: u64, faults: PlatformFaults) {
    let mut site = TestSite::open_with(SiteOptions {
        platform_timeout: IMPATIENT,
        ..SiteOptions::default()
    })
    .await;
    site.set_platform(faults).await;
    let mut options = short_load(&site, seed, 6);
    options.retry = false;
    // The balancer has stopped sending to the node that stops; requests sent to the others pass
    // through its queues, for it is a home.
    let stopping = options.targets.remove(0);
    let load = spawn_load(options);
    time::sleep(Duration::from_secs(1)).await;
    let calls: Vec<_> = (0..30)
        .map(|number| {
            let path = format!("/{}/in-progress-{number}", POOLS[number % 3]);
            let mut request = HttpRequest::new(Method::POST, path, "");
            insert(&mut request, "x-work-ms", "1500");
            tokio::spawn(tell(stopping, request))
        })
        .collect();
    eventually("the requests are in progress", async || {
        let runs = site.endpoints.runs();
        (0..30).all(|number| runs_of(&runs, &format!("in-progress-{number}")) == 1)
    })
    .await;
    // They wait for their claims until their time limit.
    let keyed: Vec<_> = (0..6)
        .map(|number| {
            let key = format!("stop-{seed}-{number}");
            let request = keyed_post(POOLS[number % 3], &key, Duration::from_millis(20));
            tokio::spawn(tell(stopping, request))
        })
        .collect();
    time::sleep(Duration::from_millis(200)).await;
    site.nodes[0].signal(Signal::SIGTERM);
    let start = time::Instant::now();
    // The limits of a stop (stop delay, longest request, twice 10 s for the store) add up to half
    // of the time that this waits at most.
    assert_eq!(site.nodes[0].wait().await, Some(0));
    println!("stopped after {:?}", start.elapsed());
    for call in calls {
        let told = call.await.expect("caller");
        assert!(told.answer().is_some(), "{told:?}");
    }
    for call in keyed {
        let told = call.await.expect("caller");
        let unknown = ToldOutcome::Unknown {
            reason: "key_history".to_owned(),
            retry_after: true,
        };
        assert_eq!(told, unknown);
    }
    let report = load.await.expect("load");
    site.set_platform(NO_FAULTS).await;
    assert_verdict(&site, &report).await;
    assert_keyless_served(&report);
    assert_keyed_unknown(&report);
    let runs = site.endpoints.runs();
    for number in 0..30 {
        let id = format!("in-progress-{number}");
        assert_eq!(runs_of(&runs, &id), 1, "{id}");
    }
    for number in 0..6 {
        let key = format!("stop-{seed}-{number}");
        assert_eq!(runs_of(&runs, &key), 0, "{key}");
    }
}

macro_rules! store_faults {
    ($($name:ident: $test:ident($seed:literal, $faults:expr);)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            $test($seed, $faults).await;
        }
    )*};
}

store_faults! {
    outage_by_hanging: store_is_out(1, HANGS);
    outage_by_refusing: store_is_out(2, REFUSES);
    outage_by_answers_later_than_the_time_limit: store_is_out(3, SLOW);
    slow_store_serves_all_work: store_is_impaired(4, SLOW);
    lost_answers_run_nothing_twice: store_is_impaired(5, LOSSY);
    configuration_with_a_slow_store: configuration_changes(6, SLOW);
    configuration_with_lost_answers: configuration_changes(7, LOSSY);
    node_stops_while_the_store_hangs: node_stops(90, HANGS);
    node_stops_while_the_store_refuses: node_stops(91, REFUSES);
}

/// Guards against a new node that serves an outdated state in an outage, or none although a peer
/// has it, and against one that becomes ready without any source of the state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_replaced_in_an_outage_takes_state_from_its_seed() {
    let mut site = TestSite::open(4, 12, 1).await;
    let mut watcher = ConfigWatcher::spawn(&site.nodes[..3]);
    let document = revised(&site, 1).await;
    put_until_shown(&site, 0, &document).await;
    let version = log_version(&site.nodes[0]).await.expect("version");
    site.wait_version(version).await;
    site.set_outage(OutageMode::Refuse).await;
    let mut options = short_load(&site, 8, 10);
    options.targets.pop();
    let load = spawn_load(options);
    site.nodes[3].kill();
    let seed = site.nodes[0].peer;
    site.nodes.pop();
    watcher.add(site.add_seeded_node(&[seed]));
    watcher.add(site.add_node());
    eventually("the seeded node is ready", async || {
        is_ready(&site.nodes[3]).await
    })
    .await;
    let state = shown(site.nodes[3].admin).await.expect("configuration");
    assert_eq!(state.document, document);
    assert!(state.version >= version, "{state:?}");
    // It is not registered, so it only forwards.
    for pool in POOLS {
        let request = HttpRequest::new(Method::GET, format!("/{pool}/through-new"), "");
        let told = tell(site.nodes[3].caller, request).await;
        assert!(told.answer().is_some(), "{told:?}");
    }
    time::sleep(Duration::from_secs(5)).await;
    assert!(!is_ready(&site.nodes[4]).await, "ready without a state");
    let request = HttpRequest::new(Method::GET, "/alpha/too-early", "");
    let told = tell(site.nodes[4].caller, request).await;
    assert!(matches!(told, ToldOutcome::NotRun(_)), "{told:?}");
    site.set_outage(OutageMode::None).await;
    site.wait_ready().await;
    eventually("both new nodes are registered", async || {
        let page = site.get_admin(0, "/v1/nodes").await.unwrap_or_default();
        ["entry-5", "entry-6"]
            .iter()
            .all(|name| page["nodes"][name].is_object())
    })
    .await;
    let during = load.await.expect("load");
    watcher.finish().await;
    let after = run_load(&site.load(9, 60.0, Duration::from_secs(2))).await;
    for report in [&during, &after] {
        assert_verdict(&site, report).await;
    }
    assert_served(&after, 90);
    assert_served(&during, 50);
}

fn short_load(site: &TestSite, seed: u64, seconds: u64) -> LoadOptions {
    let mut options = site.load(seed, 60.0, Duration::from_secs(seconds));
    options.mix.timeout = Duration::from_secs(2);
    options
}

/// Work without a key needs no store.
fn assert_keyless_served(report: &LoadReport) {
    let keyless = report.records.iter().filter(|record| record.key.is_empty());
    let lost: Vec<_> = keyless
        .clone()
        .filter(|record| {
            let last = record.outcomes.last();
            !matches!(
                last,
                Some(CallerOutcome::Answered { own: true } | CallerOutcome::Cancelled)
            )
        })
        .collect();
    assert!(keyless.count() > 50, "{report}");
    assert!(lost.is_empty(), "{lost:?}");
}

/// The history of a key cannot be read in an outage.
fn assert_keyed_unknown(report: &LoadReport) {
    let keyed = report
        .records
        .iter()
        .filter(|record| !record.key.is_empty());
    let unknown = CallerOutcome::Unknown("key_history".to_owned());
    let other: Vec<_> = keyed
        .clone()
        .filter(|record| {
            let last = record.outcomes.last();
            last != Some(&unknown) && last != Some(&CallerOutcome::Cancelled)
        })
        .collect();
    assert!(keyed.count() > 20, "{report}");
    assert!(other.is_empty(), "{other:?}");
}

/// The document in force with another team, so that each revision differs.
async fn revised(site: &TestSite, revision: usize) -> Value {
    let mut document = shown(site.nodes[0].admin).await.expect("page").document;
    document["teams"] = json!({ format!("revision-{revision}"): {} });
    document["teams"][format!("revision-{revision}")] = json!({ "token_sha256": "" });
    document
}

/// Puts a document as an operator does: after an answer that leaves the result open, it reads
/// back before it tries again.
async fn put_until_shown(site: &TestSite, node: usize, document: &Value) {
    eventually("the document is accepted", async || {
        let Some(before) = shown(site.nodes[node].admin).await else {
            return false;
        };
        if before.document == *document {
            return true;
        }
        let response = site
            .put_config(node, before.configured_version, document)
            .await;
        if response.status.is_success() {
            assert!(version_of(&response) > before.configured_version);
        }
        response.status.is_success()
    })
    .await;
}
