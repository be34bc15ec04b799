//! Connections that stall for good while new connections work.

use std::time::Duration;

use http::Method;
use tokio::time;

use tanager_http::HttpRequest;
use tanager_standin::load::run_load;

use crate::caller::ReportedOutcome;
use crate::caller::assert_answered_percent;
use crate::caller::assert_one_response;
use crate::caller::count_runs;
use crate::caller::insert_header;
use crate::caller::keyed_post;
use crate::caller::send_to_all;
use crate::caller::send_until_answered;
use crate::caller::spawn_load;
use crate::harness::POOLS;
use crate::harness::SiteOptions;
use crate::harness::TestSite;
use crate::harness::eventually;
use crate::harness::version_of;
use crate::nodes::assert_verdict;
use crate::proxy::StallingProxy;

/// Longest time for which an endpoint connection may be idle and still be reused.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Guards against responses of other requests and second runs if the connections to an endpoint
/// stall during requests, and against an endpoint that is never used again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_endpoint_connections_are_replaced() {
    let site = TestSite::start(2, 6, 1).await;
    let vm = site.vms_of("alpha")[0].clone();
    let proxy = proxy_endpoint(&site, &vm).await;
    let mut options = site.load_with_pool_paths(86, 60.0, 8, Duration::from_millis(100));
    options.mix.timeout = Duration::from_secs(2);
    let load = spawn_load(options);
    time::sleep(Duration::from_secs(2)).await;
    let caller_addresses = site.caller_addresses();
    let calls: Vec<_> = (0..8)
        .map(|number| {
            let path = format!("/alpha/alpha/silenced-{number}");
            let mut request = HttpRequest::new(Method::GET, path, "");
            insert_header(&mut request, "x-work-ms", "1000");
            insert_header(&mut request, "tanager-timeout-ms", "2000");
            let caller_addresses = caller_addresses.clone();
            tokio::spawn(async move { send_until_answered(&caller_addresses, &request, 8).await })
        })
        .collect();
    eventually("the endpoint runs some of the requests", async || {
        let runs = site.endpoints.runs();
        let mut runs = runs.iter().filter(|run| run.endpoint == vm);
        runs.any(|run| run.path.contains("/silenced-") && run.finish.is_none())
    })
    .await;
    assert!(proxy.open_connections() > 0);
    proxy.stall_open_connections();
    let order_at_fault = site.endpoints.next_order();
    let mut retried = 0;
    for call in calls {
        let outcomes = call.await.expect("caller");
        let answered = outcomes
            .last()
            .and_then(ReportedOutcome::response)
            .is_some();
        assert!(answered, "{outcomes:?}");
        retried += usize::from(outcomes.len() > 1);
    }
    let during = load.await.expect("load");
    println!("{retried} requests were retried by their callers");
    let runs = site.endpoints.runs();
    let twice = (0..8).filter(|number| count_runs(&runs, &format!("silenced-{number}")) > 1);
    assert!(twice.count() > 0, "no request was in progress at {vm}");
    assert_verdict(&site, &during).await;
    assert_answered_percent(&during, 75);
    time::sleep(MAX_IDLE).await;
    let more = spawn_load(site.load_with_pool_paths(87, 60.0, 4, Duration::from_millis(100)));
    eventually(
        "the endpoint serves requests on new connections",
        async || {
            let runs = site.endpoints.runs();
            let mut runs = runs.iter().filter(|run| run.endpoint == vm);
            runs.any(|run| run.start > order_at_fault && run.completed)
        },
    )
    .await;
    let after = more.await.expect("load");
    assert_verdict(&site, &after).await;
    assert_answered_percent(&after, 95);
}

/// Guards against second runs of keyed requests whose claim was written on a connection that
/// stalled, and against a node that does not reach the store although new connections work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_store_connections_are_replaced() {
    let site = TestSite::start_with(SiteOptions {
        nodes: 2,
        endpoints: 6,
        proxied_platform: true,
        ..SiteOptions::default()
    })
    .await;
    let proxy = site.platform_proxy.as_ref().expect("proxy");
    let load = spawn_load(site.load_options(88, 60.0, Duration::from_secs(8)));
    let caller_addresses = site.caller_addresses();
    let mut outcomes_by_key = Vec::new();
    for round in 0..4 {
        let calls: Vec<_> = (0..6)
            .map(|number| {
                let key = format!("silence-{round}-{number}");
                let request = keyed_post(POOLS[number % 3], &key, Duration::from_millis(100));
                let caller_addresses = caller_addresses.clone();
                tokio::spawn(async move {
                    let mut outcomes = send_to_all(&caller_addresses, &request).await;
                    outcomes.extend(send_until_answered(&caller_addresses, &request, 10).await);
                    (key, outcomes)
                })
            })
            .collect();
        // The connections stall at times from before the claims are written until after the
        // requests ran.
        time::sleep(Duration::from_millis(round * 40)).await;
        assert!(proxy.open_connections() > 0);
        proxy.stall_open_connections();
        for call in calls {
            outcomes_by_key.push(call.await.expect("caller"));
        }
    }
    let during = load.await.expect("load");
    assert_verdict(&site, &during).await;
    assert_answered_percent(&during, 90);
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
    let after = run_load(&site.load_options(89, 60.0, Duration::from_secs(2))).await;
    assert_verdict(&site, &after).await;
    assert_answered_percent(&after, 95);
}

/// Starts a proxy in front of an endpoint and sets its address in the configuration.
async fn proxy_endpoint(site: &TestSite, vm: &str) -> StallingProxy {
    let endpoints = site.endpoints.endpoints();
    let mut endpoints = endpoints.iter().filter(|(name, _)| name == vm);
    let (_, address) = endpoints.next().expect("endpoint");
    let proxy = StallingProxy::bind(*address).await;
    let mut document = site.document(1);
    document["vms"][vm]["address"] = proxy.address().to_string().into();
    let page = site.get_admin(0, "/v1/config").await.expect("page");
    let expected_version = page["configured_version"].as_u64().expect("version");
    let response = site.put_config(0, expected_version, &document).await;
    assert!(response.status.is_success(), "{:?}", response.body);
    site.wait_for_version(version_of(&response)).await;
    proxy
}
