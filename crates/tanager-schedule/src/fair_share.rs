//! Division of a cell's capacity among workspaces: weighted max-min fairness by dominant resource.
//!
//! The dominant share of a workspace is the largest of its shares in processors, memory and
//! accelerators. All workspaces with demand grow at a rate proportional to their weight until their
//! demand is met or a resource that they use is exhausted, so unused parts go to the others.

use tanager_jobs::ResourceAmount;

/// Relative distance that use must keep from the share before a workspace changes sides. Without
/// it, a workspace near its share would change its rank with each start.
const CHANGE_MARGIN: f64 = 0.1;
/// Shares that differ by less than this are equal.
const TOLERANCE: f64 = 1e-9;
const RESOURCES: usize = 3;

/// Demand of a workspace in a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceDemand {
    /// Weight relative to other workspaces.
    pub weight: f64,
    /// Resources reserved by its runs.
    pub used: ResourceAmount,
    /// Resources that its waiting tasks request.
    pub waiting: ResourceAmount,
    /// Whether it was below its share when the shares were last computed.
    pub was_below: bool,
}

/// Share of a workspace in a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceShare {
    /// Dominant share that it is entitled to: at most its demand; 1 is the whole cell.
    pub entitlement: f64,
    /// Dominant share that it uses.
    pub used: f64,
    /// Whether it uses less than it could use before others have a better claim.
    pub is_below: bool,
}

/// A workspace while the shares grow.
struct GrowingShare {
    weight: f64,
    /// Share of each resource per unit of dominant share.
    profile: [f64; RESOURCES],
    demand: f64,
    share: f64,
    is_growing: bool,
}

/// Returns the share of each workspace, in the order of `demands`.
pub fn divide_capacity(
    capacity: &ResourceAmount,
    demands: &[WorkspaceDemand],
) -> Vec<WorkspaceShare> {
    let mut shares: Vec<GrowingShare> = (demands.iter())
        .map(|demand| {
            let wanted = fractions(&demand.used.plus(&demand.waiting), capacity);
            let dominant = largest(&wanted);
            let weight = demand.weight.max(0.0);
            GrowingShare {
                weight,
                profile: wanted.map(|part| if dominant > 0.0 { part / dominant } else { 0.0 }),
                demand: dominant,
                share: 0.0,
                is_growing: dominant > 0.0 && weight > 0.0,
            }
        })
        .collect();
    let level = grow(&mut shares);
    (demands.iter().zip(shares))
        .map(|(demand, share)| {
            let used = largest(&fractions(&demand.used, capacity));
            let margin = match demand.was_below {
                true => 1.0 + CHANGE_MARGIN,
                false => 1.0 - CHANGE_MARGIN,
            };
            // One whose demand is met has a claim to more than it demands.
            let is_below = match level {
                None => true,
                Some(level) => used < share.weight * level * margin,
            };
            WorkspaceShare {
                entitlement: share.share,
                used,
                is_below,
            }
        })
        .collect()
}

/// Grows the shares; returns the final share per unit of weight, or `None` if all demand is met.
fn grow(shares: &mut [GrowingShare]) -> Option<f64> {
    let mut free = [1.0; RESOURCES];
    let mut level = 0.0;
    let mut is_exhausted = false;
    loop {
        let mut rates = [0.0; RESOURCES];
        let mut step = f64::INFINITY;
        for share in shares.iter().filter(|share| share.is_growing) {
            step = step.min((share.demand - share.share) / share.weight);
            for (rate, part) in rates.iter_mut().zip(share.profile) {
                *rate += share.weight * part;
            }
        }
        if step.is_infinite() {
            return is_exhausted.then_some(level);
        }
        for (rate, free) in rates.iter().zip(free) {
            if *rate > 0.0 {
                step = step.min(free / rate);
            }
        }
        level += step;
        for (free, rate) in free.iter_mut().zip(rates) {
            *free -= rate * step;
        }
        for share in shares.iter_mut().filter(|share| share.is_growing) {
            share.share += share.weight * step;
            let is_met = share.demand - share.share <= TOLERANCE;
            let is_limited = (share.profile.iter().zip(free))
                .any(|(part, free)| *part > 0.0 && free <= TOLERANCE);
            is_exhausted |= is_limited && !is_met;
            share.is_growing = !is_met && !is_limited;
        }
    }
}

/// Returns the amount as shares of the capacity. What the cell does not have has no share: tasks
/// that request it never start there.
fn fractions(amount: &ResourceAmount, capacity: &ResourceAmount) -> [f64; RESOURCES] {
    let part = |amount: u64, capacity: u64| match capacity {
        0 => 0.0,
        _ => amount as f64 / capacity as f64,
    };
    [
        part(amount.cpu, capacity.cpu),
        part(amount.memory_mb, capacity.memory_mb),
        part(amount.gpu, capacity.gpu),
    ]
}

fn largest(parts: &[f64; RESOURCES]) -> f64 {
    parts.iter().copied().fold(0.0, f64::max)
}
