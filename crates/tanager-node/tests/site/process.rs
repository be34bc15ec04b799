//! Node processes.

use std::collections::BTreeMap;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::unistd::Pid;

use crate::harness::ROOT_TOKEN;
use crate::harness::eventually;

static NEXT_DIRECTORY: AtomicUsize = AtomicUsize::new(0);

/// A node process. It is killed when dropped.
pub struct NodeProcess {
    pub name: String,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub admin_address: SocketAddr,
    child: Child,
}

impl NodeProcess {
    /// Starts a node and waits until it prints the addresses on which it listens.
    pub fn spawn(
        name: &str,
        platform: SocketAddr,
        platform_timeout: Duration,
        seeds: &[SocketAddr],
        control: &str,
    ) -> Self {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = directory.join(format!("site-{}-{number}.ini", std::process::id()));
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let peers = match seeds.is_empty() {
            true => String::new(),
            false => format!("[peers]\nseeds = {}\n", seeds.join(",")),
        };
        let settings = format!(
            "[node]\nname = {name}\nregion = region-1\nzone = zone-1\n\
             caller_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\n\
             admin_address = 127.0.0.1:0\nstop_delay = 300ms\n\
             [platform]\naddress = {platform}\ntimeout = {timeout}ms\n{peers}\
             [control]\n{control}\
             [admin]\nroot_token = {ROOT_TOKEN}\n",
            timeout = platform_timeout.as_millis(),
        );
        fs::write(&file, settings).expect("settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_tanagerladderd"))
            .arg("--config")
            .arg(&file)
            .env("RUST_LOG", "warn")
            .stdout(Stdio::piped())
            .spawn()
            .expect("node process");
        let output = child.stdout.take().expect("standard output");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("listening line");
        let addresses: BTreeMap<&str, SocketAddr> = line
            .split_whitespace()
            .filter_map(|part| part.split_once('='))
            .map(|(port_name, address)| (port_name, address.parse().expect("address")))
            .collect();
        Self {
            name: name.to_owned(),
            caller_address: addresses["caller"],
            peer_address: addresses["peer"],
            admin_address: addresses["admin"],
            child,
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process id");
        nix::sys::signal::kill(Pid::from_raw(id), signal).expect("signal");
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("kill");
        self.child.wait().expect("wait");
    }

    /// Waits until the process ends; returns its exit code.
    pub async fn wait(&mut self) -> Option<i32> {
        let mut code = None;
        eventually("the process has ended", async || {
            code = self
                .child
                .try_wait()
                .expect("wait")
                .map(|status| status.code());
            code.is_some()
        })
        .await;
        code.flatten()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Errors mean that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
