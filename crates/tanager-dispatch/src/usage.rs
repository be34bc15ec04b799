//! Measurement of the load that is offered to each pool.

use std::time::Duration;

use tanager_protocol::ids::PoolId;

use crate::core::DispatchCore;
use crate::select;

/// Load of one pool over the time since the measurement before.
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
        let passed = now.saturating_sub(self.usage_since).as_secs_f64();
        self.usage_since = now;
        let mut usage = Vec::new();
        for (name, pool) in &mut self.pools {
            let arrived = std::mem::take(&mut pool.arrived);
            let is_home = self.homes.as_ref().is_none_or(|homes| homes.contains(name));
            if is_home && pool.present && passed > 0.0 {
                usage.push(PoolUsage {
                    pool: name.clone(),
                    offered: arrived / passed,
                    capacity: select::capacity(pool, &self.workers),
                });
            }
        }
        usage
    }
}
