//! Reads the body of a response and counts its bytes while they arrive.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

/// Progress of a response's body, which is also known after its exchange was abandoned.
#[derive(Debug, Default)]
pub(crate) struct BodyProgress {
    /// Bytes that have arrived.
    received: AtomicU64,
    /// Length that the headers announce, in bytes; 0 if there is none yet.
    announced: AtomicU64,
}

impl BodyProgress {
    /// Reads a body of at most `max_body` bytes to its end.
    pub(crate) async fn read(&self, mut body: Incoming, max_body: usize) -> Result<Bytes, String> {
        let announced = body.size_hint().exact().unwrap_or(0);
        self.announced.store(announced, Ordering::Relaxed);
        let mut whole = Bytes::new();
        let mut parts = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            // Trailers are not part of the body.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let received = self
                .received
                .fetch_add(data.len() as u64, Ordering::Relaxed);
            if received + data.len() as u64 > max_body as u64 {
                return Err(format!("it exceeds the limit of {max_body} bytes"));
            }
            if received == 0 {
                whole = data;
                continue;
            }
            if parts.is_empty() {
                parts.reserve(
                    max_body
                        .min(announced as usize)
                        .max(whole.len() + data.len()),
                );
                parts.extend_from_slice(&whole);
            }
            parts.extend_from_slice(&data);
        }
        match parts.is_empty() {
            true => Ok(whole),
            false => Ok(parts.freeze()),
        }
    }
}

impl Display for BodyProgress {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let received = self.received.load(Ordering::Relaxed);
        match self.announced.load(Ordering::Relaxed) {
            0 => write!(formatter, "{received} bytes received"),
            announced => write!(formatter, "{received} of {announced} bytes received"),
        }
    }
}
