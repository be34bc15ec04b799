//! Memory of the process beside the limit from which the platform kills it.

use std::convert::Infallible;
use std::fs;
use std::time::Duration;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Unit;
use tokio::time;

/// Interval between two readings.
const READ_PERIOD: Duration = Duration::from_secs(1);
/// Share of the limit from which the memory is logged, and again for each further step of this size.
const STEP_SHARE: f64 = 0.125;
/// Share of the limit below which nothing is logged.
const QUIET_SHARE: f64 = 0.5;

/// Returns the resident memory of this process in bytes; `None` if the system does not say.
pub fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = (status.lines()).find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1_024)
}

/// Decides which readings of the memory are logged: those that reach a further step of the limit.
#[derive(Debug, Default)]
pub struct MemoryWatch {
    step: u64,
}

impl MemoryWatch {
    /// Records a reading; returns whether it is logged.
    pub fn observe(&mut self, resident: u64, limit: u64) -> bool {
        let share = resident as f64 / limit.max(1) as f64;
        let step = match share >= QUIET_SHARE {
            true => (share / STEP_SHARE) as u64,
            false => 0,
        };
        let is_higher = step > self.step;
        self.step = step;
        is_higher
    }
}

/// Logs memory that comes near the limit in bytes, without end. `count_cells` returns the number of cells that the node
/// owns.
pub(crate) async fn watch(
    limit: Option<u64>,
    count_cells: impl Fn() -> usize + Send,
) -> Infallible {
    let mut watch = MemoryWatch::default();
    loop {
        time::sleep(READ_PERIOD).await;
        let Some(limit) = limit else {
            continue;
        };
        let Some(resident) = resident_bytes() else {
            continue;
        };
        if watch.observe(resident, limit) {
            let cells = count_cells();
            log::warn!("event=memory_high resident={resident} limit={limit} cells={cells}");
        }
    }
}

/// Exports the memory and its limit, read when the metrics are.
#[derive(Debug)]
pub(crate) struct MemoryCollector {
    /// Limit in bytes, if there is one.
    pub(crate) limit: Option<u64>,
}

impl Collector for MemoryCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let gauges = [
            (
                "memory_resident",
                "Resident memory of the process",
                resident_bytes(),
            ),
            (
                "memory_limit",
                "Resident memory from which the platform kills the process",
                self.limit,
            ),
        ];
        for (name, help, value) in gauges {
            // Gauges are signed.
            let Some(value) = value.and_then(|value| i64::try_from(value).ok()) else {
                continue;
            };
            let gauge =
                encoder.encode_descriptor(name, help, Some(&Unit::Bytes), MetricType::Gauge)?;
            ConstGauge::new(value).encode(gauge)?;
        }
        Ok(())
    }
}
