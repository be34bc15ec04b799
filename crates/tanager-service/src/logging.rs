//! Structured log on standard output that never blocks its callers.
//!
//! Lines pass through a bounded queue to a writer thread. When the queue is full, lines are dropped
//! and counted; the next line that fits reports their number.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use log::Log;
use log::Metadata;
use log::Record;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;

use crate::cpu_time;
use crate::cpu_time::Duty;

/// Capacity of the queue, in lines; at 200 bytes a line it takes at most 400 KB.
const QUEUE_CAPACITY: usize = 2_048;
/// Pause before each write, so that lines are written in batches.
const WRITE_PERIOD: Duration = Duration::from_millis(250);

/// Logger that queues its lines for the writer thread.
struct QueueLogger {
    node: String,
    filter: env_logger::Logger,
    lines: Sender<String>,
    dropped: AtomicU64,
}

/// Installs the logger of the process and starts its writer thread.
///
/// `filter` has the syntax of `RUST_LOG`: a level, or levels by target as in
/// `info,tanager::runs=debug`. Lines that it does not mention are logged from level `info`.
///
/// # Errors
///
/// [`ErrorKind::Internal`] if a logger is already installed or the thread cannot be started.
pub fn install(node: &str, filter: &str) -> TanagerResult<()> {
    let failure =
        |error: String| TanagerError::new(ErrorKind::Internal, "install logger", node, error);
    let filter = env_logger::Builder::new()
        .filter_level(log::LevelFilter::Info)
        .parse_filters(filter)
        .build();
    let level = filter.filter();
    let (lines, queue) = bounded(QUEUE_CAPACITY);
    let logger = QueueLogger {
        node: node.to_owned(),
        filter,
        lines,
        dropped: AtomicU64::new(0),
    };
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queue))
        .map_err(|error| failure(error.to_string()))?;
    log::set_boxed_logger(Box::new(logger)).map_err(|error| failure(error.to_string()))?;
    log::set_max_level(level);
    Ok(())
}

fn write_lines(queue: &Receiver<String>) {
    let mut batch = String::new();
    while let Ok(first) = queue.recv() {
        // Collect more lines, so that one write covers many of them.
        thread::sleep(WRITE_PERIOD);
        cpu_time::measured(Duty::LogWriter, || {
            batch.push_str(&first);
            while let Ok(line) = queue.try_recv() {
                batch.push_str(&line);
            }
            // A closed standard output must not stop the node.
            let _ = std::io::stdout().write_all(batch.as_bytes());
            batch.clear();
        });
    }
}

impl Log for QueueLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("tanager") && self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        cpu_time::measured(Duty::LogLines, || self.queue_line(record));
    }

    fn flush(&self) {}
}

impl QueueLogger {
    fn queue_line(&self, record: &Record<'_>) {
        let time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, |elapsed| elapsed.as_secs_f64());
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let mut line = format!(
            "time={time:.3} level={} node={} {}",
            record.level().as_str().to_ascii_lowercase(),
            self.node,
            record.args()
        );
        if dropped > 0 {
            line.push_str(&format!(" dropped_lines={dropped}"));
        }
        line.push('\n');
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }
}
