//! Selection of the next request and of its worker.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use slotmap::SlotMap;

use tanager_protocol::ids::TeamId;
use tanager_protocol::request::RequestPriority;

use crate::action::RequestKey;
use crate::pool::PoolState;
use crate::request::RequestEntry;
use crate::request::RequestState;
use crate::worker::WorkerKey;
use crate::worker::WorkerTable;

/// Request and worker chosen by [`choose_request`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct DispatchChoice {
    pub(crate) key: RequestKey,
    pub(crate) worker: WorkerKey,
}

/// Slots that a pool can use at once.
pub(crate) fn capacity(pool: &PoolState, workers: &WorkerTable) -> u32 {
    pool.workers
        .iter()
        .filter_map(|key| workers.entries.get(*key))
        .filter(|worker| worker.is_assignable() && !worker.is_failing())
        .map(|worker| worker.limit.current())
        .sum()
}

/// Whether a worker outside `tried_workers` can run the request, now or once it has free slots.
pub(crate) fn has_candidate(
    pool: &PoolState,
    workers: &WorkerTable,
    slots: u32,
    tried_workers: &[WorkerKey],
) -> bool {
    pool.workers.iter().any(|key| {
        !tried_workers.contains(key)
            && workers.entries.get(*key).is_some_and(|worker| {
                worker.is_assignable() && !worker.suspended && slots <= worker.limit.declared()
            })
    })
}

/// Chooses the next request that a worker has room for. A request for several slots that fits
/// nowhere reserves one worker, so that smaller requests cannot delay it indefinitely; other flows
/// continue on the other workers.
pub(crate) fn choose_request(
    pool: &mut PoolState,
    workers: &mut WorkerTable,
    requests: &SlotMap<RequestKey, RequestEntry>,
    random: &mut StdRng,
    now: Duration,
) -> Option<DispatchChoice> {
    let is_queued = |key: RequestKey| {
        requests
            .get(key)
            .is_some_and(|request| request.state == RequestState::Queued)
    };
    clear_stale_reservations(pool, workers, is_queued);
    let any_has_room = pool.workers.iter().any(|key| {
        workers.entries.get(*key).is_some_and(|worker| {
            worker.is_assignable() && !worker.suspended && worker.has_room_for(1, now)
        })
    });
    if !any_has_room {
        return None;
    }
    let slots = capacity(pool, workers);
    let mut blocked: Vec<(RequestPriority, TeamId)> = Vec::new();
    loop {
        let (priority, team, key) = pool.queue.select_next(now, slots, &blocked, is_queued)?;
        let request = requests.get(key)?;
        if let Some(worker) = pick_worker(pool, workers, random, now, key, request) {
            return Some(DispatchChoice { key, worker });
        }
        if request.slots > 1 {
            reserve_worker(pool, workers, key, request);
        }
        blocked.push((priority, team));
    }
}

fn clear_stale_reservations(
    pool: &PoolState,
    workers: &mut WorkerTable,
    is_queued: impl Fn(RequestKey) -> bool,
) {
    for key in &pool.workers {
        if let Some(worker) = workers.entries.get_mut(*key)
            && worker.reserved_for.is_some_and(|request| {
                !is_queued(request) || !worker.is_assignable() || worker.is_failing()
            })
        {
            worker.reserved_for = None;
        }
    }
}

/// Worker with the least relative load among those with room, ties broken at random.
fn pick_worker(
    pool: &PoolState,
    workers: &WorkerTable,
    random: &mut StdRng,
    now: Duration,
    key: RequestKey,
    request: &RequestEntry,
) -> Option<WorkerKey> {
    let mut best: Option<(f64, WorkerKey)> = None;
    let mut ties = 0_u32;
    for candidate in &pool.workers {
        let Some(worker) = workers.entries.get(*candidate) else {
            continue;
        };
        let eligible = worker.is_assignable()
            && !worker.suspended
            && worker.reserved_for.is_none_or(|reserved| reserved == key)
            && !request.tried_workers.contains(candidate)
            && worker.has_room_for(request.slots, now);
        if !eligible {
            continue;
        }
        let load = worker.relative_load();
        match best {
            Some((least, _)) if load > least => {}
            Some((least, _)) if load >= least => {
                ties += 1;
                if random.random_range(0..=ties) == 0 {
                    best = Some((load, *candidate));
                }
            }
            _ => {
                ties = 0;
                best = Some((load, *candidate));
            }
        }
    }
    best.map(|(_, worker)| worker)
}

fn reserve_worker(
    pool: &PoolState,
    workers: &mut WorkerTable,
    key: RequestKey,
    request: &RequestEntry,
) {
    let usable = |worker: &&WorkerKey| {
        workers.entries.get(**worker).is_some_and(|entry| {
            entry.is_assignable()
                && !entry.is_failing()
                && request.slots <= entry.limit.declared()
                && !request.tried_workers.contains(*worker)
        })
    };
    let reserved = |worker: &WorkerKey| {
        workers
            .entries
            .get(*worker)
            .is_some_and(|entry| entry.reserved_for.is_some())
    };
    // One reservation per pool limits the reserved idle slots to those of one worker.
    if pool.workers.iter().any(reserved) {
        return;
    }
    let least_used = pool
        .workers
        .iter()
        .filter(usable)
        .min_by_key(|worker| {
            workers
                .entries
                .get(**worker)
                .map_or(0, |entry| entry.used_slots)
        })
        .copied();
    if let Some(entry) = least_used.and_then(|worker| workers.entries.get_mut(worker)) {
        entry.reserved_for = Some(key);
    }
}
