//! Minimal HTTP/1.1 server side on plain TCP, whose callers control every byte of a response.

use std::io;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use percent_encoding::percent_decode_str;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

/// Largest accepted request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A request read from a connection.
#[derive(Clone, Debug)]
pub struct WireRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
    /// Size of head and body on the wire, in bytes.
    pub wire_bytes: usize,
}

impl WireRequest {
    /// Returns the first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the decoded value of a query parameter.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        decode_key(value)
    }

    /// Whether the client requested to close the connection after the response.
    pub fn wants_close(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// A response to encode.
#[derive(Clone, Debug)]
pub struct WireResponse {
    /// Status code.
    pub status: u16,
    /// Headers, except those that delimit the body.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

impl WireResponse {
    /// Creates a response without headers.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Creates a JSON response.
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self::new(status, value.to_string()).with_header("content-type", "application/json")
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Encodes the response. `framed` adds `content-length`; without it the end of the connection
    /// delimits the body. `with_body` is false for responses to HEAD.
    pub fn encode(&self, framed: bool, with_body: bool) -> Bytes {
        let reason = http::StatusCode::from_u16(self.status)
            .ok()
            .and_then(|status| status.canonical_reason())
            .unwrap_or("Status");
        let mut text = format!("HTTP/1.1 {} {reason}\r\n", self.status);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if framed {
            text.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut encoded = BytesMut::from(text.as_bytes());
        if with_body {
            encoded.extend_from_slice(&self.body);
        }
        encoded.freeze()
    }
}

/// Decodes a percent-encoded key; `None` when the result is not UTF-8.
pub fn decode_key(text: &str) -> Option<String> {
    let decoded = percent_decode_str(text).decode_utf8().ok()?;
    Some(decoded.into_owned())
}

/// The server side of one connection.
#[derive(Debug)]
pub struct WireConnection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl WireConnection {
    /// Wraps an accepted stream.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next request; `None` when the client has closed the connection.
    ///
    /// # Errors
    ///
    /// Errors of the stream; `InvalidData` for a malformed, chunked or too large request.
    pub async fn read_request(&mut self) -> io::Result<Option<WireRequest>> {
        let end = loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                break end;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("the request head is too large"));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        };
        let mut request = parse_head(&self.buffer[..end])?;
        self.buffer.advance(end + 4);
        if request.header("transfer-encoding").is_some() {
            return Err(invalid_data("chunked requests are not supported"));
        }
        let length = match request.header("content-length") {
            Some(text) => text
                .parse()
                .map_err(|_| invalid_data("bad content length"))?,
            None => 0,
        };
        if length > MAX_BODY_BYTES {
            return Err(invalid_data("the request body is too large"));
        }
        while self.buffer.len() < length {
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
        request.body = self.buffer.split_to(length).freeze();
        request.wire_bytes = end + 4 + length;
        Ok(Some(request))
    }

    /// Completes when the client has closed the connection. Buffers the bytes of a next request.
    pub async fn closed(&mut self) {
        while matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..)) {}
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Errors of the stream.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes `chunk_size` bytes at a time, with a pause after each chunk.
    ///
    /// # Errors
    ///
    /// Errors of the stream.
    pub async fn trickle(
        &mut self,
        bytes: &[u8],
        chunk_size: usize,
        pause: Duration,
    ) -> io::Result<()> {
        for chunk in bytes.chunks(chunk_size.max(1)) {
            self.write(chunk).await?;
            time::sleep(pause).await;
        }
        Ok(())
    }
}

fn invalid_data(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

fn parse_head(head: &[u8]) -> io::Result<WireRequest> {
    let head = std::str::from_utf8(head).map_err(|_| invalid_data("the head is not UTF-8"))?;
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let (Some(method), Some(target), Some("HTTP/1.1")) = (words.next(), words.next(), words.next())
    else {
        return Err(invalid_data("bad request line"));
    };
    let mut headers = Vec::new();
    for line in lines {
        let (name, value) = line
            .split_once(':')
            .ok_or_else(|| invalid_data("bad header"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(WireRequest {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body: Bytes::new(),
        wire_bytes: 0,
    })
}
