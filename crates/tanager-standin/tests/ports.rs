//! Tests of the ports for nodes and stand-ins beside threads that start processes.

use std::env;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use tanager_standin::port::WirePort;
use tanager_standin::site::NodePorts;
use tokio::net::TcpSocket;

/// Threads that start processes. Each process has copies of all sockets until its `exec`.
struct ProcessStarter {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl ProcessStarter {
    fn start() -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start_processes = |stop: &AtomicBool| {
            let file = env::current_exe().expect("test binary");
            while !stop.load(Ordering::Relaxed) {
                let mut command = Command::new(&file);
                let status = command.arg("--help").stdout(Stdio::null()).status();
                assert!(status.expect("process").success());
            }
        };
        let threads = (0..4).map(|_| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || start_processes(&stop))
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("thread");
        }
    }
}

/// Guards against a search that leaves its sockets listening in processes that are being started.
#[test]
fn found_ports_can_be_bound_while_processes_start() {
    let starter = ProcessStarter::start();
    for _ in 0..500 {
        let ports = NodePorts::find();
        for address in [
            ports.client_address(),
            ports.readiness_address(),
            ports.peer_address(),
            ports.admin_address(),
        ] {
            TcpListener::bind(address).unwrap_or_else(|error| panic!("{address}: {error}"));
        }
    }
    starter.stop();
}

fn bind_exclusively(address: SocketAddr) -> io::Result<()> {
    TcpSocket::new_v4()?.bind(address)
}

/// Guards against two processes that find the same ports before a node listens on them.
#[test]
fn found_ports_are_not_free_for_another_search() {
    let address = NodePorts::find().client_address();
    let error = bind_exclusively(address).expect_err("a reserved port");
    assert_eq!(error.kind(), io::ErrorKind::AddrInUse);
    TcpListener::bind(address).expect("the port of a node");
}

/// Guards against a stand-in that cannot keep its port when it is closed while a process starts.
#[tokio::test]
async fn port_can_be_closed_while_processes_start() {
    let starter = ProcessStarter::start();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let port = WirePort::bind(address, Arc::new(|_, _| Box::pin(async {}))).expect("port");
    for cycle in 0..500 {
        (port.close().await).unwrap_or_else(|error| panic!("cycle {cycle}: {error}"));
        (port.open().await).unwrap_or_else(|error| panic!("cycle {cycle}: {error}"));
    }
    starter.stop();
}
