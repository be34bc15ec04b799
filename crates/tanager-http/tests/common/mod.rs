//! Server that sends given bytes, for responses that no HTTP library produces.

#![allow(dead_code)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

/// Time limit that only a hang reaches, so that no result depends on the speed of the machine.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_secs(600);
/// Time limit of exchanges that must time out.
pub(crate) const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
/// A complete response to the first request, on a connection that stays open.
pub(crate) const FIRST_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
/// A complete response that belongs to no request.
pub(crate) const STRAY_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";

pub(crate) fn local_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Serves each connection in its own thread. The handler can send events to the receiver.
pub(crate) fn serve(handler: fn(TcpStream, &Sender<usize>)) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind(local_address()).unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let sender = sender.clone();
            thread::spawn(move || handler(stream.unwrap(), &sender));
        }
    });
    (address, receiver)
}

/// Sends these bytes after the first request of each connection, then closes the connection or
/// keeps it open.
pub(crate) fn serve_response_bytes(response: &'static [u8], keep_open: bool) -> SocketAddr {
    let listener = TcpListener::bind(local_address()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || {
                let mut stream = stream.unwrap();
                read_request(&mut stream);
                stream.write_all(response).unwrap();
                if keep_open {
                    let _ = stream.read_to_end(&mut Vec::new());
                }
            });
        }
    });
    address
}

/// Reads one request. Returns false if the client closed the connection.
pub(crate) fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => request.push(byte[0]),
            _ => return false,
        }
    }
    let head = String::from_utf8(request).unwrap().to_ascii_lowercase();
    let length = head.lines().find_map(|line| {
        let value = line.strip_prefix("content-length:")?;
        value.trim().parse().ok()
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).is_ok()
}
