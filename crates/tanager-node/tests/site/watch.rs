//! Monitors the log version and the configuration that nodes report during a test (R8).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::time;

use crate::harness::get_json;
use crate::process::NodeProcess;

const PERIOD: Duration = Duration::from_millis(100);

/// Log version and configuration that a node reported in one response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedConfig {
    pub version: u64,
    pub configured_version: u64,
    pub document: Value,
}

/// Reads the configuration that a node reports.
pub async fn read_config(admin: SocketAddr) -> Option<ObservedConfig> {
    let page = get_json(admin, "/v1/config").await?;
    Some(ObservedConfig {
        version: page["version"].as_u64()?,
        configured_version: page["configured_version"].as_u64()?,
        document: page["document"].clone(),
    })
}

/// Polls nodes until it is finished. A node that does not respond is polled again.
pub struct ConfigWatcher {
    done: Arc<AtomicBool>,
    watches: Vec<(String, JoinHandle<usize>)>,
}

impl ConfigWatcher {
    pub fn spawn<'a>(nodes: impl IntoIterator<Item = &'a NodeProcess>) -> Self {
        let mut watcher = Self {
            done: Arc::default(),
            watches: Vec::new(),
        };
        for node in nodes {
            watcher.add(node);
        }
        watcher
    }

    pub fn add(&mut self, node: &NodeProcess) {
        let (name, admin) = (node.name.clone(), node.admin_address);
        let watch = tokio::spawn(watch_node(name.clone(), admin, Arc::clone(&self.done)));
        self.watches.push((name, watch));
    }

    /// Ends the polling. Panics if any node reported an older state after a newer one.
    pub async fn finish(self) {
        self.done.store(true, Ordering::SeqCst);
        for (name, watch) in self.watches {
            let readings = watch.await.expect("the node reverted its state");
            assert!(readings >= 10, "{name} responded only {readings} times");
        }
    }
}

async fn watch_node(name: String, admin: SocketAddr, done: Arc<AtomicBool>) -> usize {
    let mut newest: Option<ObservedConfig> = None;
    let mut readings = 0;
    while !done.load(Ordering::SeqCst) {
        if let Some(reading) = read_config(admin).await {
            readings += 1;
            if let Some(before) = &newest {
                let grows = reading.version >= before.version
                    && reading.configured_version >= before.configured_version;
                assert!(grows, "{name}: {reading:?} after {before:?}");
                let same = reading.configured_version == before.configured_version;
                let changed = reading.document != before.document;
                assert!(same != changed, "{name}: {reading:?} after {before:?}");
            }
            newest = Some(reading);
        }
        time::sleep(PERIOD).await;
    }
    readings
}
