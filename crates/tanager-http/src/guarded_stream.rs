//! Socket of a client connection that asks for permission right before it writes.

use std::fmt;
use std::fmt::Debug;
use std::fmt::Formatter;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Returns whether bytes of a request may be written now. It is called right before each write to
/// the socket, from the task that drives the connection, and must not block.
pub type WriteGuard = Arc<dyn Fn() -> bool + Send + Sync>;

/// Guard of the request in progress, shared by a connection and its socket.
#[derive(Clone, Default)]
pub(crate) struct SharedGuard(Arc<Mutex<GuardState>>);

#[derive(Default)]
struct GuardState {
    guard: Option<WriteGuard>,
    has_written: bool,
    was_refused: bool,
}

impl SharedGuard {
    /// Sets the guard of the next request; `None` permits all writes.
    pub(crate) fn set(&self, guard: Option<WriteGuard>) {
        *self.lock() = GuardState {
            guard,
            ..GuardState::default()
        };
    }

    /// Returns whether the guard refused the request before any byte of it was written.
    pub(crate) fn was_refused_whole(&self) -> bool {
        let state = self.lock();
        state.was_refused && !state.has_written
    }

    /// Writes with `write` if the guard permits it.
    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.guard.as_ref().is_some_and(|guard| !guard()) {
            state.was_refused = true;
            let error = io::Error::new(io::ErrorKind::PermissionDenied, "no longer permitted");
            return Poll::Ready(Err(error));
        }
        let result = write();
        state.has_written |= matches!(result, Poll::Ready(Ok(1..)));
        result
    }

    fn lock(&self) -> MutexGuard<'_, GuardState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Debug for SharedGuard {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let is_set = self.lock().guard.is_some();
        formatter.debug_tuple("SharedGuard").field(&is_set).finish()
    }
}

/// A socket whose writes need the permission of a guard.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: TcpStream,
    guard: SharedGuard,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, guard: SharedGuard) -> Self {
        Self { stream, guard }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, guard } = self.get_mut();
        guard.write(|| Pin::new(stream).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, guard } = self.get_mut();
        guard.write(|| Pin::new(stream).poll_write_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
