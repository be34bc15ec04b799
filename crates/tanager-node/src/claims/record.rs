//! Claim rows in the table service.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;

use tanager_protocol::ids::Incarnation;
use tanager_protocol::ids::NodeId;
use tanager_protocol::outcome::EndpointResponse;

use crate::claims::fingerprint::RequestFingerprint;

/// Size limit of recorded bodies. Larger responses are not recorded, so retries of their requests
/// get an unknown outcome.
pub const MAX_RECORDED_BODY_BYTES: usize = 16 << 10;
/// Size limit of recorded headers: the total of all names and values.
pub const MAX_RECORDED_HEADER_BYTES: usize = 16 << 10;

/// State of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may have been sent; its outcome is not recorded.
    Started,
    /// The endpoint responded to the request.
    Done,
}

/// Value of the row `claim/{generation}/{pool}/{key}`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRow {
    /// Identifies the claim uniquely.
    pub token: String,
    /// Node that wrote the claim.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// State of the claim.
    pub state: ClaimState,
    /// Status of the response; `null` if no response is recorded.
    pub status: Option<u16>,
    /// Names and base64 values of the response headers.
    pub headers: Option<Vec<(String, String)>>,
    /// Response body in base64.
    pub body: Option<String>,
}

impl ClaimRow {
    /// Creates the row of a request before it is sent.
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

    /// Marks the claim as done and adds the response unless it exceeds the size limits.
    #[must_use]
    pub fn completed(mut self, response: &EndpointResponse) -> Self {
        self.state = ClaimState::Done;
        let headers = response.headers.iter();
        let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        if response.body.len() <= MAX_RECORDED_BODY_BYTES
            && header_bytes <= MAX_RECORDED_HEADER_BYTES
        {
            let headers = response.headers.iter();
            let headers = headers.map(|(name, value)| (name.clone(), STANDARD.encode(value)));
            self.status = Some(response.status);
            self.headers = Some(headers.collect());
            self.body = Some(STANDARD.encode(&response.body));
        }
        self
    }

    /// Returns the approximate size of the recorded response in bytes: header names, and header
    /// values and body in base64.
    pub fn recorded_bytes(&self) -> usize {
        let headers = self.headers.iter().flatten();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.as_ref().map_or(0, String::len)
    }

    /// Returns the recorded response; `None` if there is none or it cannot be decoded.
    pub fn response(&self) -> Option<EndpointResponse> {
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
