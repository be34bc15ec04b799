//! JSON responses and the mapping of errors to status codes.

use http::HeaderValue;
use http::StatusCode;
use http::header::ALLOW;
use http::header::RETRY_AFTER;
use http::header::WWW_AUTHENTICATE;
use serde::Serialize;
use serde_json::json;

use tanager_http::HttpResponse;
use tanager_http::server::RejectReason;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;

const JSON_TYPE: &str = "application/json";

/// Builds a 200 response.
pub(super) fn json_response(value: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => HttpResponse::with_content_type(StatusCode::OK, JSON_TYPE, body),
        Err(error) => error_response(&TanagerError::new(
            ErrorKind::Internal,
            "serialise",
            "",
            error,
        )),
    }
}

/// Builds the response to a failed request.
pub(super) fn error_response(error: &TanagerError) -> HttpResponse {
    let status = match error.kind {
        ErrorKind::Invalid => StatusCode::BAD_REQUEST,
        ErrorKind::Forbidden => StatusCode::FORBIDDEN,
        ErrorKind::NotFound => StatusCode::NOT_FOUND,
        ErrorKind::Conflict | ErrorKind::Refused => StatusCode::CONFLICT,
        ErrorKind::NotReady | ErrorKind::NotSent => StatusCode::SERVICE_UNAVAILABLE,
        ErrorKind::Timeout | ErrorKind::Unknown => StatusCode::GATEWAY_TIMEOUT,
        ErrorKind::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let message = match error.kind {
        ErrorKind::Timeout | ErrorKind::Unknown => format!(
            "{}; the change may have taken effect, read back before trying again",
            error.message
        ),
        _ => error.message.clone(),
    };
    let response = build_error(
        status,
        error.kind.as_str(),
        &message,
        error.step,
        &error.peer,
    );
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return response.with_header(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}

/// Builds the response to a request without a valid token.
pub(super) fn unauthorized_response(message: &str) -> HttpResponse {
    let status = StatusCode::UNAUTHORIZED;
    build_error(status, "unauthorized", message, "authenticate", "")
        .with_header(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"))
}

/// Builds the response to a method that the path does not support.
pub(super) fn method_not_allowed_response(allowed: &'static str) -> HttpResponse {
    let message = format!("this path supports {allowed}");
    let status = StatusCode::METHOD_NOT_ALLOWED;
    build_error(status, "method_not_allowed", &message, "route", "")
        .with_header(ALLOW, HeaderValue::from_static(allowed))
}

/// Builds the response to a request that was not read, or whose handler panicked.
pub(super) fn rejection_response(reason: RejectReason) -> HttpResponse {
    let (code, message) = match reason {
        RejectReason::BodyTooLarge => ("too_large", "the body exceeds 4 MiB"),
        RejectReason::BodyTimeout => ("body_timeout", "the body was not received in time"),
        RejectReason::BadBody => ("invalid", "the body is malformed"),
        RejectReason::HandlerPanicked => ("internal", "the request may have taken effect"),
    };
    let step = match reason {
        RejectReason::HandlerPanicked => "handle",
        _ => "read_body",
    };
    build_error(reason.status(), code, message, step, "")
}

fn build_error(
    status: StatusCode,
    code: &str,
    message: &str,
    step: &str,
    peer: &str,
) -> HttpResponse {
    let body = json!({"error": {"code": code, "message": message, "step": step, "peer": peer}});
    HttpResponse::with_content_type(status, JSON_TYPE, body.to_string())
}
