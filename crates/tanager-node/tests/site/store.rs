//! Faults of the store: outages, slow responses and lost responses.

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

use crate::caller::ReportedOutcome;
use crate::caller::assert_answered_percent;
use crate::caller::assert_one_response;
use crate::caller::count_runs;
use crate::caller::insert_header;
use crate::caller::keyed_post;
use crate::caller::send_request;
use crate::caller::send_to_all;
use crate::caller::send_until_answered;
use crate::caller::spawn_load;
use crate::harness::POOLS;
use crate::harness::SiteOptions;
use crate::harness::TestSite;
use crate::harness::eventually;
use crate::harness::is_ready;
use crate::harness::log_version;
use crate::harness::version_of;
use crate::nodes::assert_verdict;
use crate::watch::ConfigWatcher;
use crate::watch::read_config;

const NO_FAULTS: PlatformFaults = PlatformFaults {
    delay_ms: Some(0),
    outage: Some(OutageMode::None),
    lose_answers: Some(LostResponses::Count(0)),
    freeze_list: None,
    list_lag_ms: None,
};
const SLOW_STORE: PlatformFaults = PlatformFaults {
    delay_ms: Some(500),
    ..NO_FAULTS
};
const LOSSY_STORE: PlatformFaults = PlatformFaults {
    lose_answers: Some(LostResponses::Chance {
        probability: 0.3,
        seed: 41,
    }),
    ..NO_FAULTS
};
const HANGING_STORE: PlatformFaults = outage(OutageMode::Hang);
const REFUSING_STORE: PlatformFaults = outage(OutageMode::Refuse);

const fn outage(mode: OutageMode) -> PlatformFaults {
    PlatformFaults {
        outage: Some(mode),
        ..NO_FAULTS
    }
}

/// Longer than the 500 ms delay of a slow store.
const LONG_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Shorter than the 500 ms delay of a slow store, so that every call fails although its write takes
/// effect.
const SHORT_PLATFORM_TIMEOUT: Duration = Duration::from_millis(400);

/// The store sends no usable response for 5 s. Guards against failures of requests that need no
/// store, against runs of keyed requests whose history cannot be read, and against requests that
/// are still refused after the outage.
async fn store_outage(seed: u64, faults: PlatformFaults) {
    let site = TestSite::start_with(SiteOptions {
        platform_timeout: SHORT_PLATFORM_TIMEOUT,
        ..SiteOptions::default()
    })
    .await;
    let caller_addresses = site.caller_addresses();
    let before = run_load(&site.load_options(seed, 60.0, Duration::from_secs(1))).await;
    site.set_platform_faults(faults).await;
    let mut options = load_with_short_timeout(&site, seed + 100, 4);
    options.retry = false;
    let load = spawn_load(options);
    let mut keyed = Vec::new();
    for number in 0..6 {
        let key = format!("outage-{seed}-{number}");
        let request = keyed_post(POOLS[number % 3], &key, Duration::from_millis(20));
        let caller_addresses = caller_addresses.clone();
        keyed.push(tokio::spawn(async move {
            let outcomes = send_to_all(&caller_addresses, &request).await;
            (key, request, outcomes)
        }));
    }
    let mut outcomes_by_key = Vec::new();
    for call in keyed {
        outcomes_by_key.push(call.await.expect("caller"));
    }
    let during = load.await.expect("load");
    site.set_platform_faults(NO_FAULTS).await;
    for (key, _, outcomes) in &outcomes_by_key {
        let unknown = ReportedOutcome::Unknown {
            reason: "key_history".to_owned(),
            retry_after: true,
        };
        let all_unknown = outcomes.iter().all(|outcome| *outcome == unknown);
        assert!(all_unknown, "{key}: {outcomes:?}");
    }
    for (key, request, outcomes) in &mut outcomes_by_key {
        outcomes.extend(send_until_answered(&caller_addresses, request, 10).await);
        let answered = outcomes
            .last()
            .and_then(ReportedOutcome::response)
            .is_some();
        assert!(answered, "{key}: {outcomes:?}");
        assert_one_response(key, &*outcomes);
    }
    let after = run_load(&site.load_options(seed + 200, 60.0, Duration::from_secs(2))).await;
    for report in [&before, &during, &after] {
        assert_verdict(&site, report).await;
    }
    assert_answered_percent(&before, 90);
    assert_answered_percent(&after, 90);
    assert_keyless_served(&during);
    assert_keyed_unknown(&during);
    let runs = site.endpoints.runs();
    for (key, _, outcomes) in &outcomes_by_key {
        assert_eq!(count_runs(&runs, key), 1, "{key}: {outcomes:?}");
    }
}

/// The store responds late or not at all, but its writes take effect. Guards against second runs
/// after a lost response, and against keyed requests that fail although the store works.
async fn impaired_store(seed: u64, faults: PlatformFaults) {
    let site = TestSite::start_with(SiteOptions {
        platform_timeout: LONG_PLATFORM_TIMEOUT,
        ..SiteOptions::default()
    })
    .await;
    let caller_addresses = site.caller_addresses();
    site.set_platform_faults(faults).await;
    let load = spawn_load(site.load_options(seed, 60.0, Duration::from_secs(6)));
    let mut calls = Vec::new();
    for number in 0..12 {
        let key = format!("impaired-{seed}-{number}");
        let request = keyed_post(POOLS[number % 3], &key, Duration::from_millis(20));
        let caller_addresses = caller_addresses.clone();
        calls.push(tokio::spawn(async move {
            let mut outcomes = send_to_all(&caller_addresses, &request).await;
            outcomes.extend(send_until_answered(&caller_addresses, &request, 10).await);
            (key, outcomes)
        }));
    }
    let mut outcomes_by_key = Vec::new();
    for call in calls {
        outcomes_by_key.push(call.await.expect("caller"));
    }
    let during = load.await.expect("load");
    site.set_platform_faults(NO_FAULTS).await;
    let after = run_load(&site.load_options(seed + 200, 60.0, Duration::from_secs(2))).await;
    for report in [&during, &after] {
        assert_verdict(&site, report).await;
        assert_answered_percent(report, 90);
    }
    assert_keyless_served(&during);
    let runs = site.endpoints.runs();
    for (key, outcomes) in &outcomes_by_key {
        assert_eq!(count_runs(&runs, key), 1, "{key}: {outcomes:?}");
        let answered = outcomes
            .last()
            .and_then(ReportedOutcome::response)
            .is_some();
        assert!(answered, "{key}: {outcomes:?}");
        assert_one_response(key, outcomes);
    }
}

/// Operators change the configuration through every node. Guards against accepted changes that not
/// every node applies or that are reverted.
async fn configuration_changes(seed: u64, faults: PlatformFaults) {
    let site = TestSite::start_with(SiteOptions {
        platform_timeout: LONG_PLATFORM_TIMEOUT,
        ..SiteOptions::default()
    })
    .await;
    let watcher = ConfigWatcher::spawn(&site.nodes);
    let load = spawn_load(site.load_options(seed, 40.0, Duration::from_secs(8)));
    site.set_platform_faults(faults).await;
    for revision in 1..=6 {
        let node = revision % 3;
        let document = revised_document(&site, revision).await;
        put_until_accepted(&site, node, &document).await;
        let accepted = read_config(site.nodes[node].admin_address)
            .await
            .expect("configuration");
        site.wait_for_version(accepted.configured_version).await;
        for node in &site.nodes {
            let current = read_config(node.admin_address)
                .await
                .expect("configuration");
            assert_eq!(current.document, document, "{} at {revision}", node.name);
        }
    }
    let report = load.await.expect("load");
    site.set_platform_faults(NO_FAULTS).await;
    watcher.finish().await;
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 90);
}

/// A node shuts down during an outage of the store. Guards against requests that the shutdown
/// interrupts, and against a shutdown that fails or never ends because the node cannot remove its
/// registration.
async fn shutdown_in_an_outage(seed: u64, faults: PlatformFaults) {
    let mut site = TestSite::start_with(SiteOptions {
        platform_timeout: SHORT_PLATFORM_TIMEOUT,
        ..SiteOptions::default()
    })
    .await;
    site.set_platform_faults(faults).await;
    let mut options = load_with_short_timeout(&site, seed, 6);
    options.retry = false;
    // Load balancers no longer send requests to the node that shuts down. Requests to other nodes
    // still pass through its queues because it is the home of pools.
    let stopping_node = options.targets.remove(0);
    let load = spawn_load(options);
    time::sleep(Duration::from_secs(1)).await;
    let calls: Vec<_> = (0..30)
        .map(|number| {
            let path = format!("/{}/in-progress-{number}", POOLS[number % 3]);
            let mut request = HttpRequest::new(Method::POST, path, "");
            insert_header(&mut request, "x-work-ms", "1500");
            tokio::spawn(send_request(stopping_node, request))
        })
        .collect();
    eventually("the requests are in progress", async || {
        let runs = site.endpoints.runs();
        (0..30).all(|number| count_runs(&runs, &format!("in-progress-{number}")) == 1)
    })
    .await;
    // These requests wait for their claims until they time out.
    let keyed: Vec<_> = (0..6)
        .map(|number| {
            let key = format!("stop-{seed}-{number}");
            let request = keyed_post(POOLS[number % 3], &key, Duration::from_millis(20));
            tokio::spawn(send_request(stopping_node, request))
        })
        .collect();
    time::sleep(Duration::from_millis(200)).await;
    site.nodes[0].signal(Signal::SIGTERM);
    let start = time::Instant::now();
    // The limits of a shutdown (stop delay, longest request, twice 10 s for the store) add up to
    // half of the longest time that `wait` allows.
    assert_eq!(site.nodes[0].wait().await, Some(0));
    println!("the node shut down after {:?}", start.elapsed());
    for call in calls {
        let outcome = call.await.expect("caller");
        assert!(outcome.response().is_some(), "{outcome:?}");
    }
    for call in keyed {
        let outcome = call.await.expect("caller");
        let unknown = ReportedOutcome::Unknown {
            reason: "key_history".to_owned(),
            retry_after: true,
        };
        assert_eq!(outcome, unknown);
    }
    let report = load.await.expect("load");
    site.set_platform_faults(NO_FAULTS).await;
    assert_verdict(&site, &report).await;
    assert_keyless_served(&report);
    assert_keyed_unknown(&report);
    let runs = site.endpoints.runs();
    for number in 0..30 {
        let id = format!("in-progress-{number}");
        assert_eq!(count_runs(&runs, &id), 1, "{id}");
    }
    for number in 0..6 {
        let key = format!("stop-{seed}-{number}");
        assert_eq!(count_runs(&runs, &key), 0, "{key}");
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
    outage_with_a_hanging_store: store_outage(1, HANGING_STORE);
    outage_with_a_refusing_store: store_outage(2, REFUSING_STORE);
    outage_with_responses_after_the_timeout: store_outage(3, SLOW_STORE);
    slow_store_serves_all_requests: impaired_store(4, SLOW_STORE);
    lost_responses_cause_no_second_run: impaired_store(5, LOSSY_STORE);
    configuration_with_a_slow_store: configuration_changes(6, SLOW_STORE);
    configuration_with_lost_responses: configuration_changes(7, LOSSY_STORE);
    node_shuts_down_while_the_store_hangs: shutdown_in_an_outage(90, HANGING_STORE);
    node_shuts_down_while_the_store_refuses: shutdown_in_an_outage(91, REFUSING_STORE);
}

/// Guards against a new node that starts during an outage of the store and uses an outdated state,
/// does not load the state that a peer has, or becomes ready without a source of the state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_replaced_in_an_outage_loads_state_from_its_seed() {
    let mut site = TestSite::start(4, 12, 1).await;
    let mut watcher = ConfigWatcher::spawn(&site.nodes[..3]);
    let document = revised_document(&site, 1).await;
    put_until_accepted(&site, 0, &document).await;
    let version = log_version(&site.nodes[0]).await.expect("version");
    site.wait_for_version(version).await;
    site.set_outage(OutageMode::Refuse).await;
    let mut options = load_with_short_timeout(&site, 8, 10);
    options.targets.pop();
    let load = spawn_load(options);
    site.nodes[3].kill();
    let seed = site.nodes[0].peer_address;
    site.nodes.pop();
    watcher.add(site.add_seeded_node(&[seed]));
    watcher.add(site.add_node());
    eventually("the seeded node is ready", async || {
        is_ready(&site.nodes[3]).await
    })
    .await;
    let state = read_config(site.nodes[3].admin_address)
        .await
        .expect("configuration");
    assert_eq!(state.document, document);
    assert!(state.version >= version, "{state:?}");
    // The node is not registered, so that it only forwards requests.
    for pool in POOLS {
        let request = HttpRequest::new(Method::GET, format!("/{pool}/through-new"), "");
        let outcome = send_request(site.nodes[3].caller_address, request).await;
        assert!(outcome.response().is_some(), "{outcome:?}");
    }
    time::sleep(Duration::from_secs(5)).await;
    assert!(!is_ready(&site.nodes[4]).await, "ready without a state");
    let request = HttpRequest::new(Method::GET, "/alpha/too-early", "");
    let outcome = send_request(site.nodes[4].caller_address, request).await;
    assert!(matches!(outcome, ReportedOutcome::NotRun(_)), "{outcome:?}");
    site.set_outage(OutageMode::None).await;
    site.wait_until_ready().await;
    eventually("both new nodes are registered", async || {
        let page = site.get_admin(0, "/v1/nodes").await.unwrap_or_default();
        ["entry-5", "entry-6"]
            .iter()
            .all(|name| page["nodes"][name].is_object())
    })
    .await;
    let during = load.await.expect("load");
    watcher.finish().await;
    let after = run_load(&site.load_options(9, 60.0, Duration::from_secs(2))).await;
    for report in [&during, &after] {
        assert_verdict(&site, report).await;
    }
    assert_answered_percent(&after, 90);
    assert_answered_percent(&during, 50);
}

fn load_with_short_timeout(site: &TestSite, seed: u64, seconds: u64) -> LoadOptions {
    let mut options = site.load_options(seed, 60.0, Duration::from_secs(seconds));
    options.mix.timeout = Duration::from_secs(2);
    options
}

/// Asserts that all requests without a key were answered; they need no store.
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

/// Asserts that all keyed requests got the outcome unknown, because the history of their keys
/// cannot be read in an outage.
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

/// Returns the current document with a team of another name, so that each revision differs.
async fn revised_document(site: &TestSite, revision: usize) -> Value {
    let mut document = read_config(site.nodes[0].admin_address)
        .await
        .expect("page")
        .document;
    document["teams"] = json!({ format!("revision-{revision}"): {} });
    document["teams"][format!("revision-{revision}")] = json!({ "token_sha256": "" });
    document
}

/// Submits a document until it is in effect. As an operator would, reads the configuration back
/// before another attempt, because a lost response leaves the result unknown.
async fn put_until_accepted(site: &TestSite, node: usize, document: &Value) {
    eventually("the document is accepted", async || {
        let Some(before) = read_config(site.nodes[node].admin_address).await else {
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
