//! Service registry of a process. Services register by name, look each other up by name, stop in
//! reverse order of their start and contribute to the state dump.

pub mod panics;

use std::any::Any;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::PoisonError;

use crossbeam::sync::ShardedLock;
use serde_json::Value;

use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;

/// Future that ends when a service has stopped.
pub type StopFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Name of a service and the type of its handle.
pub trait ServiceName {
    /// Running handle of the service.
    type Handle: Send + Sync + 'static;
    /// Name in the registry and in the state dump.
    const NAME: &'static str;
}

/// Callbacks by which the kernel stops and inspects a service.
pub struct ServiceHooks {
    /// Stops the service; called once.
    pub stop: Box<dyn FnOnce() -> StopFuture + Send + Sync>,
    /// Returns the state of the service for the dump.
    pub dump: Box<dyn Fn() -> Value + Send + Sync>,
}

impl ServiceHooks {
    /// Creates hooks of a service that needs no stop.
    pub fn dump_only(dump: impl Fn() -> Value + Send + Sync + 'static) -> Self {
        Self {
            stop: Box::new(|| Box::pin(std::future::ready(()))),
            dump: Box::new(dump),
        }
    }
}

struct ServiceEntry {
    name: &'static str,
    handle: Arc<dyn Any + Send + Sync>,
    hooks: ServiceHooks,
}

/// Registry of the services of one process.
#[derive(Default)]
pub struct ServiceKernel {
    /// Services in the order of their start.
    services: ShardedLock<Vec<ServiceEntry>>,
}

impl ServiceKernel {
    /// Creates a kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a running service.
    ///
    /// # Errors
    ///
    /// Kind `Internal` when a service of this name is already registered.
    pub fn register<N: ServiceName>(
        &self,
        handle: Arc<N::Handle>,
        hooks: ServiceHooks,
    ) -> TanagerResult<()> {
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if services.iter().any(|entry| entry.name == N::NAME) {
            let message = "a service of this name is already registered";
            return Err(TanagerError::new(
                ErrorKind::Internal,
                "register",
                N::NAME,
                message,
            ));
        }
        services.push(ServiceEntry {
            name: N::NAME,
            handle,
            hooks,
        });
        Ok(())
    }

    /// Finds a service by name.
    ///
    /// # Errors
    ///
    /// Kind `NotReady` when no such service runs.
    pub fn find<N: ServiceName>(&self) -> TanagerResult<Arc<N::Handle>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services
            .iter()
            .find(|entry| entry.name == N::NAME)
            .and_then(|entry| Arc::clone(&entry.handle).downcast::<N::Handle>().ok())
            .ok_or_else(|| {
                TanagerError::new(ErrorKind::NotReady, "find", N::NAME, "no such service runs")
            })
    }

    /// Returns the state of every service by name.
    pub fn dump(&self) -> Value {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let states: BTreeMap<&str, Value> = services
            .iter()
            .map(|entry| (entry.name, (entry.hooks.dump)()))
            .collect();
        serde_json::json!(states)
    }

    /// Stops all services, the newest first.
    pub async fn stop(&self) {
        loop {
            let newest = self
                .services
                .write()
                .unwrap_or_else(PoisonError::into_inner)
                .pop();
            let Some(entry) = newest else { return };
            (entry.hooks.stop)().await;
        }
    }
}
