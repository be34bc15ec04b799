//! Rates of bad observations on the workers of a cell.
//!
//! Load: each report and each answer to an order is an observation, which is compared with the rate of
//! all other workers. The sums over the workers are kept, so that the comparison does not grow
//! with the cell.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::worker::WorkerKey;
use crate::worker_health::CallKind;
use crate::worker_health::Observation;
use crate::worker_health::ObservedRate;

/// Kind of observations that are compared between workers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ObservationKind {
    /// Runs that failed.
    Failure,
    /// Runs that took too long.
    Duration,
    /// Calls without an answer.
    Response(CallKind),
}

/// Rates by kind and queue, for each worker. Responses do not depend on the queue, which is empty for
/// them.
#[derive(Debug, Default)]
pub struct HealthRates {
    rates: HashMap<ObservationKind, HashMap<String, QueueRates>>,
    /// Workers whose rates are not compared with.
    ejected: HashSet<WorkerKey>,
}

/// Rates of the workers for a queue, with their sums.
#[derive(Debug, Default)]
struct QueueRates {
    workers: HashMap<WorkerKey, ObservedRate>,
    bad: f64,
    total: f64,
}

impl ObservationKind {
    /// Returns the kind of an observation.
    pub fn of(observation: Observation) -> Self {
        match observation {
            Observation::Succeeded | Observation::Failed { .. } => Self::Failure,
            Observation::Slow => Self::Duration,
            Observation::Answered(kind) | Observation::Unanswered(kind) => Self::Response(kind),
        }
    }
}

impl QueueRates {
    fn record(&mut self, key: WorkerKey, is_bad: bool, now: Duration) {
        let rate = self.workers.entry(key).or_default();
        self.bad -= rate.bad;
        self.total -= rate.total;
        rate.record(is_bad, now);
        self.bad += rate.bad;
        self.total += rate.total;
    }

    /// Sums up the rates again, so that rounding does not accumulate.
    fn sum_up(&mut self) {
        self.bad = self.workers.values().map(|rate| rate.bad).sum();
        self.total = self.workers.values().map(|rate| rate.total).sum();
    }
}

impl HealthRates {
    /// Records an observation on a worker of the cell.
    pub fn record(
        &mut self,
        kind: ObservationKind,
        queue: &str,
        key: WorkerKey,
        is_bad: bool,
        now: Duration,
    ) {
        let queues = self.rates.entry(kind).or_default();
        if !queues.contains_key(queue) {
            queues.insert(queue.to_owned(), QueueRates::default());
        }
        if let Some(rates) = queues.get_mut(queue) {
            rates.record(key, is_bad, now);
        }
    }

    /// Sets whether a worker is ejected.
    pub fn set_ejected(&mut self, key: WorkerKey, is_ejected: bool) {
        match is_ejected {
            true => self.ejected.insert(key),
            false => self.ejected.remove(&key),
        };
    }

    /// Returns the number of ejected workers.
    pub fn ejected_count(&self) -> usize {
        self.ejected.len()
    }

    /// Returns the rate on the workers other than `key` that are not ejected.
    pub fn baseline(&self, kind: ObservationKind, queue: &str, key: WorkerKey) -> f64 {
        let rates = (self.rates.get(&kind)).and_then(|queues| queues.get(queue));
        let others = rates.map(|rates| {
            let ejected = self.ejected.iter().filter(|other| **other != key);
            let excluded = ejected.chain([&key]);
            let mut sum = ObservedRate::default();
            (sum.bad, sum.total) = (excluded.filter_map(|key| rates.workers.get(key)))
                .fold((rates.bad, rates.total), |(bad, total), rate| {
                    (bad - rate.bad, total - rate.total)
                });
            sum.bad = sum.bad.max(0.0);
            sum.total = sum.total.max(0.0);
            sum
        });
        ObservedRate::baseline(others)
    }

    /// Removes a worker.
    pub fn remove(&mut self, key: WorkerKey) {
        self.ejected.remove(&key);
        for rates in self.rates.values_mut().flat_map(HashMap::values_mut) {
            if rates.workers.remove(&key).is_some() {
                rates.sum_up();
            }
        }
    }

    /// Sums up the rates of all workers again.
    pub fn sum_up(&mut self) {
        let rates = self.rates.values_mut().flat_map(HashMap::values_mut);
        rates.for_each(QueueRates::sum_up);
    }
}
