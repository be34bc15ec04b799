//! Requests to the administration API, one connection each.

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

/// Time to connect to one node, so that a silent node leaves time for the next.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest accepted response, in bytes.
const MAX_RESPONSE: u64 = 64 << 20;

/// Result of one request to one node.
#[derive(Debug)]
pub(crate) enum Exchange {
    /// The node answered.
    Answered(Reply),
    /// The request was not sent.
    NotSent(String),
    /// The request may have arrived; there is no complete answer.
    Lost(String),
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Reply {
    /// Describes an error answer.
    pub(crate) fn message(&self) -> String {
        let error = &self.body["error"];
        let message = error["message"].as_str().unwrap_or("no message");
        // The node's own message is only that of its connection to the platform.
        let unreachable = match error["code"] == "not_sent" {
            true => "the node cannot reach the store: ",
            false => "",
        };
        let mut place = format!("status {}", self.status);
        for field in ["step", "peer"] {
            if let Some(text) = error[field].as_str().filter(|text| !text.is_empty()) {
                place.push_str(&format!(", {field} {text}"));
            }
        }
        format!("{unreachable}{message} ({place})")
    }

    /// Classifies an error answer after which nothing changed.
    pub(crate) fn failure(&self) -> Failure {
        let is_conflict = self.body["error"]["code"] == "conflict";
        match self.status {
            409 if is_conflict => Failure::Conflict(self.message()),
            400 | 413 => Failure::Usage(format!("bad input: {}", self.message())),
            _ => Failure::Refused(self.message()),
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
    /// Index of the node that answered last; it is asked first.
    pub(crate) preferred: Cell<usize>,
}

impl NodeClient {
    /// Reads from the first node that answers.
    pub(crate) fn read(&self, path: &str) -> Result<Value, Failure> {
        let mut problems = Vec::new();
        let mut unready = None;
        for (index, node) in self.order() {
            match self.exchange(node, "GET", path, None) {
                Exchange::Answered(reply) if reply.status == 200 => {
                    self.preferred.set(index);
                    return Ok(reply.body);
                }
                Exchange::Answered(reply) if reply.status >= 500 => unready = Some(reply.failure()),
                Exchange::Answered(reply) => return Err(reply.failure()),
                Exchange::NotSent(problem) | Exchange::Lost(problem) => {
                    problems.push(format!("{node}: {problem}"));
                }
            }
        }
        Err(unready.unwrap_or_else(|| Failure::Unreachable(problems.join("; "))))
    }

    /// Makes a change that may be repeated: asks one node after the other until one confirms it.
    pub(crate) fn repeat(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Result<Value, Failure> {
        let mut problems = Vec::new();
        let mut is_open = false;
        let mut unready = None;
        for (index, node) in self.order() {
            match self.exchange(node, method, path, body) {
                Exchange::Answered(reply) if reply.status == 200 => {
                    self.preferred.set(index);
                    return Ok(reply.body);
                }
                Exchange::Answered(reply) if reply.status >= 500 => {
                    // A gateway timeout leaves the outcome open.
                    is_open |= reply.status == 504;
                    problems.push(format!("{node}: {}", reply.message()));
                    unready = Some(reply.failure());
                }
                Exchange::Answered(reply) => return Err(reply.failure()),
                Exchange::NotSent(problem) => problems.push(format!("{node}: {problem}")),
                Exchange::Lost(problem) => {
                    is_open = true;
                    problems.push(format!("{node}: {problem}"));
                }
            }
        }
        match (is_open, unready) {
            (true, _) => Err(Failure::Unknown(problems.join("; "))),
            (false, Some(failure)) => Err(failure),
            (false, None) => Err(Failure::Unreachable(problems.join("; "))),
        }
    }

    /// Reads from one node.
    pub(crate) fn read_from(&self, node: SocketAddr, path: &str) -> Result<Value, String> {
        match self.exchange(node, "GET", path, None) {
            Exchange::Answered(reply) if reply.status == 200 => Ok(reply.body),
            Exchange::Answered(reply) => Err(reply.message()),
            Exchange::NotSent(problem) | Exchange::Lost(problem) => Err(problem),
        }
    }

    /// Nodes with their index, the preferred one first.
    pub(crate) fn order(&self) -> Vec<(usize, SocketAddr)> {
        let mut nodes: Vec<_> = self.nodes.iter().copied().enumerate().collect();
        nodes.rotate_left(self.preferred.get());
        nodes
    }

    /// Sends one request to one node.
    pub(crate) fn exchange(
        &self,
        node: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&str>,
    ) -> Exchange {
        // oxhttp does not tell a failure to connect from a later one; a connection made before
        // finds most nodes that are down without the risk of an unknown outcome.
        if let Err(error) = TcpStream::connect_timeout(&node, CONNECT_TIMEOUT.min(self.timeout)) {
            return Exchange::NotSent(error.to_string());
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
        // The timeout of oxhttp bounds each read and write; the thread allows to bound the sum.
        thread::spawn(move || {
            let result = builder
                .body(Body::from(bytes))
                .map_err(Error::other)
                .and_then(|request| send(timeout, request));
            let _ = sender.send(result);
        });
        match receiver.recv_timeout(timeout) {
            Ok(Ok(reply)) => Exchange::Answered(reply),
            Ok(Err(error)) if is_connect_error(error.kind()) => {
                Exchange::NotSent(error.to_string())
            }
            Ok(Err(error)) => Exchange::Lost(error.to_string()),
            Err(_) => Exchange::Lost(format!("no answer within {timeout:?}")),
        }
    }
}

fn send(timeout: Duration, request: Request<Body>) -> Result<Reply, Error> {
    let client = Client::new().with_global_timeout(timeout);
    let response = client.request(request)?;
    let status = response.status().as_u16();
    let mut bytes = Vec::new();
    let mut body = response.into_body().take(MAX_RESPONSE);
    body.read_to_end(&mut bytes)?;
    let body = serde_json::from_slice(&bytes)
        .map_err(|error| Error::other(format!("the response is not valid JSON: {error}")))?;
    Ok(Reply { status, body })
}

/// Errors that only a failed connect can give.
fn is_connect_error(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::AddrNotAvailable
    )
}
