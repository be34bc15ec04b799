//! Routes that change the fleet.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_protocol::change::FleetChange;
use tanager_protocol::config::ConfigDocument;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmRecord;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::ids::PoolId;
use tanager_protocol::ids::WaveId;
use tanager_protocol::ids::is_valid_name;

use super::ChangeProposal;
use super::access::AccessRole;
use super::reply::json_response;
use super::routes::RouteContext;
use super::strict_json;

/// Longest accepted `Tanager-Operator` header and reason.
const MAX_TEXT_BYTES: usize = 200;

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct ConfigBody {
    expected: LogVersion,
    document: ConfigDocument,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct MoveBody {
    to: PoolId,
    expected: LogVersion,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct WaveBody {
    pool: PoolId,
    /// Name of the wave; generated from the pool and the next version if absent.
    wave: Option<WaveId>,
    expected: Option<LogVersion>,
}

#[derive(Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct ReasonBody {
    reason: Option<String>,
    expected: Option<LogVersion>,
}

#[derive(Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct ExpectedBody {
    expected: Option<LogVersion>,
}

/// Serves a PUT or POST request.
pub(super) async fn handle(
    context: &RouteContext,
    role: &AccessRole,
    segments: &[&str],
    request: &HttpRequest,
) -> TanagerResult<HttpResponse> {
    if request.path.contains('?') {
        return Err(invalid("parse_query", "this path takes no query"));
    }
    let author = author(role, request)?;
    let state = (context.backend.state)();
    if segments == ["v1", "snapshot"] {
        role.check_root("restoring a snapshot")?;
        let snapshot: FleetState = parse_body(request)?;
        let check = snapshot.document.validate();
        check.map_err(|problem| invalid("validate", &problem))?;
        (context.backend.restore)(snapshot).await?;
        return Ok(json_response(&json!({"restored": true})));
    }
    let (change, expected_version) = build_change(role, &state, segments, request)?;
    if let Some(expected_version) = expected_version.filter(|version| *version > state.version) {
        return Err(TanagerError::new(
            ErrorKind::Conflict,
            "check_version",
            "",
            format!(
                "version {expected_version} is not known to this node, which is at {}",
                state.version
            ),
        ));
    }
    let kind = change.kind();
    let proposal = ChangeProposal {
        author,
        change,
        expected_version,
    };
    // Spawned, so that a proposal in progress completes even if the client disconnects.
    let task = tokio::spawn((context.backend.propose)(proposal));
    let entry = task.await.map_err(|_| {
        let message = "the proposal ended without a result";
        TanagerError::new(ErrorKind::Unknown, "propose", "", message)
    })??;
    Ok(json_response(&json!({
        "version": entry.version,
        "author": entry.author,
        "kind": kind,
    })))
}

fn build_change(
    role: &AccessRole,
    state: &FleetState,
    segments: &[&str],
    request: &HttpRequest,
) -> TanagerResult<(FleetChange, Option<LogVersion>)> {
    match *segments {
        ["v1", "config"] => {
            let body: ConfigBody = parse_body(request)?;
            let check = body.document.validate();
            check.map_err(|problem| invalid("validate", &problem))?;
            role.check_document(state, &body.document)?;
            let document = body.document;
            Ok((FleetChange::Configure { document }, Some(body.expected)))
        }
        ["v1", "vms", vm, "move"] => {
            let body: MoveBody = parse_body(request)?;
            let record = find_vm(state, vm)?;
            role.check_pool(&state.document, &record.pool)?;
            find_pool(state, &body.to)?;
            role.check_pool(&state.document, &body.to)?;
            let (vm, to) = (vm.to_owned(), body.to);
            Ok((FleetChange::StartMove { vm, to }, Some(body.expected)))
        }
        ["v1", "vms", vm, "drain"] => {
            let body: ReasonBody = parse_optional_body(request)?;
            role.check_pool(&state.document, &find_vm(state, vm)?.pool)?;
            let vm = vm.to_owned();
            let reason = validate_reason(body.reason, "drained by an operator")?;
            Ok((FleetChange::StartDrain { vm, reason }, body.expected))
        }
        ["v1", "vms", vm, "undrain"] => {
            let body: ExpectedBody = parse_optional_body(request)?;
            role.check_pool(&state.document, &find_vm(state, vm)?.pool)?;
            let vm = vm.to_owned();
            Ok((FleetChange::EndDrain { vm }, body.expected))
        }
        ["v1", "waves"] => {
            let body: WaveBody = parse_body(request)?;
            find_pool(state, &body.pool)?;
            role.check_pool(&state.document, &body.pool)?;
            let pool = body.pool;
            let wave = body
                .wave
                .unwrap_or_else(|| format!("{pool:.40}-{}", state.version + 1));
            if !is_valid_name(&wave) {
                let message = "wave: a name is 1 to 64 of a-z, 0-9, '-', '_', '.'";
                return Err(invalid("validate", message));
            }
            Ok((FleetChange::StartWave { wave, pool }, body.expected))
        }
        ["v1", "waves", wave, "pause"] => {
            let body: ReasonBody = parse_optional_body(request)?;
            check_wave(role, state, wave)?;
            let wave = wave.to_owned();
            let reason = validate_reason(body.reason, "paused by an operator")?;
            Ok((FleetChange::PauseWave { wave, reason }, body.expected))
        }
        ["v1", "waves", wave, "resume"] => {
            let body: ExpectedBody = parse_optional_body(request)?;
            check_wave(role, state, wave)?;
            let wave = wave.to_owned();
            Ok((FleetChange::ResumeWave { wave }, body.expected))
        }
        ["v1", "waves", wave, "abort"] => {
            let body: ExpectedBody = parse_optional_body(request)?;
            check_wave(role, state, wave)?;
            let wave = wave.to_owned();
            Ok((FleetChange::AbortWave { wave }, body.expected))
        }
        _ => Err(not_found("no such path".to_owned())),
    }
}

/// Returns the author of a change: the role, followed by the `Tanager-Operator` header if given.
fn author(role: &AccessRole, request: &HttpRequest) -> TanagerResult<String> {
    if !request.headers.contains_key("tanager-operator") {
        return Ok(role.name().to_owned());
    }
    let operator = request.header("tanager-operator").unwrap_or_default();
    let is_valid = operator.bytes().all(|byte| byte.is_ascii_graphic());
    if operator.is_empty() || operator.len() > MAX_TEXT_BYTES || !is_valid {
        let message = "Tanager-Operator must be 1 to 200 plain ASCII characters without spaces";
        return Err(invalid("parse_header", message));
    }
    Ok(format!("{}/{operator}", role.name()))
}

fn validate_reason(reason: Option<String>, default: &str) -> TanagerResult<String> {
    let reason = reason.unwrap_or_else(|| default.to_owned());
    if reason.is_empty() || reason.len() > MAX_TEXT_BYTES || reason.contains(char::is_control) {
        let message = "reason must be 1 to 200 bytes without control characters";
        return Err(invalid("validate", message));
    }
    Ok(reason)
}

fn check_wave(role: &AccessRole, state: &FleetState, wave: &str) -> TanagerResult<()> {
    let Some(record) = state.waves.get(wave) else {
        return Err(not_found(format!("wave {wave:?} does not exist")));
    };
    role.check_pool(&state.document, &record.pool)
}

fn find_vm<'a>(state: &'a FleetState, vm: &str) -> TanagerResult<&'a VmRecord> {
    let record = state.vms.get(vm);
    record.ok_or_else(|| not_found(format!("VM {vm:?} does not exist")))
}

fn find_pool(state: &FleetState, pool: &str) -> TanagerResult<()> {
    if state.document.pools.contains_key(pool) {
        return Ok(());
    }
    Err(not_found(format!("pool {pool:?} does not exist")))
}

fn parse_body<T: DeserializeOwned + Serialize>(request: &HttpRequest) -> TanagerResult<T> {
    strict_json::parse(&request.body).map_err(|problem| invalid("parse_body", &problem))
}

fn parse_optional_body<T>(request: &HttpRequest) -> TanagerResult<T>
where
    T: Default + DeserializeOwned + Serialize,
{
    if request.body.is_empty() {
        return Ok(T::default());
    }
    parse_body(request)
}

fn invalid(step: &'static str, message: &str) -> TanagerError {
    TanagerError::new(ErrorKind::Invalid, step, "", message)
}

fn not_found(message: String) -> TanagerError {
    TanagerError::new(ErrorKind::NotFound, "find", "", message)
}
