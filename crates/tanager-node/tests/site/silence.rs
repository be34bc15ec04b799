//! Connections that go silent for good while new ones work.

use std::time::Duration;

use http::Method;
use tokio::time;

use tanager_http::HttpRequest;
use tanager_standin::load::run_load;

use crate::caller::ToldOutcome;
use crate::caller::assert_one_answer;
use crate::caller::assert_served;
use crate::caller::insert;
use crate::caller::keyed_post;
use crate::caller::runs_of;
use crate::caller::spawn_load;
use crate::caller::tell_all;
use crate::caller::tell_until_answered;
use crate::harness::POOLS;
use crate::harness::SiteOptions;
use crate::harness::TestSite;
use crate::harness::eventually;
use crate::harness::version_of;
use crate::nodes::assert_verdict;
use crate::proxy::SilentProxy;

/// Time for which an endpoint connection may be idle and still be reused.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Guards against foreign answers and second runs when a connection to an endpoint goes silent
/// within requests, and against an endpoint that never serves again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endpoint_connections_go_silent() {
    let site = TestSite::open(2, 6, 1).await;
    let vm = site.vms_of("alpha")[0].clone();
    let proxy = proxy_endpoint(&site, &vm).await;
    let mut options = site.named_load(86, 60.0, 8, Duration::from_millis(100));
    options.mix.timeout = Duration::from_secs(2);
    let load = spawn_load(options);
    time::sleep(Duration::from_secs(2)).await;
    let callers = site.callers();
    let calls: Vec<_> = (0..8)
        .map(|number| {
            let path = format!("/alpha/alpha/silenced-{number}");
            let mut request = HttpRequest::new(Method::GET, path, "");
            insert(&mut request, "x-work-ms", "1000");
            insert(&mut request, "tanager-timeout-ms", "2000");
            let callers = callers.clone();
            tokio::spawn(async move { tell_until_answered(&callers, &request, 8).await })
        })
        .collect();
    eventually("the endpoint runs some of the requests", async || {
        let runs = site.endpoints.runs();
        let mut runs = runs.iter().filter(|run| run.endpoint == vm);
        runs.any(|run| run.path.contains("/silenced-") && run.finish.is_none())
    })
    .await;
    assert!(proxy.open_connections() > 0);
    proxy.silence();
    let mark = site.endpoints.next_order();
    let mut retried = 0;
    for call in calls {
        let outcomes = call.await.expect("caller");
        let answered = outcomes.last().and_then(ToldOutcome::answer).is_some();
        assert!(answered, "{outcomes:?}");
        retried += usize::from(outcomes.len() > 1);
    }
    let during = load.await.expect("load");
    println!("{retried} requests were retried by their callers");
    let runs = site.endpoints.runs();
    let twice = (0..8).filter(|number| runs_of(&runs, &format!("silenced-{number}")) > 1);
    assert!(twice.count() > 0, "no request was in progress at {vm}");
    assert_verdict(&site, &during).await;
    assert_served(&during, 75);
    time::sleep(MAX_IDLE).await;
    let more = spawn_load(site.named_load(87, 60.0, 4, Duration::from_millis(100)));
    eventually("the endpoint serves on new connections", async || {
        let runs = site.endpoints.runs();
        let mut runs = runs.iter().filter(|run| run.endpoint == vm);
        runs.any(|run| run.start > mark && run.completed)
    })
    .await;
    let after = more.await.expect("load");
    assert_verdict(&site, &after).await;
    assert_served(&after, 95);
}

/// Guards against second runs of keyed work whose claim was written on a connection that goes
/// silent, and against a node that stays without the store although new connections work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_connections_go_silent() {
    let site = TestSite::open_with(SiteOptions {
        nodes: 2,
        endpoints: 6,
        proxied_platform: true,
        ..SiteOptions::default()
    })
    .await;
    let proxy = site.platform_proxy.as_ref().expect("proxy");
    let load = spawn_load(site.load(88, 60.0, Duration::from_secs(8)));
    let callers = site.callers();
    let mut told = Vec::new();
    for round in 0..4 {
        let calls: Vec<_> = (0..6)
            .map(|number| {
                let key = format!("silence-{round}-{number}");
                let request = keyed_post(POOLS[number % 3], &key, Duration::from_millis(100));
                let callers = callers.clone();
                tokio::spawn(async move {
                    let mut outcomes = tell_all(&callers, &request).await;
                    outcomes.extend(tell_until_answered(&callers, &request, 10).await);
                    (key, outcomes)
                })
            })
            .collect();
        // From before the claims are written until after the requests ran.
        time::sleep(Duration::from_millis(round * 40)).await;
        assert!(proxy.open_connections() > 0);
        proxy.silence();
        for call in calls {
            told.push(call.await.expect("caller"));
        }
    }
    let during = load.await.expect("load");
    assert_verdict(&site, &during).await;
    assert_served(&during, 90);
    let runs = site.endpoints.runs();
    for (key, outcomes) in &told {
        assert_eq!(runs_of(&runs, key), 1, "{key}: {outcomes:?}");
        let answered = outcomes.last().and_then(ToldOutcome::answer).is_some();
        assert!(answered, "{key}: {outcomes:?}");
        assert_one_answer(key, outcomes);
    }
    let after = run_load(&site.load(89, 60.0, Duration::from_secs(2))).await;
    assert_verdict(&site, &after).await;
    assert_served(&after, 95);
}

/// Puts a proxy in front of an endpoint: the configuration names its address.
async fn proxy_endpoint(site: &TestSite, vm: &str) -> SilentProxy {
    let endpoints = site.endpoints.endpoints();
    let mut endpoints = endpoints.iter().filter(|(name, _)| name == vm);
    let (_, address) = endpoints.next().expect("endpoint");
    let proxy = SilentProxy::bind(*address).await;
    let mut document = site.document(1);
    document["vms"][vm]["address"] = proxy.address().to_string().into();
    let page = site.get_admin(0, "/v1/config").await.expect("page");
    let expected = page["configured_version"].as_u64().expect("version");
    let response = site.put_config(0, expected, &document).await;
    assert!(response.status.is_success(), "{:?}", response.body);
    site.wait_version(version_of(&response)).await;
    proxy
}
