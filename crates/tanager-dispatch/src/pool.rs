//! State of one pool.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_protocol::config::PoolConfig;
use tanager_protocol::ids::TeamId;
use tanager_protocol::token_bucket::TokenBucket;

use crate::counters::DispatchCounters;
use crate::queue::PoolQueue;
use crate::retry::RetryBudget;
use crate::worker::WorkerKey;

/// One pool: configuration, queue, quotas and retry budget.
#[derive(Debug)]
pub(crate) struct PoolState {
    pub(crate) config: PoolConfig,
    /// Whether the fleet configuration contains the pool; a removed pool is kept until its requests
    /// have ended.
    pub(crate) configured: bool,
    pub(crate) queue: PoolQueue,
    pub(crate) quotas: BTreeMap<TeamId, TokenBucket>,
    pub(crate) retry_budget: RetryBudget,
    /// Counters by priority, most urgent first.
    pub(crate) counters: [DispatchCounters; 3],
    pub(crate) workers: Vec<WorkerKey>,
    /// Slots of the largest worker in any state.
    pub(crate) max_worker_slots: u32,
    /// Requests without a final action.
    pub(crate) open_requests: usize,
    /// Claims being written that hold no slot, because the store is slow.
    pub(crate) parked_claims: usize,
    /// Work that arrived since the usage was last measured, in slot-seconds.
    pub(crate) arrived_work: f64,
}

impl PoolState {
    pub(crate) fn new(weights: [u32; 3]) -> Self {
        Self {
            config: PoolConfig::default(),
            configured: true,
            queue: PoolQueue::new(weights),
            quotas: BTreeMap::new(),
            retry_budget: RetryBudget::default(),
            counters: [DispatchCounters::default(); 3],
            workers: Vec::new(),
            max_worker_slots: 0,
            open_requests: 0,
            parked_claims: 0,
            arrived_work: 0.0,
        }
    }

    pub(crate) fn configure(&mut self, config: &PoolConfig, now: Duration) {
        self.configured = true;
        self.quotas
            .retain(|team, _| config.quotas.contains_key(team));
        for (team, quota) in &config.quotas {
            self.queue.set_weight(team, quota.weight);
            let rate = f64::from(quota.rate);
            let burst = f64::from(quota.burst.max(1));
            self.quotas
                .entry(team.clone())
                .and_modify(|bucket| bucket.reconfigure(rate, burst, now))
                .or_insert_with(|| TokenBucket::new(rate, burst, now));
        }
        if self.config != *config {
            self.config = config.clone();
        }
    }

    pub(crate) fn weight(&self, team: &str) -> u32 {
        self.config.quotas.get(team).map_or(1, |quota| quota.weight)
    }
}
