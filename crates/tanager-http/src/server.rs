//! HTTP/1 server with graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;

use tanager_kernel::panics::catch_panic;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;

use crate::message::HttpRequest;
use crate::message::HttpResponse;

/// Largest size up to which a request body above the limit is read and discarded.
const MAX_DISCARDED_BYTES: u64 = 64 << 20;

/// Maximum number of connections that wait to be accepted, the kernel's own default limit
/// (`net.core.somaxconn`).
const LISTEN_BACKLOG: u32 = 4_096;

/// Future returned by a [`RequestHandler`].
pub type ResponseFuture = Pin<Box<dyn Future<Output = HttpResponse> + Send>>;
/// Handles one request. The future is dropped when the client closes the connection.
pub type RequestHandler = Arc<dyn Fn(HttpRequest) -> ResponseFuture + Send + Sync>;
/// Builds the response to a request that was not read, or whose handler panicked.
pub type RejectHandler = Arc<dyn Fn(RejectReason) -> HttpResponse + Send + Sync>;

/// Reason for which the server itself responds to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// The body exceeds the limit: 413.
    BodyTooLarge,
    /// The body was not received within the read timeout: 408.
    BodyTimeout,
    /// The body is malformed: 400.
    BadBody,
    /// The handler panicked: 500. The request may have taken effect.
    HandlerPanicked,
}

impl RejectReason {
    /// Returns the status code of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BadBody => StatusCode::BAD_REQUEST,
            Self::HandlerPanicked => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest accepted request body, in bytes.
    pub max_body: usize,
    /// Time limit for receiving the headers of a request, and again for its body. Connections idle
    /// for this time are closed.
    pub read_timeout: Duration,
    /// Maximum number of open connections; further ones wait to be accepted.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_body: 4 << 20,
            read_timeout: Duration::from_secs(30),
            max_connections: 4_096,
        }
    }
}

/// A running server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    acceptor: JoinHandle<()>,
}

impl HttpServer {
    /// Binds a server that sends rejections with an empty body.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        limits: ServerLimits,
        handler: RequestHandler,
    ) -> TanagerResult<Self> {
        let reject: RejectHandler = Arc::new(|reason| HttpResponse::new(reason.status(), ""));
        Self::bind_with_reject(address, limits, handler, reject).await
    }

    /// Binds a server whose rejections are built by `reject`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] if the address cannot be bound.
    pub async fn bind_with_reject(
        address: SocketAddr,
        limits: ServerLimits,
        handler: RequestHandler,
        reject: RejectHandler,
    ) -> TanagerResult<Self> {
        let bind_error = |error: std::io::Error| {
            TanagerError::new(ErrorKind::Invalid, "bind", address.to_string(), error)
        };
        let listener = bind_listener(address).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let (stop, stopped) = watch::channel(false);
        let acceptor = tokio::spawn(accept_loop(listener, limits, handler, reject, stopped));
        Ok(Self {
            address,
            stop,
            acceptor,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, finishes requests in progress and closes all connections.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        // The acceptor ends after all its connections; a panic in it was already reported.
        let _ = self.acceptor.await;
    }
}

/// Binds a listener whose queue holds a burst of new connections.
///
/// The default of the standard library, 128, is exceeded when several hundred clients connect while
/// the process gets no processor time. The kernel then drops the first packet of a connection,
/// which the client sends again only after a second.
///
/// # Errors
///
/// The error of the operating system if the address cannot be bound.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // As the standard library does: a restarted process binds the address of its predecessor.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn accept_loop(
    listener: TcpListener,
    limits: ServerLimits,
    handler: RequestHandler,
    reject: RejectHandler,
    mut stopped: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let mut connections = JoinSet::new();
    loop {
        let next = async {
            let permit = Arc::clone(&permits).acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            next = next => next,
            _ = stopped.wait_for(|stopped| *stopped) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Accept fails when file descriptors run out; retry after some were closed.
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let handler = Arc::clone(&handler);
        let reject = Arc::clone(&reject);
        let stopped = stopped.clone();
        connections.spawn(async move {
            serve_connection(stream, limits, handler, reject, stopped).await;
            drop(permit);
        });
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    limits: ServerLimits,
    handler: RequestHandler,
    reject: RejectHandler,
    mut stopped: watch::Receiver<bool>,
) {
    // Nagle's algorithm would delay a small response until the client's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        let reject = Arc::clone(&reject);
        async move {
            let response = match read_request(request, limits).await {
                Ok(request) => call_handler(&handler, request)
                    .await
                    .unwrap_or_else(|reason| reject(reason)),
                Err(reason) => reject(reason),
            };
            Ok::<_, Infallible>(build_response(response))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Calls the handler. Without a response after a panic, the client would only see its connection
/// close.
async fn call_handler(
    handler: &RequestHandler,
    request: HttpRequest,
) -> Result<HttpResponse, RejectReason> {
    let (method, path) = (request.method.clone(), request.path.clone());
    catch_panic(async move { handler(request).await })
        .await
        .map_err(|message| {
            log::error!("event=handler_panicked method={method} path={path} message={message:?}");
            RejectReason::HandlerPanicked
        })
}

async fn read_request(
    request: Request<Incoming>,
    limits: ServerLimits,
) -> Result<HttpRequest, RejectReason> {
    let (parts, body) = request.into_parts();
    let expects_continue = parts.headers.contains_key(header::EXPECT);
    let read = read_body(body, limits.max_body, expects_continue);
    let body = match time::timeout(limits.read_timeout, read).await {
        Ok(result) => result?,
        Err(_) => return Err(RejectReason::BodyTimeout),
    };
    let path = parts
        .uri
        .path_and_query()
        .map_or_else(|| parts.uri.path().to_owned(), ToString::to_string);
    Ok(HttpRequest {
        method: parts.method,
        path,
        headers: parts.headers,
        body,
    })
}

/// Reads a complete body.
///
/// A body above the limit is read to its end and discarded, because a client that is still sending
/// when the connection closes may lose the response. A client that waits for `100 Continue` before
/// it sends its body gets the response immediately.
async fn read_body(
    mut body: Incoming,
    max_body: usize,
    expects_continue: bool,
) -> Result<Bytes, RejectReason> {
    let declared_bytes = body.size_hint().lower();
    let mut too_large = declared_bytes > max_body as u64;
    if too_large && (expects_continue || declared_bytes > MAX_DISCARDED_BYTES) {
        return Err(RejectReason::BodyTooLarge);
    }
    let mut received_bytes = 0u64;
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| match too_large {
            true => RejectReason::BodyTooLarge,
            false => RejectReason::BadBody,
        })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        received_bytes += data.len() as u64;
        too_large |= received_bytes > max_body as u64;
        if !too_large {
            content.extend_from_slice(data);
        } else if received_bytes > MAX_DISCARDED_BYTES {
            break;
        }
    }
    match too_large {
        true => Err(RejectReason::BodyTooLarge),
        false => Ok(content.freeze()),
    }
}

fn build_response(response: HttpResponse) -> Response<Full<Bytes>> {
    let mut outgoing = Response::new(Full::new(response.body));
    *outgoing.status_mut() = response.status;
    *outgoing.headers_mut() = response.headers;
    outgoing
}
