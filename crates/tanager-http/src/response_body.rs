//! Reads the body of a response and records its progress.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time;

use crate::transfer_limits::TransferLimits;

/// Progress of a response's body, which is also known after its exchange was abandoned.
#[derive(Debug)]
pub(crate) struct BodyProgress {
    /// Start of the exchange.
    started: Instant,
    /// Bytes that have arrived.
    received: AtomicU64,
    /// Time from the start until the last of them arrived, in microseconds.
    received_at_us: AtomicU64,
    /// Length that the headers announce, in bytes; 0 if there is none yet.
    announced: AtomicU64,
}

impl BodyProgress {
    /// Begins an exchange.
    pub(crate) fn start() -> Self {
        Self {
            started: Instant::now(),
            received: AtomicU64::new(0),
            received_at_us: AtomicU64::new(0),
            announced: AtomicU64::new(0),
        }
    }

    /// Reads a body of at most `max_body` bytes to its end.
    pub(crate) async fn read(&self, mut body: Incoming, max_body: usize) -> Result<Bytes, String> {
        let announced = body.size_hint().exact().unwrap_or(0);
        self.announced.store(announced, Ordering::Relaxed);
        let too_large = || format!("it exceeds the limit of {max_body} bytes");
        // A transfer that must fail would be repeated in vain.
        if announced > max_body as u64 {
            return Err(too_large());
        }
        let mut whole = Bytes::new();
        let mut parts = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            // Trailers are not part of the body.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let received = self.add(data.len());
            if received > max_body as u64 {
                return Err(too_large());
            }
            if received == data.len() as u64 {
                whole = data;
                continue;
            }
            if parts.is_empty() {
                parts.reserve((announced as usize).max(received as usize));
                parts.extend_from_slice(&whole);
            }
            parts.extend_from_slice(&data);
        }
        match parts.is_empty() {
            true => Ok(whole),
            false => Ok(parts.freeze()),
        }
    }

    /// Records bytes that arrived now, and returns the number of all so far.
    fn add(&self, bytes: usize) -> u64 {
        let at = self.started.elapsed().as_micros() as u64;
        self.received_at_us.store(at, Ordering::Relaxed);
        self.received.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64
    }

    /// Returns the time of the exchange at which it fails unless more bytes arrive before.
    fn deadline(&self, limits: &TransferLimits) -> Duration {
        let received = self.received.load(Ordering::Relaxed);
        let at = self.received_at_us.load(Ordering::Relaxed);
        limits.deadline(received, Duration::from_micros(at))
    }

    /// Waits until the exchange has exceeded its limits.
    pub(crate) async fn overdue(&self, limits: &TransferLimits) {
        loop {
            let deadline = self.deadline(limits);
            time::sleep_until((self.started + deadline).into()).await;
            if self.deadline(limits) <= deadline {
                return;
            }
        }
    }
}

/// The time of the exchange so far and the bytes of the body.
impl Display for BodyProgress {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let elapsed = self.started.elapsed();
        let received = self.received.load(Ordering::Relaxed);
        match self.announced.load(Ordering::Relaxed) {
            0 => write!(formatter, "{received} bytes received in {elapsed:.3?}"),
            announced => write!(
                formatter,
                "{received} of {announced} bytes received in {elapsed:.3?}"
            ),
        }
    }
}
