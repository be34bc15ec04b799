//! Measurement of the load that is offered to each pool.

use std::time::Duration;

use tanager_protocol::ids::PoolId;

use crate::core::DispatchCore;
use crate::select;

/// Load of one pool since the previous measurement.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolUsage {
    /// The pool.
    pub pool: PoolId,
    /// Offered load in slots: arrivals per second times slots times the mean run time of their
    /// flow.
    pub offered: f64,
    /// Slots that may be in use at once.
    pub capacity: u32,
}

impl DispatchCore {
    /// Returns the load of the pools for which this node is home, and starts a new measurement.
    ///
    /// Requests refused for a full queue count, because a larger pool would run them; those
    /// refused for another reason do not.
    pub fn measure_usage(&mut self, now: Duration) -> Vec<PoolUsage> {
        let elapsed = now.saturating_sub(self.usage_window_start).as_secs_f64();
        self.usage_window_start = now;
        let mut usage = Vec::new();
        for (name, pool) in &mut self.pools {
            let arrived = std::mem::take(&mut pool.arrived_work);
            let is_home = self
                .home_pools
                .as_ref()
                .is_none_or(|homes| homes.contains(name));
            if is_home && pool.configured && elapsed > 0.0 {
                usage.push(PoolUsage {
                    pool: name.clone(),
                    offered: arrived / elapsed,
                    capacity: select::capacity(pool, &self.workers),
                });
            }
        }
        usage
    }
}
