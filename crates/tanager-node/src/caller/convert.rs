//! Validates requests of callers and converts outcomes to responses.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;

use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_protocol::ids::is_valid_name;
use tanager_protocol::outcome::EndpointResponse;
use tanager_protocol::outcome::NotRunOutcome;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::outcome::OUTCOME_HEADER;
use tanager_protocol::outcome::REASON_HEADER;
use tanager_protocol::outcome::REQUEST_ID_HEADER;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::outcome::UnknownReason;
use tanager_protocol::peer::ForwardRequest;
use tanager_protocol::peer::Header;
use tanager_protocol::request::RequestPriority;

use crate::caller::CallerLimits;
use crate::endpoint::end_to_end_headers;

/// Header with the idempotency key, which makes a request safe to retry.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the team that sends the request.
pub const TEAM_HEADER: &str = "tanager-team";
/// Header with the priority of the request.
pub const PRIORITY_HEADER: &str = "tanager-priority";
/// Header with the timeout of the request in milliseconds.
pub const TIMEOUT_HEADER: &str = "tanager-timeout-ms";
/// Header with the number of slots that the request occupies.
pub const SLOTS_HEADER: &str = "tanager-slots";

/// Longest accepted idempotency key.
pub const MAX_KEY_BYTES: usize = 128;

/// Default `Retry-After` time of refusals with status 429 or 503, which always have this header.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Validates a caller's request and converts it to a message for its home.
///
/// # Errors
///
/// An outcome with status 400 or 413 that names the invalid part.
pub fn parse_request(
    request: HttpRequest,
    request_id: String,
    limits: CallerLimits,
) -> Result<ForwardRequest, NotRunOutcome> {
    if request.body.len() > limits.server.max_body {
        return Err(NotRunOutcome {
            reason: NotRunReason::BodyTooLarge,
            message: "the body exceeds the limit of this site".to_owned(),
            retry_after: None,
        });
    }
    let (pool, path) = split_path(&request.path)?;
    let priority = match single_header(&request.headers, PRIORITY_HEADER)? {
        None => RequestPriority::default(),
        Some(text) => RequestPriority::parse(text).ok_or_else(|| {
            bad_request(format!("{PRIORITY_HEADER} must be urgent, normal or batch"))
        })?,
    };
    let team = single_header(&request.headers, TEAM_HEADER)?.unwrap_or_default();
    if !team.is_empty() && !is_valid_name(team) {
        return Err(bad_request(format!("{TEAM_HEADER} is not a valid name")));
    }
    let timeout = match single_header(&request.headers, TIMEOUT_HEADER)? {
        None => millis(limits.default_timeout),
        Some(text) => parse_number(TIMEOUT_HEADER, text, millis(limits.max_timeout))?,
    };
    let slots = match single_header(&request.headers, SLOTS_HEADER)? {
        None => 0,
        Some(text) => parse_number(SLOTS_HEADER, text, u64::from(u32::MAX))?,
    };
    let key = single_header(&request.headers, KEY_HEADER)?;
    if let Some(key) = key {
        validate_key(key)?;
    }
    let key = key.unwrap_or_default().to_owned();
    let headers = end_to_end_headers(&request.headers)
        .filter(|(name, _)| *name != REQUEST_ID_HEADER)
        .map(|(name, value)| Header {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        });
    Ok(ForwardRequest {
        request_id,
        pool: pool.to_owned(),
        method: request.method.to_string(),
        path,
        headers: headers.collect(),
        priority: priority.as_str().to_owned(),
        team: team.to_owned(),
        timeout_ms: timeout,
        idempotency_key: key,
        slots: u32::try_from(slots).unwrap_or(u32::MAX),
        body: request.body.into(),
    })
}

/// Converts an outcome to the response to the caller.
pub fn response_from_outcome(outcome: RequestOutcome) -> HttpResponse {
    let (status, name, reason, message, retry_after) = match outcome {
        RequestOutcome::Answered(endpoint_response) => {
            return response_from_endpoint(endpoint_response).unwrap_or_else(|| {
                let reason = UnknownReason::BadAnswer;
                let message = "the endpoint's response has an invalid status or header";
                let response = text_response(status_code(reason.status()), "unknown", message);
                with_reason(response, reason.as_str())
            });
        }
        RequestOutcome::NotRun(outcome) => {
            let status = outcome.reason.status();
            let retry_after = outcome.retry_after;
            let retry_after = retry_after.or(matches!(status, 429 | 503).then_some(RETRY_AFTER));
            let reason = outcome.reason.as_str();
            (status, "not-run", reason, outcome.message, retry_after)
        }
        RequestOutcome::Unknown(outcome) => {
            let status = outcome.reason.status();
            let reason = outcome.reason.as_str();
            let retry_after = outcome.retry_after;
            (status, "unknown", reason, outcome.message, retry_after)
        }
    };
    let response = text_response(status_code(status), name, message);
    let mut response = with_reason(response, reason);
    if let Some(retry_after) = retry_after {
        let partial = u64::from(retry_after.subsec_nanos() > 0);
        let seconds = retry_after.as_secs().saturating_add(partial).max(1);
        response
            .headers
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Builds a plain text response with an outcome header.
pub(crate) fn text_response(
    status: StatusCode,
    outcome: &'static str,
    message: impl Into<String>,
) -> HttpResponse {
    let content_type = "text/plain; charset=utf-8";
    HttpResponse::with_content_type(status, content_type, message.into()).with_header(
        HeaderName::from_static(OUTCOME_HEADER),
        HeaderValue::from_static(outcome),
    )
}

fn with_reason(response: HttpResponse, reason: &'static str) -> HttpResponse {
    response.with_header(
        HeaderName::from_static(REASON_HEADER),
        HeaderValue::from_static(reason),
    )
}

fn response_from_endpoint(endpoint_response: EndpointResponse) -> Option<HttpResponse> {
    let status = StatusCode::from_u16(endpoint_response.status).ok()?;
    let mut response = HttpResponse::new(status, endpoint_response.body);
    for (name, value) in endpoint_response.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&value).ok()?;
        response.headers.append(name, value);
    }
    // An endpoint must not set this header: callers could take the response of a request that ran
    // for that of one that did not.
    response.headers.remove(REASON_HEADER);
    let outcome = HeaderValue::from_static("answered");
    response.headers.insert(OUTCOME_HEADER, outcome);
    Some(response)
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Splits `/{pool}/{path}` into the pool and the path for the endpoint.
fn split_path(target: &str) -> Result<(&str, String), NotRunOutcome> {
    let invalid = || bad_request("the path must be /{pool}/{path} with a valid pool name");
    let rest = target.strip_prefix('/').ok_or_else(invalid)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (pool, path) = rest.split_at(end);
    if !is_valid_name(pool) {
        return Err(invalid());
    }
    if path.starts_with('/') {
        return Ok((pool, path.to_owned()));
    }
    Ok((pool, format!("/{path}")))
}

fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, NotRunOutcome> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(format!("{name} is repeated")));
    }
    let text = value.to_str();
    let text = text.map_err(|_| bad_request(format!("{name} is not visible ASCII")))?;
    Ok(Some(text))
}

fn parse_number(name: &str, text: &str, max: u64) -> Result<u64, NotRunOutcome> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let number = text.parse().ok().filter(|_| digits);
    number
        .filter(|number| (1..=max).contains(number))
        .ok_or_else(|| bad_request(format!("{name} must be a whole number from 1 to {max}")))
}

fn validate_key(key: &str) -> Result<(), NotRunOutcome> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} characters");
        return Err(bad_request(message));
    }
    if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(bad_request(format!("{KEY_HEADER} is not visible ASCII")));
    }
    Ok(())
}

fn bad_request(message: impl Into<String>) -> NotRunOutcome {
    NotRunOutcome {
        reason: NotRunReason::BadRequest,
        message: message.into(),
        retry_after: None,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
