//! Calls to the store that another node relays.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;

use crate::peers::PeerClient;
use crate::peers::decode_request;
use crate::peers::decode_response;
use crate::peers::encode_call;
use crate::peers::encode_response;

/// Path of calls to the store that a peer relays.
pub const RELAY_PATH: &str = "/relay";
/// Header with the status of the store's response, whose body is the body of the reply. Nodes of former
/// versions send both as JSON, with the body in Base64.
const STATUS_HEADER: HeaderName = HeaderName::from_static("x-store-status");

/// Response to a call to the store that a peer was asked to relay.
#[derive(Clone, Debug)]
pub enum RelayReply {
    /// The store's response.
    Response(HttpResponse),
    /// The call was not relayed, since the store has not served the peer for this time.
    Unserved(Duration),
}

/// A call to relay.
#[derive(Clone, Debug)]
pub struct RelayedCall {
    /// Request to the store.
    pub request: HttpRequest,
    /// Time limit of the caller.
    pub timeout: Duration,
    /// Whether the caller understands a reply whose body is that of the store.
    is_plain: bool,
}

#[derive(Deserialize, Serialize)]
struct RelayRequest {
    method: String,
    path: String,
    body: String,
    timeout_ms: u64,
    #[serde(default, rename = "plain")]
    is_plain: bool,
}

#[derive(Deserialize, Serialize)]
struct RelayResponse {
    status: u16,
    body: String,
}

impl RelayedCall {
    /// Creates a call of this node.
    pub fn new(request: HttpRequest, timeout: Duration) -> Self {
        Self {
            request,
            timeout,
            is_plain: true,
        }
    }

    /// Decodes the call of another node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] if it is malformed.
    pub fn decode(body: &[u8]) -> TanagerResult<Self> {
        let invalid = |error: String| {
            TanagerError::new(ErrorKind::Invalid, "decode relayed call", "peer", error)
        };
        let wire: RelayRequest = decode_request(body)?;
        let method =
            Method::from_bytes(wire.method.as_bytes()).map_err(|e| invalid(e.to_string()))?;
        let body = STANDARD
            .decode(wire.body)
            .map_err(|e| invalid(e.to_string()))?;
        let mut request = HttpRequest::new(method, wire.path, Bytes::from(body));
        tanager_site::job_api::set_json_content_type(&mut request.headers);
        Ok(Self {
            request,
            timeout: Duration::from_millis(wire.timeout_ms),
            is_plain: wire.is_plain,
        })
    }

    /// Sends the call to the store through another node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotSent`] if the store certainly did not receive the call.
    pub async fn send(&self, peers: &PeerClient, relay: SocketAddr) -> TanagerResult<RelayReply> {
        let wire = RelayRequest {
            method: self.request.method.to_string(),
            path: self.request.path.clone(),
            body: STANDARD.encode(&self.request.body),
            timeout_ms: self.timeout.as_millis() as u64,
            is_plain: self.is_plain,
        };
        let call = encode_call(relay, RELAY_PATH, &wire)?;
        let response = peers.exchange(relay, &call, self.timeout).await?;
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            let millis = std::str::from_utf8(&response.body)
                .ok()
                .and_then(|text| text.parse().ok());
            // An overloaded peer responds without a time.
            let millis = millis.unwrap_or(0);
            return Ok(RelayReply::Unserved(Duration::from_millis(millis)));
        }
        let unknown = |error: String| {
            TanagerError::new(ErrorKind::Unknown, "relay", relay.to_string(), error)
        };
        let (status, body) = match response.headers.get(STATUS_HEADER) {
            Some(status) => {
                let status = StatusCode::from_bytes(status.as_bytes());
                (status, response.body)
            }
            None => {
                let wire: RelayResponse = decode_response(relay, &response)?;
                let body = STANDARD.decode(wire.body);
                let body = body.map_err(|error| unknown(error.to_string()))?;
                (StatusCode::from_u16(wire.status), Bytes::from(body))
            }
        };
        let status = status.map_err(|error| unknown(error.to_string()))?;
        Ok(RelayReply::Response(HttpResponse::new(status, body)))
    }

    /// Encodes the store's response to the call.
    pub fn encode_reply(&self, response: HttpResponse) -> HttpResponse {
        if !self.is_plain {
            return encode_response(&RelayResponse {
                status: response.status.as_u16(),
                body: STANDARD.encode(&response.body),
            });
        }
        let status = HeaderValue::from(response.status.as_u16());
        HttpResponse::new(StatusCode::OK, response.body).with_header(STATUS_HEADER, status)
    }
}
