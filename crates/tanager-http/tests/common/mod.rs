//! A server that sends exact bytes, for responses that no HTTP library produces.

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

/// Far longer than any test runs, so that no verdict depends on the speed of the machine.
pub(crate) const LONG: Duration = Duration::from_secs(600);
/// Time limit of exchanges that must run into it.
pub(crate) const SHORT: Duration = Duration::from_millis(200);
/// A complete response to the first request, on a connection that stays open.
pub(crate) const FIRST: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
/// A complete response that no request belongs to.
pub(crate) const STRAY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";

pub(crate) fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Serves each connection in a thread.
pub(crate) fn serve(handler: fn(TcpStream, &Sender<usize>)) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind(local()).unwrap();
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

/// Answers the first request of each connection with these bytes, then closes or holds it.
pub(crate) fn serve_bytes(response: &'static [u8], hold: bool) -> SocketAddr {
    let listener = TcpListener::bind(local()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || {
                let mut stream = stream.unwrap();
                read_request(&mut stream);
                stream.write_all(response).unwrap();
                if hold {
                    let _ = stream.read_to_end(&mut Vec::new());
                }
            });
        }
    });
    address
}

/// Reads one request; false when the client closed the connection.
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
