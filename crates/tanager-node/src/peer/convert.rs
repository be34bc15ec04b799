//! Conversions between outcomes and messages of the peer protocol.

use std::time::Duration;

use tanager_protocol::outcome::EndpointResponse;
use tanager_protocol::outcome::NotRunOutcome;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::outcome::UnknownOutcome;
use tanager_protocol::outcome::UnknownReason;
use tanager_protocol::peer::Answered;
use tanager_protocol::peer::ForwardReply;
use tanager_protocol::peer::Header;
use tanager_protocol::peer::NotRun;
use tanager_protocol::peer::Unknown;
use tanager_protocol::peer::forward_reply::Outcome;

/// Converts an outcome to a reply message.
pub fn reply_from_outcome(outcome: RequestOutcome) -> ForwardReply {
    let outcome = match outcome {
        RequestOutcome::Answered(response) => Outcome::Answered(Answered {
            status: u32::from(response.status),
            headers: headers_from_pairs(response.headers),
            body: response.body,
        }),
        RequestOutcome::NotRun(outcome) => Outcome::NotRun(NotRun {
            reason: outcome.reason.as_str().to_owned(),
            message: outcome.message,
            retry_after_ms: millis_from_retry(outcome.retry_after),
        }),
        RequestOutcome::Unknown(outcome) => Outcome::Unknown(Unknown {
            reason: outcome.reason.as_str().to_owned(),
            message: outcome.message,
            retry_after_ms: millis_from_retry(outcome.retry_after),
        }),
    };
    ForwardReply {
        outcome: Some(outcome),
    }
}

/// Converts a reply message to an outcome; `None` if the message has no valid outcome.
///
/// An unrecognized reason, as sent by a newer version, still maps to its class: not run or unknown.
pub fn outcome_from_reply(reply: ForwardReply) -> Option<RequestOutcome> {
    let outcome = match reply.outcome? {
        Outcome::Answered(answered) => RequestOutcome::Answered(EndpointResponse {
            status: u16::try_from(answered.status)
                .ok()
                .filter(|status| (200..1_000).contains(status))?,
            headers: pairs_from_headers(answered.headers),
            body: answered.body,
        }),
        Outcome::NotRun(not_run) => RequestOutcome::NotRun(NotRunOutcome {
            reason: NotRunReason::parse(&not_run.reason).unwrap_or(NotRunReason::NotReady),
            message: not_run.message,
            retry_after: retry_from_millis(not_run.retry_after_ms),
        }),
        Outcome::Unknown(unknown) => RequestOutcome::Unknown(UnknownOutcome {
            reason: UnknownReason::parse(&unknown.reason).unwrap_or(UnknownReason::HomeLost),
            message: unknown.message,
            retry_after: retry_from_millis(unknown.retry_after_ms),
        }),
    };
    Some(outcome)
}

/// Converts header pairs to messages.
pub fn headers_from_pairs(pairs: Vec<(String, Vec<u8>)>) -> Vec<Header> {
    pairs
        .into_iter()
        .map(|(name, value)| Header { name, value })
        .collect()
}

/// Converts header messages to pairs.
pub fn pairs_from_headers(headers: Vec<Header>) -> Vec<(String, Vec<u8>)> {
    headers
        .into_iter()
        .map(|header| (header.name, header.value))
        .collect()
}

/// Converts a `Retry-After` time to milliseconds. 0 means that a retry is not safe or cannot
/// succeed, so a time below 1 ms is rounded up.
fn millis_from_retry(retry_after: Option<Duration>) -> u64 {
    retry_after.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1)
    })
}

fn retry_from_millis(millis: u64) -> Option<Duration> {
    (millis > 0).then(|| Duration::from_millis(millis))
}
