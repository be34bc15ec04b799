//! Tests of the load generator against endpoint stand-ins, verified with the endpoints' record.

use std::collections::BTreeSet;
use std::time::Duration;

use http::HeaderValue;
use http::Method;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::pool::PoolLimits;
use tanager_standin::EndpointOptions;
use tanager_standin::EndpointStandin;
use tanager_standin::endpoint::EndpointFaults;
use tanager_standin::load::LoadOptions;
use tanager_standin::load::read_record;
use tanager_standin::load::run_load;
use tanager_standin::plan::MixOptions;
use tanager_standin::plan::plan_requests;
use tanager_standin::report::LoadReport;
use tanager_standin::verification::CallerOutcome;
use tanager_standin::verification::CallerRecord;
use tanager_standin::verification::Verdict;
use tanager_standin::verification::verify_runs;

const ENDPOINT_COUNT: usize = 4;

async fn run_with_faults(faults: EndpointFaults) -> (LoadReport, Verdict) {
    let options = EndpointOptions {
        count: ENDPOINT_COUNT,
        ..EndpointOptions::default()
    };
    let endpoint = EndpointStandin::bind(&options).unwrap();
    let mut targets = Vec::new();
    for (name, address) in endpoint.endpoints() {
        endpoint.set_faults(&name, faults.clone()).await.unwrap();
        targets.push(address);
    }
    let options = LoadOptions {
        targets,
        direct: true,
        retry: false,
        mix: MixOptions {
            seed: 42,
            rate: 400.0,
            duration: Duration::from_secs(1),
            service_time: Duration::from_millis(2),
            ..MixOptions::default()
        },
    };
    let report = run_load(&options).await;
    let runs = read_record(endpoint.control(), &report.records)
        .await
        .unwrap();
    let verdict = verify_runs(&report.records, &runs);
    (report, verdict)
}

/// Guards against a load generator that does not recognise its own responses.
#[tokio::test]
async fn healthy_endpoints_pass() {
    let (report, verdict) = run_with_faults(EndpointFaults::default()).await;
    assert!(verdict.passed(), "{verdict}");
    let (answered, total) = (report.count("answered"), report.records.len() as u64);
    let others = report.count("cancelled") + report.count("rejected");
    assert_eq!(answered + others, total, "{report}");
    assert!(answered > 0 && verdict.runs as u64 >= answered);
    // Guards against truncated latencies: service times reach 3.6 ms.
    assert_eq!(report.latencies.len(), 3);
    for histogram in report.latencies.values() {
        assert!(histogram.max() >= 2_000, "{report}");
    }
}

/// Guards against a load generator that accepts the response to another request.
#[tokio::test]
async fn crossed_responses_fail() {
    let faults = EndpointFaults {
        crossed: true,
        ..EndpointFaults::default()
    };
    let (report, verdict) = run_with_faults(faults).await;
    assert!(!verdict.passed());
    assert_eq!(
        verdict.foreign_answers.len() as u64,
        report.count("foreign")
    );
}

/// Guards against an incomplete response that is accepted as complete. Responses to HEAD have no
/// body, so only a truncated head is detected.
#[tokio::test]
async fn truncated_responses_are_not_answered() {
    let faults = EndpointFaults {
        truncate: true,
        ..EndpointFaults::default()
    };
    let (report, verdict) = run_with_faults(faults).await;
    assert!(verdict.passed(), "{verdict}");
    assert_eq!(report.count("answered"), 0, "{report}");
    assert!(report.count("transport:unknown") > 0, "{report}");
}

/// Guards against a plan that is not reproducible, and against a mix that lacks a kind of request.
#[test]
fn plan_is_reproducible_and_covers_the_mix() {
    let options = MixOptions {
        seed: 9,
        pools: vec!["a".to_owned(), "b".to_owned()],
        ..MixOptions::default()
    };
    let plan = plan_requests(&options);
    let plan_text = format!("{plan:?}");
    assert_eq!(plan_text, format!("{:?}", plan_requests(&options)));
    let other_seed = MixOptions {
        seed: 10,
        ..options
    };
    assert_ne!(plan_text, format!("{:?}", plan_requests(&other_seed)));
    let ids: BTreeSet<&str> = plan.iter().map(|request| &*request.id).collect();
    assert_eq!(ids.len(), plan.len());
    assert!((1_800..2_200).contains(&plan.len()), "{}", plan.len());
    let methods: BTreeSet<&str> = plan.iter().map(|request| request.method.as_str()).collect();
    assert_eq!(methods.len(), 7);
    let has_any =
        |check: fn(&tanager_standin::plan::PlannedRequest) -> bool| plan.iter().any(check);
    assert!(has_any(|request| !request.key.is_empty()));
    assert!(has_any(|request| request.cancel_after.is_some()));
    assert!(has_any(|request| request.response_size == Some(0)));
    assert!(has_any(|request| request.body.len() == 500_000));
    assert!(has_any(
        |request| request.method == "POST" && request.body.is_empty()
    ));
}

/// Guards against a verification that waits forever for other traffic, such as the checks of a
/// load balancer.
#[tokio::test]
async fn other_traffic_does_not_delay_the_verdict() {
    let endpoint = EndpointStandin::bind(&EndpointOptions::default()).unwrap();
    let address = endpoint.endpoints()[0].1;
    let send = |path: &'static str, work: &'static str| async move {
        let mut request = HttpRequest::new(Method::POST, path, "");
        let work = HeaderValue::from_static(work);
        request.headers.insert("x-work-ms", work);
        let pool = ClientPool::new(address, PoolLimits::default());
        pool.exchange(&request, Duration::from_secs(600)).await
    };
    send("/load/a", "1").await.unwrap();
    let other_request = tokio::spawn(send("/load/other", "600000"));
    while endpoint.runs().len() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let record = CallerRecord {
        id: "a".to_owned(),
        key: String::new(),
        method: "POST".to_owned(),
        outcomes: vec![CallerOutcome::Answered { own: true }],
    };
    let runs = read_record(endpoint.control(), &[record]).await.unwrap();
    assert_eq!(runs.len(), 1);
    other_request.abort();
}
