//! Supervises the tasks of a node. A panic in one of them is logged and never ends a duty silently.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tanager_kernel::panics::catch_panic;
use tokio::time;

use crate::cell::CellHandle;

/// Pause before a loop that panicked starts again, so that a panic that recurs costs little.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Spawns a loop of the node, which starts again if it panics.
///
/// Its state in `NodeContext` consists of copies of rows, which the next read replaces.
pub fn spawn_loop<L: Future<Output = Infallible> + Send + 'static>(
    name: &'static str,
    start: impl Fn() -> L + Send + 'static,
) {
    tokio::spawn(async move {
        loop {
            let Err(message) = catch_panic(start()).await;
            log::error!("event=task_panicked task={name} message={message:?}");
            time::sleep(RESTART_PAUSE).await;
        }
    });
}

/// Spawns a task that outlives the connection of the request that it belongs to.
pub fn spawn_task(name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(async move {
        if let Err(message) = catch_panic(task).await {
            log::error!("event=task_panicked task={name} message={message:?}");
        }
    });
}

impl CellHandle {
    /// Spawns a task of the cell.
    ///
    /// If it panics, its duty would end silently, so the cell is closed. The owner row still names
    /// this node, which acquires the cell again under a new token and loads what is stored.
    pub fn spawn_task(
        self: &Arc<Self>,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let cell = Arc::clone(self);
        tokio::spawn(async move {
            if let Err(message) = catch_panic(task).await {
                log::error!(
                    "event=task_panicked task={name} cell={} token={} message={message:?}",
                    cell.name,
                    cell.token
                );
                cell.close("a task of the cell panicked");
            }
        });
    }
}
