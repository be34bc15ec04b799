//! Objects that take longer to transfer than a small call may take.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use tanager_platform::PlatformClient;

/// Size of a snapshot of some 1,100 VMs and 218 pools, in bytes.
const SNAPSHOT: usize = 600_000;
/// Time limit of a call, a third of what the snapshot takes.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes that the link carries in [`PERIOD`].
const PART: usize = 40_000;
const PERIOD: Duration = Duration::from_millis(100);

/// Serves one connection.
fn serve(handler: fn(TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || handler(listener.accept().expect("a connection").0));
    address
}

/// Guards against a snapshot that a node never reads because its link is slow, so that it never starts.
#[tokio::test]
async fn snapshot_is_read_over_a_slow_link() {
    let address = serve(|mut stream| {
        let _ = stream.read(&mut [0; 4_096]);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {SNAPSHOT}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("a head");
        for _ in 0..SNAPSHOT / PART {
            thread::sleep(PERIOD);
            if stream.write_all(&[b'x'; PART]).is_err() {
                return;
            }
        }
        let _ = stream.read(&mut [0; 4_096]);
    });
    let client = PlatformClient::new(address, TIMEOUT);
    let object = client.get_object("snapshot/a").await.expect("a response");
    assert_eq!(object.map(|bytes| bytes.len()), Some(SNAPSHOT));
}

/// Guards against a snapshot that is never written because its link is slow, so that the log is never
/// shortened.
#[tokio::test]
async fn snapshot_is_written_over_a_slow_link() {
    let address = serve(|mut stream| {
        let mut received = 0;
        let mut buffer = vec![0; PART];
        while received < SNAPSHOT {
            thread::sleep(PERIOD);
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(length) => received += length,
            }
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        let _ = stream.read(&mut buffer);
    });
    let client = PlatformClient::new(address, TIMEOUT);
    let content = vec![b'x'; SNAPSHOT];
    let result = client.put_object("snapshot/a", content).await;
    assert_eq!(result, Ok(()));
}
