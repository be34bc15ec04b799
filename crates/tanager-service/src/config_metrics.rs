//! Version and age of the configuration in force as metrics, computed when they are read.

use std::sync::Arc;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Unit;

use crate::clock::NodeClock;
use crate::config_reads::ConfigReads;

/// Exports the state of the configuration.
#[derive(Debug)]
pub(crate) struct ConfigCollector {
    /// Reads of the operator's table.
    pub(crate) reads: Arc<ConfigReads>,
    /// Clock of the process.
    pub(crate) clock: NodeClock,
}

impl Collector for ConfigCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        if let Some(version) = self.reads.version() {
            let text = "Version of the configuration in force";
            let version_encoder =
                encoder.encode_descriptor("config_version", text, None, MetricType::Gauge)?;
            // Gauges are signed.
            let version = i64::try_from(version).unwrap_or(i64::MAX);
            ConstGauge::new(version).encode(version_encoder)?;
        }
        if let Some(age) = self.reads.verified_age(self.clock.now()) {
            let age_encoder = encoder.encode_descriptor(
                "config_age",
                "Time since the start of the last successful read of the operator's table",
                Some(&Unit::Seconds),
                MetricType::Gauge,
            )?;
            ConstGauge::new(age.as_secs_f64()).encode(age_encoder)?;
        }
        Ok(())
    }
}
