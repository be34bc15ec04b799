//! Client connection that carries one request at a time.

use std::future;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream as StdTcpStream;
use std::os::fd::AsFd;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;

use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;

use crate::guarded_stream::GuardedStream;
use crate::guarded_stream::SharedGuard;
use crate::guarded_stream::WriteGuard;
use crate::message::HttpRequest;
use crate::message::HttpResponse;
use crate::response_body::BodyProgress;
use crate::transfer_limits::TransferLimits;

/// What happens to bytes of a request that the server has not acknowledged.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum UnsentBytes {
    /// The system goes on sending them after the connection was closed.
    #[default]
    Deliver,
    /// They are discarded when the connection is closed, which the server sees as a reset, and, even
    /// while this process stands still, once they have waited for `limit`. A request that waits
    /// behind a broken link is thus not executed once the link works again.
    Discard {
        /// Maximum time for which bytes wait for an acknowledgement.
        limit: Duration,
    },
}

impl UnsentBytes {
    fn apply(self, stream: &TcpStream) -> io::Result<()> {
        match self {
            Self::Deliver => Ok(()),
            Self::Discard { limit } => {
                stream.set_zero_linger()?;
                SockRef::from(stream).set_tcp_user_timeout(Some(limit))
            }
        }
    }
}

/// An open connection to a server. Dropping it closes the connection.
#[derive(Debug)]
pub struct ClientConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    guard: SharedGuard,
    /// Second handle of the socket, to detect unread data before a request is sent.
    socket: StdTcpStream,
    last_used: Instant,
    keep_alive: bool,
}

impl ClientConnection {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Every error has kind [`ErrorKind::NotSent`].
    pub async fn open(address: SocketAddr, timeout: Duration) -> TanagerResult<Self> {
        Self::open_with(address, timeout, UnsentBytes::Deliver).await
    }

    /// Like [`Self::open`], with a choice of what happens to unsent bytes.
    ///
    /// # Errors
    ///
    /// As for [`Self::open`].
    pub async fn open_with(
        address: SocketAddr,
        timeout: Duration,
        unsent_bytes: UnsentBytes,
    ) -> TanagerResult<Self> {
        let not_sent_error = |step, message: String| {
            TanagerError::new(ErrorKind::NotSent, step, address.to_string(), message)
        };
        let stream = match time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent_error("connect", error.to_string())),
            Err(_) => {
                return Err(not_sent_error(
                    "connect",
                    format!("timeout after {timeout:?}"),
                ));
            }
        };
        stream
            .set_nodelay(true)
            .and_then(|()| unsent_bytes.apply(&stream))
            .map_err(|error| not_sent_error("connect", error.to_string()))?;
        let socket = stream
            .as_fd()
            .try_clone_to_owned()
            .map(StdTcpStream::from)
            .map_err(|error| not_sent_error("connect", error.to_string()))?;
        let guard = SharedGuard::default();
        let stream = GuardedStream::new(stream, guard.clone());
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent_error("handshake", error.to_string()))?;
        let driver = tokio::spawn(async move {
            // The error is also reported to the pending request.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            driver,
            guard,
            socket,
            last_used: Instant::now(),
            keep_alive: true,
        })
    }

    /// Returns whether the connection may carry another request.
    pub fn is_reusable(&self, max_idle: Duration) -> bool {
        self.keep_alive && !self.sender.is_closed() && self.last_used.elapsed() < max_idle
    }

    /// Sends a request and reads the complete response, both within `timeout`.
    ///
    /// `max_body` is the largest accepted response body, in bytes.
    ///
    /// After an error the connection is not reusable, so that a late response cannot be matched to
    /// another request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotSent`] if no byte of the request left this process;
    /// [`ErrorKind::Timeout`] or [`ErrorKind::Unknown`] if the request may have taken effect.
    pub async fn exchange(
        &mut self,
        request: HttpRequest,
        timeout: Duration,
        max_body: usize,
    ) -> TanagerResult<HttpResponse> {
        self.exchange_with_cancellation(request, timeout, max_body, future::pending())
            .await
    }

    /// Like [`Self::exchange`], but the response may take longer the larger it is.
    ///
    /// # Errors
    ///
    /// As for [`Self::exchange`].
    pub async fn exchange_within(
        &mut self,
        request: HttpRequest,
        limits: &TransferLimits,
        max_body: usize,
    ) -> TanagerResult<HttpResponse> {
        self.run_exchange(request, limits, max_body, future::pending())
            .await
    }

    /// Like [`Self::exchange_within`], but asks `guard` for permission right before each write.
    ///
    /// # Errors
    ///
    /// As for [`Self::exchange_within`]; [`ErrorKind::NotSent`] if the guard refused the first write. A
    /// request of which only a part was written is incomplete, so the server does not execute it,
    /// but the error does not say so.
    pub async fn exchange_guarded(
        &mut self,
        request: HttpRequest,
        limits: &TransferLimits,
        max_body: usize,
        guard: &WriteGuard,
    ) -> TanagerResult<HttpResponse> {
        self.guard.set(Some(Arc::clone(guard)));
        let result = self.exchange_within(request, limits, max_body).await;
        match result {
            Ok(response) => {
                self.guard.set(None);
                Ok(response)
            }
            // The guard stays: bytes may be left that the connection's task would write.
            Err(error) if self.guard.was_refused_whole() => Err(TanagerError::new(
                ErrorKind::NotSent,
                "send",
                self.address.to_string(),
                error,
            )),
            Err(error) => Err(error),
        }
    }

    /// Like [`Self::exchange`], but can be cancelled.
    ///
    /// When `cancelled` completes, the sending side is closed. The call returns when the server has
    /// responded or closed the connection, after which it no longer works on the request.
    ///
    /// # Errors
    ///
    /// As for [`Self::exchange`].
    pub async fn exchange_with_cancellation(
        &mut self,
        request: HttpRequest,
        timeout: Duration,
        max_body: usize,
        cancelled: impl Future<Output = ()>,
    ) -> TanagerResult<HttpResponse> {
        let limits = TransferLimits::whole(timeout);
        self.run_exchange(request, &limits, max_body, cancelled)
            .await
    }

    async fn run_exchange(
        &mut self,
        request: HttpRequest,
        limits: &TransferLimits,
        max_body: usize,
        cancelled: impl Future<Output = ()>,
    ) -> TanagerResult<HttpResponse> {
        self.keep_alive = false;
        let address = self.address;
        let is_head_request = request.method == Method::HEAD;
        let socket = &self.socket;
        let progress = BodyProgress::start();
        let exchange = async {
            let outgoing = build_request(address, request)?;
            self.sender.ready().await.map_err(|error| {
                TanagerError::new(ErrorKind::NotSent, "send", address.to_string(), error)
            })?;
            check_no_unread_data(socket).map_err(|message| {
                TanagerError::new(ErrorKind::NotSent, "send", address.to_string(), message)
            })?;
            let response = send_request(&mut self.sender, address, outgoing).await?;
            read_response(address, response, is_head_request, max_body, &progress).await
        };
        let cancellable_exchange = async {
            let mut exchange = pin!(exchange);
            tokio::select! {
                biased;
                result = &mut exchange => return result,
                () = cancelled => {}
            }
            // Fails only if the connection is closed already.
            let _ = socket.shutdown(Shutdown::Write);
            exchange.await
        };
        let result = tokio::select! {
            biased;
            result = cancellable_exchange => result,
            () = progress.overdue(limits) => Err(TanagerError::new(
                ErrorKind::Timeout,
                "exchange",
                address.to_string(),
                format!("no complete response within {:?}, {progress}", limits.timeout),
            )),
        };
        let (response, keep_alive) = result?;
        self.keep_alive = keep_alive;
        self.last_used = Instant::now();
        Ok(response)
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn build_request(address: SocketAddr, request: HttpRequest) -> TanagerResult<Request<Full<Bytes>>> {
    let encode_error = |error: http::Error| {
        TanagerError::new(ErrorKind::NotSent, "encode", address.to_string(), error)
    };
    let mut outgoing = Request::builder()
        .method(request.method)
        .uri(request.path)
        .body(Full::new(request.body))
        .map_err(encode_error)?;
    *outgoing.headers_mut() = request.headers;
    let host = HeaderValue::from_str(&address.to_string())
        .map_err(|error| encode_error(http::Error::from(error)))?;
    outgoing.headers_mut().insert(header::HOST, host);
    Ok(outgoing)
}

/// Checks that the server has neither sent data nor closed the connection since the last response.
///
/// The driver detects received bytes only when the runtime polls the socket, so it could first send
/// a request and then match an earlier response to it.
fn check_no_unread_data(socket: &StdTcpStream) -> Result<(), String> {
    match socket.peek(&mut [0]) {
        Ok(0) => Err("the server closed the connection".to_owned()),
        Ok(_) => Err("the server sent a response without a request".to_owned()),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
        Err(error) => Err(error.to_string()),
    }
}

async fn send_request(
    sender: &mut SendRequest<Full<Bytes>>,
    address: SocketAddr,
    outgoing: Request<Full<Bytes>>,
) -> TanagerResult<Response<Incoming>> {
    sender
        .try_send_request(outgoing)
        .await
        .map_err(|mut error| {
            // hyper returns the request only if it has written none of it.
            let kind = match error.take_message() {
                Some(_) => ErrorKind::NotSent,
                None => ErrorKind::Unknown,
            };
            TanagerError::new(kind, "send", address.to_string(), error.into_error())
        })
}

/// Reads the complete body. Returns the response and whether the connection may be reused.
async fn read_response(
    address: SocketAddr,
    response: Response<Incoming>,
    is_head_request: bool,
    max_body: usize,
    progress: &BodyProgress,
) -> TanagerResult<(HttpResponse, bool)> {
    let unknown_error = |message: String| {
        TanagerError::new(ErrorKind::Unknown, "read", address.to_string(), message)
    };
    let (parts, body) = response.into_parts();
    let has_no_body = is_head_request
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    if !has_no_body && !is_framed(&parts.headers) && !body.is_end_stream() {
        // The end of such a body cannot be distinguished from a lost connection.
        return Err(unknown_error(
            "the response body is delimited by connection close".to_owned(),
        ));
    }
    let body = (progress.read(body, max_body).await)
        .map_err(|error| unknown_error(format!("incomplete response body, {progress}: {error}")))?;
    let closes_connection = parts
        .headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|value| {
            value
                .to_str()
                .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
        });
    let response = HttpResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    };
    Ok((response, !closes_connection))
}

/// Returns whether the headers define the end of the body. A transfer coding does so only if the
/// last coding is `chunked`; otherwise the close of the connection ends the body (RFC 9112,
/// section 6.3).
fn is_framed(headers: &HeaderMap) -> bool {
    let Some(last) = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back()
    else {
        return headers.contains_key(header::CONTENT_LENGTH);
    };
    let last = last.to_str().unwrap_or_default().rsplit(',').next();
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
