//! Fingerprints that distinguish different requests with the same idempotency key.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use tanager_protocol::outcome::NotRunOutcome;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::peer::ForwardRequest;

/// Base64 SHA-256 of a request's method, path with query, team and body. A faster hash without
/// collision resistance would let a caller construct a request that receives the response of
/// another one.
#[derive(Clone, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(String);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(request: &ForwardRequest) -> Self {
        let mut digest = Sha256::new();
        // Length prefixes keep adjacent parts distinct.
        for part in [&request.method, &request.path, &request.team] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        digest.update(&request.body);
        Self(STANDARD_NO_PAD.encode(digest.finalize()))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Returns the refusal of a request whose key was used for a different request.
pub(crate) fn key_reused_outcome() -> NotRunOutcome {
    NotRunOutcome {
        reason: NotRunReason::BadRequest,
        message: "this Idempotency-Key was used for a different request".to_owned(),
        retry_after: None,
    }
}
