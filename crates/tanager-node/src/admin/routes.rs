//! Routing and authentication of requests.

use http::Method;
use http::StatusCode;
use http::header::AUTHORIZATION;

use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;

use super::AdminBackend;
use super::AdminSettings;
use super::access::AccessRole;
use super::access::find_role;
use super::changes;
use super::reads;
use super::reply::error_response;
use super::reply::json_response;
use super::reply::method_not_allowed_response;
use super::reply::unauthorized_response;

/// Settings and backend, shared by all routes.
pub(super) struct RouteContext {
    pub(super) settings: AdminSettings,
    pub(super) backend: AdminBackend,
}

/// Authenticates a request and passes it to its route.
pub(super) async fn handle(context: &RouteContext, request: &HttpRequest) -> HttpResponse {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    if let Some(response) = handle_unauthenticated(context, request, path) {
        return response;
    }
    let role = match authenticate(context, request) {
        Ok(role) => role,
        Err(problem) => return unauthorized_response(problem),
    };
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let allowed = match segments.as_slice() {
        ["v1", "config" | "snapshot"] => "GET, PUT",
        ["v1", "waves"] => "GET, POST",
        ["v1", "history" | "pools" | "vms" | "quotas" | "nodes"] | ["dump"] => "GET",
        ["v1", "vms", _, "move" | "drain" | "undrain"]
        | ["v1", "waves", _, "pause" | "resume" | "abort"] => "POST",
        _ => {
            let error = TanagerError::new(ErrorKind::NotFound, "route", "", "no such path");
            return error_response(&error);
        }
    };
    if !allowed
        .split(", ")
        .any(|method| method == request.method.as_str())
    {
        return method_not_allowed_response(allowed);
    }
    let result = if request.method == Method::GET {
        reads::handle(context, &segments, query).await
    } else {
        changes::handle(context, &role, &segments, request).await
    };
    result.unwrap_or_else(|error| error_response(&error))
}

/// Serves the paths that need no token; returns `None` for all other paths.
fn handle_unauthenticated(
    context: &RouteContext,
    request: &HttpRequest,
    path: &str,
) -> Option<HttpResponse> {
    if !matches!(path, "/live" | "/ready" | "/metrics") {
        return None;
    }
    if request.method != Method::GET {
        return Some(method_not_allowed_response("GET"));
    }
    let backend = &context.backend;
    Some(match path {
        "/metrics" => HttpResponse::with_content_type(
            StatusCode::OK,
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
            (backend.metrics)(),
        ),
        "/ready" => match (backend.ready)() {
            Ok(()) => json_response(&serde_json::json!({"ready": true})),
            Err(reason) => {
                error_response(&TanagerError::new(ErrorKind::NotReady, "ready", "", reason))
            }
        },
        _ => json_response(&serde_json::json!({"live": true})),
    })
}

fn authenticate(context: &RouteContext, request: &HttpRequest) -> Result<AccessRole, &'static str> {
    let values: Vec<_> = request.headers.get_all(AUTHORIZATION).iter().collect();
    let [value] = values.as_slice() else {
        return Err("one Authorization header is needed");
    };
    let token = value
        .to_str()
        .ok()
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim());
    let Some(token) = token else {
        return Err("the Authorization header must be Bearer TOKEN");
    };
    let state = (context.backend.state)();
    find_role(&context.settings.root_token, &state.document, token).ok_or("unknown token")
}
