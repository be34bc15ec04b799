//! Senders of requests and their jobs. Each test names the failure that it guards against.
//!
//! The configurations are in the platform's format and pass through the view, as in a node.

use std::time::Duration;

use serde_json::json;
use tanager_jobs::ids::WorkspaceName;
use tanager_service::authentication::CallRejection;
use tanager_service::authentication::Caller;
use tanager_service::authentication::JobAccess;
use tanager_service::authentication::JobOwnership;
use tanager_service::authentication::authenticate;
use tanager_service::authentication::may_access;
use tanager_service::config_reads::ConfigReads;
use tanager_service::descriptions::WorkspaceLoad;
use tanager_service::metrics::NodeMetrics;
use tanager_service::peers::CellOperation;
use tanager_service::peers::CellRequest;
use tanager_service::view::FleetView;
use tanager_service::workspace_metrics::MAX_NAMED_WORKSPACES;
use tanager_site::fleet::decode_config;

use CallRejection::UnknownKey;
use CallRejection::UnverifiedConfig;
use JobAccess::Change;
use JobAccess::Read;
use JobAccess::Submit;

const PRIVATE: &str = "private.example/jobs/";
const PUBLIC: &str = "public.example/jobs/";
/// Limit of the strict mode in the platform's settings (`revoke_ms`).
const LIMIT: Duration = Duration::from_millis(5_000);
/// Time within which another node must refuse a withdrawn key (`configuration_apply_ms`).
const APPLY_LIMIT: Duration = Duration::from_millis(2_000);

/// Returns a configuration whose tenants have the given keys.
fn document(version: u64, tenants: Option<&[(&str, &[&str])]>) -> String {
    let tenants = tenants.map(|tenants| {
        (tenants.iter())
            .map(|(name, keys)| json!({"name": name, "api_keys": keys, "weight": 1.0}))
            .collect::<Vec<_>>()
    });
    let route = |host: &str, public: bool| json!({"host": host, "path_prefix": "/jobs/", "service": "pool", "public": public});
    let mut document = json!({
        "version": version,
        "routes": [route("private.example", false), route("public.example", true)],
        "services": [{"name": "pool"}],
    });
    if let Some(tenants) = tenants {
        document["tenants"] = json!(tenants);
    }
    document.to_string()
}

fn apply(view: &mut FleetView, document: &str) {
    view.apply_config(decode_config(document.as_bytes()).expect("a configuration"));
}

/// Returns the view of a node that has read these configurations one after the other.
fn view(documents: &[String]) -> FleetView {
    let mut view = FleetView::default();
    for document in documents {
        apply(&mut view, document);
    }
    view
}

fn decide(
    view: &FleetView,
    queue: &str,
    key: Option<&str>,
    age: Option<Duration>,
    limit: Option<Duration>,
) -> Result<Caller, CallRejection> {
    let config = view.config.clone().expect("a configuration");
    let queue = config.queue(queue).expect("a queue");
    authenticate(&config, queue, key, age, limit)
}

fn workspace(name: &str) -> Caller {
    Caller::Workspace(name.to_owned())
}

/// Three versions: `b` gets a key, `a` loses one, and a key moves from `a` to `b`.
fn versions() -> Vec<String> {
    let first: &[(&str, &[&str])] = &[("a", &["ka", "withdrawn", "moved"]), ("b", &["kb"])];
    let second: &[(&str, &[&str])] = &[("a", &["ka"]), ("b", &["kb", "added", "moved"])];
    vec![document(1, Some(first)), document(2, Some(second))]
}

macro_rules! decision_cases {
    ($($case:ident: $documents:expr, $queue:expr, $key:expr => $expected:expr;)*) => {
        $(#[test]
        fn $case() {
            let view = view(&$documents);
            let age = Some(Duration::from_millis(300));
            assert_eq!(decide(&view, $queue, $key, age, None), $expected);
        })*
    };
}

// Guard against a key that opens the wrong workspace, or none, or that has an effect too long.
decision_cases! {
    known_key: versions(), PRIVATE, Some("ka") => Ok(workspace("a"));
    unknown_key: versions(), PRIVATE, Some("kx") => Err(UnknownKey);
    missing_key: versions(), PRIVATE, None => Err(UnknownKey);
    empty_key: versions(), PRIVATE, Some("") => Err(UnknownKey);
    name_is_no_key: versions(), PRIVATE, Some("a") => Err(UnknownKey);
    key_in_other_case: versions(), PRIVATE, Some("KA") => Err(UnknownKey);
    key_before_its_withdrawal: versions()[..1], PRIVATE, Some("withdrawn") => Ok(workspace("a"));
    withdrawn_key: versions(), PRIVATE, Some("withdrawn") => Err(UnknownKey);
    key_before_it_is_added: versions()[..1], PRIVATE, Some("added") => Err(UnknownKey);
    added_key: versions(), PRIVATE, Some("added") => Ok(workspace("b"));
    key_before_it_moves: versions()[..1], PRIVATE, Some("moved") => Ok(workspace("a"));
    moved_key: versions(), PRIVATE, Some("moved") => Ok(workspace("b"));
    older_version_arrives_late: [versions(), versions()].concat()[..3], PRIVATE, Some("withdrawn")
        => Err(UnknownKey);
    restart_reads_only_the_newest_version: versions()[1..], PRIVATE, Some("withdrawn")
        => Err(UnknownKey);
    public_route_without_key: versions(), PUBLIC, None => Ok(Caller::Open);
    public_route_with_unknown_key: versions(), PUBLIC, Some("kx") => Ok(Caller::Open);
    public_route_with_known_key: versions(), PUBLIC, Some("ka") => Ok(Caller::Open);
    no_workspaces_without_key: [document(1, None)], PRIVATE, None => Ok(Caller::Open);
    no_workspaces_with_key: [document(1, None)], PRIVATE, Some("kx") => Ok(Caller::Open);
    empty_list_of_workspaces: [document(1, Some(&[]))], PRIVATE, Some("kx") => Err(UnknownKey);
}

macro_rules! strict_cases {
    ($($case:ident: $queue:expr, $key:expr, $age:expr => $expected:expr;)*) => {
        $(#[test]
        fn $case() {
            let age: Option<u64> = $age;
            let age = age.map(Duration::from_millis);
            let result = decide(&view(&versions()), $queue, $key, age, Some(LIMIT));
            assert_eq!(result, $expected);
        })*
    };
}

// Guard against a node in strict mode that accepts keys for too long, or refuses them too early.
strict_cases! {
    strict_at_the_limit: PRIVATE, Some("ka"), Some(5_000) => Ok(workspace("a"));
    strict_beyond_the_limit: PRIVATE, Some("ka"), Some(5_001) => Err(UnverifiedConfig);
    strict_before_the_first_read: PRIVATE, Some("ka"), None => Err(UnverifiedConfig);
    strict_unknown_key_beyond_the_limit: PRIVATE, Some("kx"), Some(5_001) => Err(UnverifiedConfig);
    strict_missing_key_beyond_the_limit: PRIVATE, None, Some(5_001) => Err(UnknownKey);
    strict_public_route_beyond_the_limit: PUBLIC, Some("ka"), Some(5_001) => Ok(Caller::Open);
}

/// Guards against a node outside of strict mode that refuses keys while the store is unavailable.
#[test]
fn keys_stay_valid_without_strict_mode() {
    let day = Some(Duration::from_secs(86_400));
    let result = decide(&view(&versions()), PRIVATE, Some("ka"), day, None);
    assert_eq!(result, Ok(workspace("a")));
}

/// Guards against strict mode that has an effect in a deployment without workspaces.
#[test]
fn strict_mode_needs_workspaces() {
    let view = view(&[document(1, None)]);
    let result = decide(&view, PRIVATE, None, None, Some(LIMIT));
    assert_eq!(result, Ok(Caller::Open));
}

/// Guards against an age that is counted from the end of a read: a version may have been stored
/// after the store answered.
#[test]
fn verification_counts_from_the_start_of_a_successful_read() {
    let reads = ConfigReads::default();
    let at = Duration::from_millis;
    assert_eq!(reads.verified_age(at(900)), None);
    reads.record(at(1_000), true);
    reads.record(at(1_500), false);
    assert_eq!(reads.verified_age(at(6_000)), Some(at(5_000)));
}

/// Guards against a process that was suspended and accepts keys that were withdrawn meanwhile, and
/// against requests that wait for a read although reads only fail.
#[test]
fn suspension_is_told_from_failing_reads() {
    let reads = ConfigReads::default();
    let at = Duration::from_millis;
    reads.record(at(1_000), true);
    assert!(!reads.is_stalled(at(1_600)));
    assert!(reads.is_stalled(at(1_000) + APPLY_LIMIT));
    reads.record(at(3_000), false);
    assert!(!reads.is_stalled(at(3_500)));
}

fn job(queue: &str, workspace: Option<&str>) -> JobOwnership {
    JobOwnership {
        queue: queue.to_owned(),
        workspace: workspace.map(str::to_owned),
    }
}

macro_rules! access_cases {
    ($($case:ident: $caller:expr, $queue:expr, $job:expr => $allowed:expr;)*) => {
        $(#[test]
        fn $case() {
            let allowed: &[JobAccess] = &$allowed;
            for access in [Read, Change, Submit] {
                let result = may_access(&$caller, access, $queue, &$job);
                assert_eq!(result, allowed.contains(&access), "{access:?}");
            }
        })*
    };
}

// Guard against access to a job of another workspace, and against a workspace that cannot use its
// own jobs.
access_cases! {
    own_job: workspace("a"), PRIVATE, job(PRIVATE, Some("a")) => [Read, Change, Submit];
    own_job_of_another_queue: workspace("a"), "other/", job(PRIVATE, Some("a"))
        => [Read, Change, Submit];
    job_of_another_workspace: workspace("b"), PRIVATE, job(PRIVATE, Some("a")) => [];
    job_of_a_queue_that_is_public_now: Caller::Open, PRIVATE, job(PRIVATE, Some("a")) => [Read];
    job_of_a_private_queue_by_a_public_one: Caller::Open, PUBLIC, job(PRIVATE, Some("a")) => [];
    public_job: Caller::Open, PUBLIC, job(PUBLIC, None) => [Read, Change, Submit];
    public_job_by_a_workspace: workspace("a"), PRIVATE, job(PUBLIC, None) => [Read, Change];
    job_from_before_the_workspaces: workspace("a"), PRIVATE, job(PRIVATE, None)
        => [Read, Change, Submit];
    operator: Caller::Operator(None), "", job(PRIVATE, Some("a")) => [Read, Change, Submit];
    operator_for_another_workspace: Caller::Operator(Some("b".to_owned())), PRIVATE,
        job(PRIVATE, Some("a")) => [Read, Change, Submit];
}

fn request(workspace: Option<&str>, is_operator: bool) -> CellRequest {
    CellRequest {
        home: None,
        cell: "pool/0".to_owned(),
        queue: PRIVATE.to_owned(),
        workspace: workspace.map(WorkspaceName::from),
        is_operator,
        operation: CellOperation::Waiting,
    }
}

/// Guards against messages of deployments without workspaces that nodes of the former version
/// reject, because they have unknown fields.
#[test]
fn messages_without_workspaces_are_unchanged() {
    let text = serde_json::to_string(&request(None, false)).expect("a message");
    let expected = format!(r#"{{"cell":"pool/0","queue":"{PRIVATE}","ask":"waiting"}}"#);
    assert_eq!(text, expected);
    let decoded: CellRequest = serde_json::from_str(&expected).expect("a request");
    assert_eq!(decoded.caller(), Caller::Open);
}

/// Guards against a sender that the owner of a cell takes for another one.
#[test]
fn messages_name_their_sender() {
    for (request, caller) in [
        (request(Some("a"), false), workspace("a")),
        (request(None, true), Caller::Operator(None)),
        (
            request(Some("a"), true),
            Caller::Operator(Some("a".to_owned())),
        ),
    ] {
        let text = serde_json::to_string(&request).expect("a message");
        let decoded: CellRequest = serde_json::from_str(&text).expect("a request");
        assert_eq!(decoded.caller(), caller);
    }
}

/// Guards against keys in clear in a dump of the configuration, and in the log line about a
/// configuration that cannot be decoded.
#[test]
fn no_key_is_shown() {
    const KEY: &str = "very-secret-key";
    let tenants: &[(&str, &[&str])] = &[("a", &[KEY])];
    let config = decode_config(document(1, Some(tenants)).as_bytes()).expect("a configuration");
    assert!(!format!("{config:?}").contains(KEY));
    let malformed = [
        json!([{"name": "a", "api_keys": KEY}]),
        json!([{"name": "a", "api_keys": [[KEY]]}]),
        json!([{"name": "a", "api_keys": {KEY: 1}}]),
        json!([{"name": "a", "api_keys": [], "weight": KEY}]),
        json!([{"api_keys": [KEY]}]),
        json!([KEY]),
        json!(KEY),
        json!([{"name": "a", "api_keys": format!("{KEY}, expected {KEY}")}]),
    ];
    for tenants in malformed {
        let mut config = json!({"version": 2, "routes": [], "services": []});
        config["tenants"] = tenants.clone();
        let error = decode_config(config.to_string().as_bytes()).expect_err("malformed");
        assert!(!error.contains(KEY), "{error}");
        assert!(!error.is_empty());
    }
    let numbers = json!({"version": 2, "routes": [], "services": [],
                         "tenants": [{"name": "a", "api_keys": [73_519_246]}]});
    let error = decode_config(numbers.to_string().as_bytes()).expect_err("malformed");
    assert!(!error.contains("73519246"), "{error}");
}

/// Guards against a time series for each of any number of workspaces, and against lost counts.
#[test]
fn metrics_are_bounded() {
    let metrics = NodeMetrics::default();
    for number in 0..MAX_NAMED_WORKSPACES + 10 {
        metrics.workspaces.record_accepted(&format!("w-{number}"));
        metrics.workspaces.record_refused(&format!("w-{number}"));
    }
    let text = metrics.render();
    let is_accepted = |line: &&str| line.starts_with("tanager_workspace_jobs_accepted_total{");
    assert_eq!(text.lines().filter(is_accepted).count(), 33, "{text}");
    for name in ["accepted", "refused"] {
        let combined = format!("tanager_workspace_jobs_{name}_total{{workspace=\"(others)\"}} 10");
        assert!(text.contains(&combined), "{text}");
    }
}

/// Guards against metrics of workspaces in a deployment that has none.
#[test]
fn no_metrics_without_workspaces() {
    let text = NodeMetrics::default().render();
    assert!(!text.contains("workspace=\""), "{text}");
}

/// Guards against a sum over cells that loses a part.
#[test]
fn loads_of_cells_are_added() {
    let load = |waiting, limit| WorkspaceLoad {
        waiting,
        refused: 1,
        limit,
        ..WorkspaceLoad::default()
    };
    let amount = tanager_jobs::ResourceAmount {
        cpu: 500,
        memory_mb: 10,
        gpu: 0,
    };
    let mut sum = WorkspaceLoad::default();
    for part in [load(2, None), load(3, Some(amount)), load(1, Some(amount))] {
        sum.add(&part);
    }
    assert_eq!(
        sum,
        WorkspaceLoad {
            refused: 3,
            ..load(6, Some(amount.plus(&amount)))
        }
    );
}
