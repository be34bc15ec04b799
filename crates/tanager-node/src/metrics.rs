//! The metrics page, which reads its values from the services on each request.

use std::fmt;
use std::fs;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::NoLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::Registry;

/// Labels of one sample.
pub type SampleLabels = Vec<(&'static str, String)>;

/// One value of a metric.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricSample {
    /// Labels that distinguish this sample from others of the same metric.
    pub labels: SampleLabels,
    /// Value in the unit of the metric.
    pub value: f64,
}

impl MetricSample {
    /// Returns one sample without labels.
    pub fn single(value: f64) -> Vec<Self> {
        vec![Self {
            labels: Vec::new(),
            value,
        }]
    }
}

/// Type of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricKind {
    /// Starts at 0 with the process and only increases.
    Counter,
    /// Can increase and decrease.
    Gauge,
}

/// A metric with a function that reads its samples.
pub struct MetricSource {
    /// Name without the `tanager_` prefix; a counter gets the suffix `_total` on the page.
    pub name: &'static str,
    /// Help text, including the unit.
    pub help: &'static str,
    /// Type of the metric.
    pub kind: MetricKind,
    /// Reads all samples.
    pub read: Box<dyn Fn() -> Vec<MetricSample> + Send + Sync>,
}

impl fmt::Debug for MetricSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("MetricSource")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Collector for MetricSource {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        let kind = match self.kind {
            MetricKind::Counter => MetricType::Counter,
            MetricKind::Gauge => MetricType::Gauge,
        };
        let mut metric = encoder.encode_descriptor(self.name, self.help, None, kind)?;
        for sample in (self.read)() {
            let mut sample_encoder = metric.encode_family(&sample.labels)?;
            match self.kind {
                MetricKind::Counter => {
                    sample_encoder.encode_counter::<NoLabelSet, _, u64>(&sample.value, None)?;
                }
                MetricKind::Gauge => sample_encoder.encode_gauge(&sample.value)?,
            }
        }
        Ok(())
    }
}

/// All metrics of one process in the Prometheus text format.
#[derive(Debug)]
pub struct MetricsPage {
    registry: Registry,
}

impl MetricsPage {
    /// Creates a page of the given metrics and of the resource usage of this process.
    pub fn new(sources: Vec<MetricSource>) -> Self {
        let mut registry = Registry::with_prefix("tanager");
        for source in sources.into_iter().chain(process_sources()) {
            registry.register_collector(Box::new(source));
        }
        Self { registry }
    }

    /// Returns the page in the text format; empty if a metric cannot be encoded.
    pub fn render(&self) -> String {
        let mut page = String::new();
        match text::encode(&mut page, &self.registry) {
            Ok(()) => page,
            Err(_) => String::new(),
        }
    }
}

/// Clock ticks per second in `/proc/self/stat` on Linux.
const CLOCK_TICKS: f64 = 100.0;
/// Size of a memory page on x86-64 Linux.
const PAGE_BYTES: f64 = 4_096.0;

fn process_sources() -> Vec<MetricSource> {
    vec![
        MetricSource {
            name: "process_cpu_seconds",
            help: "Processor time of this process, in seconds",
            kind: MetricKind::Counter,
            read: Box::new(|| cpu_seconds().map_or_else(Vec::new, MetricSample::single)),
        },
        MetricSource {
            name: "process_resident_bytes",
            help: "Resident memory of this process, in bytes",
            kind: MetricKind::Gauge,
            read: Box::new(|| resident_bytes().map_or_else(Vec::new, MetricSample::single)),
        },
    ]
}

fn cpu_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The command name may contain spaces, so fields are counted from its closing parenthesis.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / CLOCK_TICKS)
}

fn resident_bytes() -> Option<f64> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
