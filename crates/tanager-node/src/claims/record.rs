//! Rows of claims in the table service.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;

use tanager_protocol::ids::Incarnation;
use tanager_protocol::ids::NodeId;
use tanager_protocol::outcome::EndpointResponse;

use crate::claims::fingerprint::RequestFingerprint;

/// Largest recorded body, in bytes. A retry of a request with a larger response gets no recorded
/// response.
pub const MAX_RECORDED_BODY_BYTES: usize = 16 << 10;
/// Largest recorded headers, in bytes.
pub const MAX_RECORDED_HEADER_BYTES: usize = 16 << 10;

/// State of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may have been sent.
    Started,
    /// The request was answered.
    Done,
}

/// Value of the row `claim/{pool}/{key}`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRow {
    /// Distinguishes the claim from all others.
    pub token: String,
    /// Node that wrote the claim.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// State.
    pub state: ClaimState,
    /// Status of the response; `null` when no response is recorded.
    pub status: Option<u16>,
    /// Names and base64 values of the headers of the response.
    pub headers: Option<Vec<(String, String)>>,
    /// Base64 body of the response.
    pub body: Option<String>,
}

impl ClaimRow {
    /// Creates the row of a request that is about to be sent.
    pub fn started(
        token: String,
        (node, incarnation): (NodeId, Incarnation),
        fingerprint: RequestFingerprint,
    ) -> Self {
        Self {
            token,
            node,
            incarnation,
            fingerprint,
            state: ClaimState::Started,
            status: None,
            headers: None,
            body: None,
        }
    }

    /// Adds the response. One that exceeds the limits is left out.
    #[must_use]
    pub fn done(mut self, answer: &EndpointResponse) -> Self {
        self.state = ClaimState::Done;
        let headers = answer.headers.iter();
        let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        if answer.body.len() <= MAX_RECORDED_BODY_BYTES && header_bytes <= MAX_RECORDED_HEADER_BYTES
        {
            let headers = answer.headers.iter();
            let headers = headers.map(|(name, value)| (name.clone(), STANDARD.encode(value)));
            self.status = Some(answer.status);
            self.headers = Some(headers.collect());
            self.body = Some(STANDARD.encode(&answer.body));
        }
        self
    }

    /// Approximate size of the recorded response, in bytes.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter().flatten();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.as_ref().map_or(0, String::len)
    }

    /// Returns the recorded response.
    pub fn answer(&self) -> Option<EndpointResponse> {
        if self.state != ClaimState::Done {
            return None;
        }
        let headers = self.headers.as_ref()?.iter();
        let headers = headers
            .map(|(name, value)| Some((name.clone(), STANDARD.decode(value).ok()?)))
            .collect::<Option<Vec<_>>>()?;
        Some(EndpointResponse {
            status: self.status?,
            headers,
            body: STANDARD.decode(self.body.as_ref()?).ok()?,
        })
    }
}
