//! Report of a load run: outcome counts and latencies.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use tanager_protocol::request::RequestPriority;

use crate::verification::CallerOutcome;
use crate::verification::CallerRecord;

/// One hour; longer latencies are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// Result of a load run.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Records of all requests.
    pub records: Vec<CallerRecord>,
    /// Number of requests by the name of their final outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of retries.
    pub retries: u64,
    /// Latency in microseconds of answered requests, from the planned start to the last byte.
    pub latencies: BTreeMap<RequestPriority, Histogram<u64>>,
}

impl LoadReport {
    /// Adds a finished request.
    pub fn add(&mut self, priority: RequestPriority, record: CallerRecord, latency: Duration) {
        self.retries += record.outcomes.len().saturating_sub(1) as u64;
        if let Some(outcome) = record.outcomes.last() {
            *self.outcomes.entry(outcome.name()).or_default() += 1;
            if matches!(outcome, CallerOutcome::Answered { .. }) {
                let histogram = self.latencies.entry(priority).or_insert_with(|| {
                    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
                        .expect("the bounds are valid")
                });
                histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
            }
        }
        self.records.push(record);
    }

    /// Returns the number of requests whose final outcome has this name.
    pub fn count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or_default()
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "requests {} retries {}",
            self.records.len(),
            self.retries
        )?;
        for (name, count) in &self.outcomes {
            write!(formatter, "\noutcome {name} {count}")?;
        }
        for (priority, histogram) in &self.latencies {
            let quantile = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
            write!(
                formatter,
                "\nlatency {} count={} p50={:.1}ms p99={:.1}ms",
                priority.as_str(),
                histogram.len(),
                quantile(0.5),
                quantile(0.99)
            )?;
        }
        Ok(())
    }
}
