//! Client of the administration API, with one connection per request.

use std::cell::Cell;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::Body;
use oxhttp::model::Request;
use serde_json::Value;

use crate::failure::Failure;

/// Time limit for connecting to one node, so that an unresponsive node leaves time for the next.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest accepted response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Result of one request to one node.
#[derive(Debug)]
pub(crate) enum ExchangeResult {
    /// The node responded.
    Answered(ApiResponse),
    /// The request was not sent.
    NotSent(String),
    /// The request may have arrived, but no complete response was received.
    Lost(String),
}

/// A complete response of a node.
#[derive(Debug)]
pub(crate) struct ApiResponse {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl ApiResponse {
    /// Describes an error response.
    pub(crate) fn error_message(&self) -> String {
        let error = &self.body["error"];
        let message = error["message"].as_str().unwrap_or("no message");
        // The message of the node describes only its failed connection to the platform.
        let unreachable = match error["code"] == "not_sent" {
            true => "the node cannot reach the store: ",
            false => "",
        };
        let mut details = format!("status {}", self.status);
        for field in ["step", "peer"] {
            if let Some(text) = error[field].as_str().filter(|text| !text.is_empty()) {
                details.push_str(&format!(", {field} {text}"));
            }
        }
        format!("{unreachable}{message} ({details})")
    }

    /// Classifies an error response to a request that changed nothing.
    pub(crate) fn to_failure(&self) -> Failure {
        let is_conflict = self.body["error"]["code"] == "conflict";
        match self.status {
            409 if is_conflict => Failure::Conflict(self.error_message()),
            400 | 413 => Failure::Usage(format!("bad input: {}", self.error_message())),
            _ => Failure::Refused(self.error_message()),
        }
    }
}

/// Client of the administration API of several nodes.
#[derive(Debug)]
pub(crate) struct NodeClient {
    pub(crate) nodes: Vec<SocketAddr>,
    pub(crate) token: String,
    pub(crate) operator: String,
    pub(crate) timeout: Duration,
    /// Index of the node that responded last; it is tried first.
    pub(crate) preferred_node: Cell<usize>,
}

impl NodeClient {
    /// Reads from the first node that responds.
    pub(crate) fn read(&self, path: &str) -> Result<Value, Failure> {
        let mut problems = Vec::new();
        let mut server_failure = None;
        for (index, node) in self.nodes_by_preference() {
            match self.exchange(node, "GET", path, None) {
                ExchangeResult::Answered(reply) if reply.status == 200 => {
                    self.preferred_node.set(index);
                    return Ok(reply.body);
                }
                ExchangeResult::Answered(reply) if reply.status >= 500 => {
                    server_failure = Some(reply.to_failure());
                }
                ExchangeResult::Answered(reply) => return Err(reply.to_failure()),
                ExchangeResult::NotSent(problem) | ExchangeResult::Lost(problem) => {
                    problems.push(format!("{node}: {problem}"));
                }
            }
        }
        Err(server_failure.unwrap_or_else(|| Failure::Unreachable(problems.join("; "))))
    }

    /// Sends an idempotent change to one node after the other until one confirms it.
    pub(crate) fn send_idempotent(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<Value, Failure> {
        let mut problems = Vec::new();
        let mut may_have_taken_effect = false;
        let mut server_failure = None;
        for (index, node) in self.nodes_by_preference() {
            match self.exchange(node, method, path, body) {
                ExchangeResult::Answered(reply) if reply.status == 200 => {
                    self.preferred_node.set(index);
                    return Ok(reply.body);
                }
                ExchangeResult::Answered(reply) if reply.status >= 500 => {
                    // After a gateway timeout the outcome is unknown.
                    may_have_taken_effect |= reply.status == 504;
                    problems.push(format!("{node}: {}", reply.error_message()));
                    server_failure = Some(reply.to_failure());
                }
                ExchangeResult::Answered(reply) => return Err(reply.to_failure()),
                ExchangeResult::NotSent(problem) => problems.push(format!("{node}: {problem}")),
                ExchangeResult::Lost(problem) => {
                    may_have_taken_effect = true;
                    problems.push(format!("{node}: {problem}"));
                }
            }
        }
        match (may_have_taken_effect, server_failure) {
            (true, _) => Err(Failure::Unknown(problems.join("; "))),
            (false, Some(failure)) => Err(failure),
            (false, None) => Err(Failure::Unreachable(problems.join("; "))),
        }
    }

    /// Reads from one node.
    pub(crate) fn read_from(&self, node: SocketAddr, path: &str) -> Result<Value, String> {
        match self.exchange(node, "GET", path, None) {
            ExchangeResult::Answered(reply) if reply.status == 200 => Ok(reply.body),
            ExchangeResult::Answered(reply) => Err(reply.error_message()),
            ExchangeResult::NotSent(problem) | ExchangeResult::Lost(problem) => Err(problem),
        }
    }

    /// Returns the nodes with their indexes, starting at the preferred node.
    pub(crate) fn nodes_by_preference(&self) -> Vec<(usize, SocketAddr)> {
        let mut nodes: Vec<_> = self.nodes.iter().copied().enumerate().collect();
        nodes.rotate_left(self.preferred_node.get());
        nodes
    }

    /// Sends one request to one node.
    pub(crate) fn exchange(
        &self,
        node: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> ExchangeResult {
        // oxhttp does not distinguish a failure to connect from a later one. A separate connection
        // beforehand detects most nodes that are down without the risk of an unknown outcome.
        if let Err(error) = TcpStream::connect_timeout(&node, CONNECT_TIMEOUT.min(self.timeout)) {
            return ExchangeResult::NotSent(error.to_string());
        }
        let builder = Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .header("tanager-operator", &self.operator)
            .header("content-type", "application/json");
        let bytes = body.map_or_else(Vec::new, |body| body.as_bytes().to_vec());
        let timeout = self.timeout;
        let (sender, receiver) = mpsc::channel();
        // The timeout of oxhttp applies to each read and write; waiting for a thread with a timeout
        // limits the total.
        thread::spawn(move || {
            let result = builder
                .body(Body::from(bytes))
                .map_err(Error::other)
                .and_then(|request| send(timeout, request));
            let _ = sender.send(result);
        });
        match receiver.recv_timeout(timeout) {
            Ok(Ok(reply)) => ExchangeResult::Answered(reply),
            Ok(Err(error)) if is_connection_error(error.kind()) => {
                ExchangeResult::NotSent(error.to_string())
            }
            Ok(Err(error)) => ExchangeResult::Lost(error.to_string()),
            Err(_) => ExchangeResult::Lost(format!("no response within {timeout:?}")),
        }
    }
}

fn send(timeout: Duration, request: Request<Body>) -> Result<ApiResponse, Error> {
    let client = Client::new().with_global_timeout(timeout);
    let response = client.request(request)?;
    let status = response.status().as_u16();
    let mut bytes = Vec::new();
    let mut body = response.into_body().take(MAX_RESPONSE_BYTES);
    body.read_to_end(&mut bytes)?;
    let body = serde_json::from_slice(&bytes)
        .map_err(|error| Error::other(format!("the response is not valid JSON: {error}")))?;
    Ok(ApiResponse { status, body })
}

/// Returns whether only a failed connection attempt can cause this kind of error.
fn is_connection_error(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::AddrNotAvailable
    )
}
