//! Responses to requests that are not carried out.

use std::time::Duration;

use crate::peers::CellResponse;

/// `Retry-After` in seconds while the store is unavailable.
pub(crate) const STORE_RETRY_S: u64 = 2;

/// Refuses a request because too much work waits; it should be sent again after this time.
pub(crate) fn overload_refusal(after: Duration, reason: &str) -> CellResponse {
    CellResponse::Refused {
        retry_after: after.as_secs_f64().ceil().max(1.0) as u64,
        overload: true,
        reason: reason.to_owned(),
        sender_wide: false,
    }
}

/// Refuses a request because the store is away.
pub(crate) fn store_refusal() -> CellResponse {
    CellResponse::Refused {
        retry_after: STORE_RETRY_S,
        overload: false,
        reason: "the store is away".to_owned(),
        sender_wide: false,
    }
}
