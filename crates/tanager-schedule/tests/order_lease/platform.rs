//! The platform, which checks no tokens, and the checks of the orders that it receives.

use std::collections::BTreeMap;
use std::time::Duration;

use super::store::Process;

/// Minimum time between orders of two holders (`coordinator_lease`).
pub(crate) const COORDINATOR_LEASE: Duration = Duration::from_secs(3);
/// Time without disturbance after which a holder is in touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) holder: Process,
    pub(crate) token: u64,
    pub(crate) was_disturbed: bool,
}

/// A time during which a node, or all nodes, were disturbed.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    node: Option<usize>,
    start: Duration,
    end: Duration,
}

/// An order with a lower token after one with a higher token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reversal {
    /// Time between the last check of the lease and the write of the order.
    pub(crate) unchecked_time: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct Platform {
    disturbances: Vec<Disturbance>,
    /// Last order to each VM, and the one with the highest token.
    last: BTreeMap<usize, (Arrival, Arrival)>,
    holders: BTreeMap<u64, Process>,
    pub(crate) orders: usize,
    pub(crate) last_order_at: BTreeMap<usize, Duration>,
    pub(crate) reversals: Vec<Reversal>,
    /// Shortest time between orders of two holders that were in touch, and of any two.
    pub(crate) shortest_gap: Option<Duration>,
    pub(crate) shortest_disturbed_gap: Option<Duration>,
    pub(crate) violations: Vec<String>,
}

impl Platform {
    pub(crate) fn disturb(&mut self, node: Option<usize>, start: Duration, end: Duration) {
        self.disturbances.push(Disturbance { node, start, end });
    }

    fn was_disturbed(&self, node: usize, now: Duration) -> bool {
        (self.disturbances.iter()).any(|disturbance| {
            disturbance.node.is_none_or(|other| other == node)
                && disturbance.start <= now
                && disturbance.end + CONTACT_TIME >= now
        })
    }

    pub(crate) fn holder_count(&self) -> usize {
        self.holders.len()
    }

    /// Checks an order to a VM that has arrived.
    pub(crate) fn receive(
        &mut self,
        now: Duration,
        vm: usize,
        holder: Process,
        token: u64,
        unchecked_time: Duration,
    ) {
        self.orders += 1;
        self.last_order_at.insert(vm, now);
        let first_holder = *self.holders.entry(token).or_insert(holder);
        if first_holder != holder {
            self.violations.push(format!(
                "two holders of token {token} at {now:?}: {first_holder:?} and {holder:?}"
            ));
        }
        let arrival = Arrival {
            at: now,
            holder,
            token,
            was_disturbed: self.was_disturbed(holder.node, now),
        };
        let Some((last, highest)) = self.last.get(&vm).copied() else {
            self.last.insert(vm, (arrival, arrival));
            return;
        };
        if token < highest.token {
            self.reversals.push(Reversal { unchecked_time });
            self.violations.push(format!(
                "VM {vm}: token {token} of {holder:?} at {now:?} after token {} of {:?} at {:?}",
                highest.token, highest.holder, highest.at
            ));
        }
        if last.holder != holder {
            let gap = now.saturating_sub(last.at);
            shorten(&mut self.shortest_disturbed_gap, gap);
            if !arrival.was_disturbed && !last.was_disturbed {
                shorten(&mut self.shortest_gap, gap);
                if gap < COORDINATOR_LEASE {
                    self.violations.push(format!(
                        "VM {vm}: {holder:?} (token {token}) at {now:?}, only {gap:?} after {:?} \
                         (token {})",
                        last.holder, last.token
                    ));
                }
            }
        }
        let highest = match token >= highest.token {
            true => arrival,
            false => highest,
        };
        self.last.insert(vm, (arrival, highest));
    }
}

pub(crate) fn shorten(shortest: &mut Option<Duration>, gap: Duration) {
    *shortest = Some(shortest.map_or(gap, |other| other.min(gap)));
}
