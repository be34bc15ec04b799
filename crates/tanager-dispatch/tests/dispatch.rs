//! Limits, retries, ejection, time limits, claims and probes of the state machine.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tanager_dispatch::ClaimReport;
use tanager_dispatch::DispatchAction;
use tanager_dispatch::DispatchCore;
use tanager_dispatch::ProbeReport;
use tanager_dispatch::RequestKey;
use tanager_dispatch::SendReport;
use tanager_protocol::config::TeamQuota;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::request::RequestPriority;
use tanager_protocol::request::RequestSummary;

use support::is_finished;
use support::ms;
use support::new_core;
use support::new_fleet;
use support::normal_request;
use support::refusal_reason;
use support::request;
use support::sent_vms;

const ANSWERED: SendReport = SendReport::Answered {
    latency: Duration::from_millis(100),
};
const FAILED: SendReport = SendReport::Failed {
    latency: Duration::from_millis(1),
    shutting_down: false,
};

/// Defines one test per case; its documentation states the failure that it guards against.
macro_rules! cases {
    ($($(#[doc = $guard:literal])+ $name:ident $body:block)*) => {
        $($(#[doc = $guard])+ #[test] fn $name() $body)*
    };
}

/// Submits copies of a request until one is queued. Returns the VM of each sent request, and the
/// queued request.
fn fill_workers(
    core: &mut DispatchCore,
    now: Duration,
    request: &RequestSummary,
) -> (BTreeMap<RequestKey, String>, RequestKey) {
    let mut sent = BTreeMap::new();
    loop {
        let (key, actions) = core.submit(now, request.clone());
        if actions.is_empty() {
            return (sent, key);
        }
        sent.extend(sent_vms(&actions));
    }
}

/// Submits one request and reports the result of each attempt with `report` until its final action.
/// Returns the request, the VMs to which it was sent and the last actions.
fn run_request(
    core: &mut DispatchCore,
    now: Duration,
    request: RequestSummary,
    report: impl Fn(&str) -> SendReport,
) -> (RequestKey, Vec<String>, Vec<DispatchAction>) {
    let (key, mut actions) = core.submit(now, request);
    let mut vms = Vec::new();
    while let Some(vm) = sent_vms(&actions).get(&key).cloned() {
        actions = core.send_finished(now, key, report(&vm));
        vms.push(vm);
    }
    (key, vms, actions)
}

fn first_vm(vms: &[String]) -> &str {
    vms.first().map_or("", String::as_str)
}

cases! {
    /// Guards against a request that waits beyond the time limit of its queue or is refused early.
    urgent_is_refused_exactly_at_its_age_limit {
        let mut core = new_core(&new_fleet(&[("pool", 1, 1)]));
        fill_workers(&mut core, ms(0), &normal_request("pool"));
        let (key, _) = core.submit(ms(5), request("pool", "other", RequestPriority::Urgent));
        assert_eq!(refusal_reason(&core.tick(ms(9_904)), key), None);
        assert!(core.next_deadline().is_some_and(|next| next <= ms(9_905)));
        assert_eq!(refusal_reason(&core.tick(ms(9_905)), key), Some(NotRunReason::QueueTimeout));
    }

    /// Guards against an expired request that starts because another event arrives before `tick`.
    freed_slot_does_not_start_an_expired_request {
        let mut core = new_core(&new_fleet(&[("pool", 1, 1)]));
        let (sent, queued) =
            fill_workers(&mut core, ms(0), &request("pool", "t", RequestPriority::Urgent));
        let key = *sent.keys().next().expect("one was sent");
        let actions = core.send_finished(ms(9_900), key, ANSWERED);
        assert!(is_finished(&actions, key));
        assert_eq!(refusal_reason(&actions, queued), Some(NotRunReason::QueueTimeout));
        assert!(sent_vms(&actions).is_empty());
    }

    /// Guards against a sent request that continues after its deadline, keeps its slot, or is
    /// reported as not run.
    sent_request_finishes_exactly_at_its_deadline {
        let mut core = new_core(&new_fleet(&[("pool", 1, 1)]));
        let (key, _) =
            core.submit(ms(0), RequestSummary { timeout: ms(700), ..normal_request("pool") });
        assert!(!is_finished(&core.tick(ms(699)), key));
        assert_eq!(core.in_flight("pool-0"), 1);
        assert!(is_finished(&core.tick(ms(700)), key));
        assert_eq!(core.in_flight("pool-0"), 0);
        assert!(core.send_finished(ms(701), key, ANSWERED).is_empty());
    }

    /// Guards against queueing requests that cannot start in time, and against a retry-after that
    /// is too short.
    long_estimated_wait_is_refused_with_the_drain_time {
        let mut core = new_core(&new_fleet(&[("pool", 1, 1)]));
        let urgent = request("pool", "t", RequestPriority::Urgent);
        let (key, _) = core.submit(ms(0), urgent.clone());
        core.send_finished(ms(2_000), key, SendReport::Answered { latency: ms(2_000) });
        let mut queued = 0;
        let (reason, wait) = loop {
            let (_, actions) = core.submit(ms(2_000), urgent.clone());
            match actions.first() {
                None => queued += 1,
                Some(DispatchAction::Refuse { reason, retry_after, .. }) =>
                    break (*reason, *retry_after),
                Some(_) => {}
            }
        };
        assert_eq!((queued, reason), (5, NotRunReason::QueueFull));
        assert_eq!(wait, Some(ms(10_000)));
    }

    /// Guards against a flood of urgent work that starves normal and batch work.
    urgent_flood_leaves_others_their_share {
        let mut core = new_core(&new_fleet(&[("pool", 1, 13)]));
        let mut running = Vec::new();
        let mut started = BTreeMap::new();
        let mut classes = BTreeMap::new();
        let record_sent = |actions: &[DispatchAction], running: &mut Vec<RequestKey>| {
            running.extend(sent_vms(actions).into_keys());
        };
        for round in 0..300_u64 {
            let now = ms(round * 100);
            for (priority, count) in RequestPriority::ALL.into_iter().zip([20, 10, 10]) {
                for _ in 0..count {
                    let (key, actions) = core.submit(now, request("pool", "t", priority));
                    classes.insert(key, priority);
                    record_sent(&actions, &mut running);
                }
            }
            for key in std::mem::take(&mut running) {
                *started.entry(classes[&key]).or_insert(0_u32) += 1;
                let actions = core.send_finished(now + ms(100), key, ANSWERED);
                record_sent(&actions, &mut running);
            }
        }
        let total: u32 = started.values().sum();
        let share = |priority| f64::from(started[&priority]) / f64::from(total);
        assert!((0.58..0.65).contains(&share(RequestPriority::Urgent)), "{started:?}");
        assert!(share(RequestPriority::Normal) > 0.29, "{started:?}");
        assert!(share(RequestPriority::Batch) > 0.07, "{started:?}");
    }

    /// Guards against a flood of batch work that delays urgent work beyond the first free slot.
    urgent_takes_the_first_free_slot_in_a_batch_flood {
        let mut core = new_core(&new_fleet(&[("pool", 2, 4)]));
        let batch = request("pool", "flood", RequestPriority::Batch);
        let (sent, _) = fill_workers(&mut core, ms(0), &batch);
        for _ in 0..200 {
            core.submit(ms(1), batch.clone());
        }
        let (urgent, _) = core.submit(ms(2), request("pool", "other", RequestPriority::Urgent));
        let key = *sent.keys().next().expect("one was sent");
        assert!(sent_vms(&core.send_finished(ms(3), key, ANSWERED)).contains_key(&urgent));
    }

    /// Guards against fairness by number of requests, which gives long requests more than their
    /// share.
    fairness_counts_slot_time {
        let mut core = new_core(&new_fleet(&[("pool", 1, 2)]));
        let mut running: Vec<(Duration, RequestKey)> = Vec::new();
        let mut request_teams = BTreeMap::new();
        let mut waiting = [0_u32; 2];
        let mut busy = [0_u64; 2];
        let run_time = [ms(200), ms(20)];
        for round in 0..5_000_u64 {
            let now = ms(round * 10);
            let mut started = Vec::new();
            for (team_index, team) in ["long", "short"].into_iter().enumerate() {
                while waiting[team_index] < 20 {
                    let (key, actions) = core.submit(now, normal_request_of(team));
                    request_teams.insert(key, team_index);
                    waiting[team_index] += 1;
                    started.extend(sent_vms(&actions).into_keys());
                }
            }
            let (ended, rest): (Vec<_>, Vec<_>) =
                running.drain(..)
                    .partition(|(since, key)| now >= *since + run_time[request_teams[key]]);
            running = rest;
            for (since, key) in ended {
                busy[request_teams[&key]] += 1;
                let report = SendReport::Answered { latency: now - since };
                started.extend(sent_vms(&core.send_finished(now, key, report)).into_keys());
            }
            for key in &started {
                waiting[request_teams[key]] -= 1;
            }
            running.extend(started.into_iter().map(|key| (now, key)));
        }
        assert!(busy[1] > 8 * busy[0], "short requests were kept from their share: {busy:?}");
        assert!(busy[1] < 12 * busy[0], "long requests were kept from their share: {busy:?}");
    }

    /// Guards against charging long requests from before a flood as use during it, which would
    /// leave their class without slots until the flood has caught up.
    use_before_a_flood_is_not_charged_during_it {
        let mut core = new_core(&new_fleet(&[("pool", 2, 13)]));
        let (long, _) = fill_workers(&mut core, ms(0), &normal_request("pool"));
        let now = ms(20_000);
        for _ in 0..60 {
            core.submit(now, request("pool", "flood", RequestPriority::Urgent));
            core.submit(now, normal_request("pool"));
        }
        for key in long.into_keys() {
            core.send_finished(now, key, SendReport::Answered { latency: now });
        }
        let in_use = core.dump().pools["pool"].slots_in_use;
        assert_eq!(in_use, [17, 9, 0], "shares of 8 and 4 of 26 slots");
    }

    /// Guards against a team that exceeds its quota, and against a refusal without a retry-after.
    quota_refuses_above_the_burst {
        let mut state = new_fleet(&[("pool", 4, 8)]);
        let quotas = &mut state.document.pools.get_mut("pool").expect("configured").quotas;
        quotas.insert("team".to_owned(), TeamQuota { rate: 10, burst: 3, weight: 1 });
        quotas.insert("none".to_owned(), TeamQuota { rate: 0, burst: 3, weight: 1 });
        let mut core = new_core(&state);
        let accepted = (0..10)
            .filter(|_| !sent_vms(&core.submit(ms(0), normal_request("pool")).1).is_empty())
            .count();
        assert_eq!(accepted, 3);
        let (_, actions) = core.submit(ms(0), normal_request("pool"));
        assert!(matches!(&actions[..],
            [DispatchAction::Refuse { reason: NotRunReason::QuotaExceeded, retry_after, .. }]
            if *retry_after == Some(ms(100))));
        assert!(!sent_vms(&core.submit(ms(100), normal_request("pool")).1).is_empty());
        let (_, actions) = core.submit(ms(0), normal_request_of("none"));
        assert!(matches!(&actions[..], [DispatchAction::Refuse { retry_after: None, .. }]));
    }

    /// Guards against a request that can never run but waits for its whole time limit.
    too_large_is_refused_at_once {
        let mut core = new_core(&new_fleet(&[("pool", 2, 8)]));
        let (key, actions) =
            core.submit(ms(0), RequestSummary { slots: 9, ..normal_request("pool") });
        assert_eq!(refusal_reason(&actions, key), Some(NotRunReason::TooLarge));
        let (key, actions) = core.submit(ms(0), normal_request("absent"));
        assert_eq!(refusal_reason(&actions, key), Some(NotRunReason::UnknownPool));
    }

    /// Guards against small requests that overtake a large one indefinitely.
    large_request_reserves_a_worker {
        let mut core = new_core(&new_fleet(&[("pool", 2, 4)]));
        let (sent, _) = fill_workers(&mut core, ms(0), &normal_request("pool"));
        let (large, _) =
            core.submit(ms(1), RequestSummary { slots: 4, ..normal_request_of("large") });
        let mut running: Vec<RequestKey> = sent.into_keys().collect();
        for step in 0..40_u64 {
            let now = ms(10 * step + 10);
            for _ in 0..2 {
                running.extend(sent_vms(&core.submit(now, normal_request("pool")).1).into_keys());
            }
            let key = running.remove(0);
            let actions = core.send_finished(now, key, ANSWERED);
            let started = sent_vms(&actions);
            if started.contains_key(&large) {
                return;
            }
            running.extend(started.into_keys());
        }
        panic!("the large request did not start");
    }

    /// Guards against a request that is lost, or tried twice on one worker, when connections fail.
    not_sent_goes_to_other_workers_and_is_then_refused {
        let mut core = new_core(&new_fleet(&[("pool", 8, 2)]));
        let non_idempotent = RequestSummary { idempotent: false, ..normal_request("pool") };
        let (key, vms, actions) =
            run_request(&mut core, ms(0), non_idempotent, |_| SendReport::NotSent);
        assert_eq!(vms.iter().collect::<BTreeSet<_>>().len(), 5);
        assert_eq!(vms.len(), 5);
        assert_eq!(refusal_reason(&actions, key), Some(NotRunReason::NoWorker));
    }

    /// Guards against a non-idempotent request that runs twice.
    unknown_is_not_retried_unless_idempotent {
        let mut core = new_core(&new_fleet(&[("pool", 4, 2)]));
        for _ in 0..50 {
            run_request(&mut core, ms(0), normal_request("pool"), |_| ANSWERED);
        }
        let non_idempotent = RequestSummary { idempotent: false, ..normal_request("pool") };
        let (key, vms, actions) =
            run_request(&mut core, ms(0), non_idempotent, |_| SendReport::Unknown);
        assert!(vms.len() == 1 && is_finished(&actions, key));
    }

    /// Guards against a refusal, which means that a request was not run, although an earlier
    /// attempt may have run.
    not_sent_after_unknown_is_not_refused {
        let mut core = new_core(&new_fleet(&[("pool", 2, 2)]));
        for _ in 0..50 {
            run_request(&mut core, ms(0), normal_request("pool"), |_| ANSWERED);
        }
        let (key, actions) = core.submit(ms(0), normal_request("pool"));
        assert_eq!(sent_vms(&actions).len(), 1);
        let actions = core.send_finished(ms(0), key, SendReport::Unknown);
        assert_eq!(sent_vms(&actions).len(), 1);
        assert!(is_finished(&core.send_finished(ms(0), key, SendReport::NotSent), key));
    }

    /// Guards against a retry that is refused as not run while it waits in the queue, or that
    /// continues after its deadline.
    waiting_retry_finishes_at_its_deadline {
        let mut core = new_core(&new_fleet(&[("pool", 2, 1)]));
        for _ in 0..50 {
            run_request(&mut core, ms(0), normal_request("pool"), |_| ANSWERED);
        }
        core.submit(ms(0), normal_request("pool"));
        let (key, actions) =
            core.submit(ms(0), RequestSummary { timeout: ms(700), ..normal_request("pool") });
        assert_eq!(sent_vms(&actions).len(), 1);
        assert!(core.send_finished(ms(100), key, SendReport::Unknown).is_empty());
        assert!(!is_finished(&core.tick(ms(699)), key));
        let actions = core.tick(ms(700));
        assert!(is_finished(&actions, key) && refusal_reason(&actions, key).is_none());
    }

    /// Guards against retries that multiply the load of a failing pool.
    retries_stay_within_a_tenth_of_requests {
        let mut core = new_core(&new_fleet(&[("pool", 8, 8)]));
        let mut attempts = 0;
        for index in 0..1_000_u64 {
            let (_, vms, _) =
                run_request(&mut core, ms(index), normal_request("pool"), |_| SendReport::Unknown);
            attempts += vms.len();
        }
        assert_eq!(attempts, 1_100);
        let (_, vms, _) =
            run_request(&mut core, ms(30_000), normal_request("pool"), |_| SendReport::Unknown);
        assert_eq!(vms.len(), 1, "requests of an earlier window must not allow a retry");
    }

    /// Guards against a retry that replaces an endpoint's error response.
    error_status_is_not_retried {
        let mut core = new_core(&new_fleet(&[("pool", 4, 2)]));
        let (key, vms, actions) = run_request(&mut core, ms(0), normal_request("pool"), |_| FAILED);
        assert!(vms.len() == 1 && is_finished(&actions, key));
    }

    /// Guards against workers that fail fast and therefore attract work as the least loaded ones.
    fast_failing_workers_attract_no_work {
        let mut core = new_core(&new_fleet(&[("pool", 10, 8)]));
        let bad = |vm: &str| vm == "pool-3" || vm == "pool-7";
        let mut failed = 0;
        let mut pending: Vec<(Duration, RequestKey)> = Vec::new();
        for index in 0..20_000_u64 {
            let now = ms(index * 3);
            let (due, rest): (Vec<_>, Vec<_>) = pending.drain(..).partition(|(end, _)| *end <= now);
            pending = rest;
            for (_, key) in due {
                core.send_finished(now, key, ANSWERED);
            }
            core.tick(now);
            let (key, actions) = core.submit(now, normal_request("pool"));
            let Some(vm) = sent_vms(&actions).get(&key).cloned() else { continue };
            if bad(&vm) {
                failed += 1;
                core.send_finished(now, key, FAILED);
            } else {
                pending.push((now + ms(100), key));
            }
        }
        // Five failures each, and trials after 1, 2, 4, 8, 16 and 32 s.
        assert!((12..=24).contains(&failed), "{failed} of 20000 requests failed");
        assert_eq!(core.suspects(), ["pool-3", "pool-7"].map(str::to_owned).into());
    }

    /// Guards against an ejected worker that gets several trials at once or never returns to
    /// service.
    ejected_worker_gets_single_trials_at_doubling_intervals {
        let mut core = new_core(&new_fleet(&[("pool", 2, 2)]));
        let bad = |vm: &str| if vm == "pool-0" { FAILED } else { ANSWERED };
        let mut attempt_seconds = Vec::new();
        for index in 0..60_000_u64 {
            let (_, vms, _) = run_request(&mut core, ms(index), normal_request("pool"), bad);
            if first_vm(&vms) == "pool-0" {
                attempt_seconds.push(index / 1_000);
            }
        }
        assert_eq!(attempt_seconds[5..], [1, 3, 7, 15, 31], "{attempt_seconds:?}");
        let mut good = 0;
        for index in 60_000..70_000_u64 {
            let (_, vms, _) =
                run_request(&mut core, ms(index), normal_request("pool"), |_| ANSWERED);
            good += u64::from(first_vm(&vms) == "pool-0");
        }
        assert!(good > 1_000, "the recovered worker gets work again");
        assert!(core.suspects().is_empty());
    }

    /// Guards against ejections that take most of a pool out of service.
    at_most_half_of_a_pool_is_ejected {
        let mut core = new_core(&new_fleet(&[("pool", 7, 2)]));
        let good = |vm: &str| if vm < "pool-2" { ANSWERED } else { FAILED };
        for index in 0..900_u64 {
            run_request(&mut core, ms(index), normal_request("pool"), good);
        }
        let ejected = core.dump().workers.values().filter(|worker| worker.ejected).count();
        assert_eq!(ejected, 3);
    }

    /// Guards against ejecting healthy workers because of requests that fail on every worker.
    requests_that_fail_everywhere_eject_nobody {
        let mut core = new_core(&new_fleet(&[("pool", 6, 2)]));
        for index in 0..500_u64 {
            run_request(&mut core, ms(index), normal_request("pool"), |_| FAILED);
        }
        let ejected = core.dump().workers.values().filter(|worker| worker.ejected).count();
        assert!(ejected <= 1, "{ejected} of 6 ejected");
    }

    /// Guards against short timeouts of callers that cause the ejection of healthy workers.
    short_timeouts_do_not_eject {
        let mut core = new_core(&new_fleet(&[("pool", 2, 2)]));
        for index in 0..10 {
            run_request(&mut core, ms(index), normal_request("pool"), |_| ANSWERED);
        }
        for index in 0..40_u64 {
            let now = ms(1_000 + index * 100);
            core.submit(now, RequestSummary { timeout: ms(20), ..normal_request("pool") });
            report_probes(&mut core, now + ms(20), |_| ProbeReport::Up);
        }
        assert!(core.suspects().is_empty());
    }

    /// Guards against a worker that no longer responds but keeps its share of the requests.
    unresponsive_worker_is_ejected {
        let mut core = new_core(&new_fleet(&[("pool", 4, 2)]));
        let mut lost = 0;
        for index in 0..40_u64 {
            let now = ms(index * 600);
            let (key, actions) =
                core.submit(now, RequestSummary { timeout: ms(500), ..normal_request("pool") });
            if sent_vms(&actions).get(&key).map(String::as_str) == Some("pool-1") {
                lost += 1;
                assert!(is_finished(&core.tick(now + ms(500)), key));
            } else {
                core.send_finished(now + ms(100), key, ANSWERED);
            }
            report_probes(&mut core, now + ms(500), |_| ProbeReport::Up);
        }
        assert!((5..=9).contains(&lost), "{lost}");
        assert!(core.suspects().contains("pool-1"));
    }

    /// Guards against a slow worker that keeps all declared slots, or that never gets them back.
    limit_follows_the_latency {
        let mut core = new_core(&new_fleet(&[("pool", 5, 8)]));
        let mut drive = |slow: u64, from: u64, to: u64| {
            let mut running: Vec<(Duration, Duration, RequestKey)> = Vec::new();
            for index in from..to {
                let now = ms(index * 5);
                let (due, rest): (Vec<_>, Vec<_>) = running.drain(..)
                    .partition(|(end, _, _)| *end <= now);
                running = rest;
                let mut started = BTreeMap::new();
                for (_, since, key) in due {
                    started.extend(sent_vms(&core.send_finished(
                        now, key, SendReport::Answered { latency: now - since })));
                }
                for _ in 0..3 {
                    started.extend(sent_vms(&core.submit(now, normal_request("pool")).1));
                }
                running.extend(started.into_iter().map(|(key, vm)| {
                    (now + ms(if vm == "pool-2" { slow } else { 50 }), now, key)
                }));
            }
            for (_, _, key) in running {
                core.cancel(ms(to * 5), key);
            }
            core.dump().workers.into_iter().map(|(vm, worker)| (vm, worker.limit))
                .collect::<BTreeMap<_, _>>()
        };
        let limits = drive(1_000, 0, 4_000);
        assert!(limits["pool-2"] <= 2, "{limits:?}");
        assert!(limits.iter().all(|(vm, limit)| vm == "pool-2" || *limit == 8), "{limits:?}");
        let limits = drive(50, 4_000, 8_000);
        assert!(limits.values().all(|limit| *limit == 8), "{limits:?}");
    }

    /// Guards against a cancelled request that keeps its slot or its place in the queue.
    cancel_frees_the_slot {
        let mut core = new_core(&new_fleet(&[("pool", 1, 1)]));
        let (sent, first) = fill_workers(&mut core, ms(0), &normal_request("pool"));
        let (second, _) = core.submit(ms(0), normal_request("pool"));
        assert_eq!(refusal_reason(&core.cancel(ms(1), first), first),
            Some(NotRunReason::Cancelled));
        let key = *sent.keys().next().expect("one was sent");
        let actions = core.cancel(ms(2), key);
        assert!(is_finished(&actions, key) && sent_vms(&actions).contains_key(&second));
        assert!(core.cancel(ms(3), key).is_empty());
    }

    /// Guards against claims that wait for a slow store and hold the slots that requests without a
    /// claim need.
    slow_store_does_not_hold_slots {
        let mut core = new_core(&new_fleet(&[("pool", 1, 2)]));
        let keyed =
            RequestSummary { needs_claim: true, idempotent: false, ..normal_request("pool") };
        let claims: Vec<RequestKey> = (0..6).map(|_| core.submit(ms(0), keyed.clone()).0).collect();
        let (plain, actions) = core.submit(ms(1), normal_request_of("other"));
        assert!(actions.is_empty());
        assert!(sent_vms(&core.tick(ms(250))).contains_key(&plain));
        assert_eq!(core.dump().pools["pool"].parked_claims, 6);
        let actions = core.claim_finished(ms(300), claims[3], ClaimReport::Granted);
        assert!(sent_vms(&actions).contains_key(&claims[3]));
        // The history of their idempotency keys is unknown, so they must not be reported as not
        // run.
        let actions = core.tick(ms(30_000));
        assert!(is_finished(&actions, claims[0]) && refusal_reason(&actions, claims[0]).is_none());
    }

    /// Guards against sending a claimed request to a worker that began to shut down while the claim
    /// was written.
    claim_granted_after_the_worker_began_to_shut_down {
        let mut state = new_fleet(&[("pool", 2, 1)]);
        let mut core = new_core(&state);
        let keyed = RequestSummary { needs_claim: true, ..normal_request("pool") };
        let (key, actions) = core.submit(ms(0), keyed);
        let [DispatchAction::Claim { vm, .. }] = &actions[..] else { panic!("{actions:?}") };
        state.version = 2;
        state.vms.get_mut(vm).expect("known").health = VmHealth::Leaving;
        core.update_fleet_state(ms(1), &state);
        assert_eq!(core.in_flight(vm), 1);
        let started = sent_vms(&core.claim_finished(ms(2), key, ClaimReport::Granted));
        assert!(started.get(&key).is_some_and(|other| other != vm));
        assert_eq!(core.in_flight(vm), 0);
    }

    /// Guards against new work for a worker that is shutting down, draining or failing its probes.
    excluded_worker_gets_no_new_work {
        let mut state = new_fleet(&[("pool", 5, 2)]);
        let mut core = new_core(&state);
        core.probe_finished(ms(1), "pool-0", ProbeReport::ShuttingDown);
        for _ in 0..2 {
            core.probe_finished(ms(2), "pool-1", ProbeReport::Failed);
        }
        state.version = 2;
        state.vms.get_mut("pool-2").expect("known").activity =
            VmActivity::Draining { reason: "test".to_owned(), since: 2 };
        core.update_fleet_state(ms(3), &state);
        let report =
            |vm: &str| SendReport::Failed { latency: ms(1), shutting_down: vm == "pool-3" };
        let mut last = BTreeSet::new();
        for index in 0..30 {
            let (_, vms, _) = run_request(&mut core, ms(4), normal_request("pool"),
                |vm| if vm == "pool-3" { report(vm) } else { ANSWERED });
            if index >= 20 {
                last.extend(vms);
            }
        }
        assert_eq!(last, ["pool-4".to_owned()].into());
        assert_eq!(core.suspects(), ["pool-0", "pool-1", "pool-3"].map(str::to_owned).into());
        core.probe_finished(ms(5), "pool-0", ProbeReport::Up);
        assert!(!core.suspects().contains("pool-0"));
    }

    /// Guards against probes above the byte limit, against busy workers that are never probed
    /// although they may be shutting down, and against probes of busy workers while the budget does
    /// not suffice for the idle ones.
    probes_stay_within_the_byte_limit {
        let mut core = new_core(&new_fleet(&[("pool", 100, 2)]));
        let mut probed: BTreeMap<String, u64> = BTreeMap::new();
        let mut bytes = 0;
        for time in (0..100).map(|index| 1_000 + index * 100) {
            for vm in report_probes(&mut core, ms(time), |_| ProbeReport::Up) {
                // The connection is still open for a probe less than 5 s after the previous one.
                let open = time < probed.insert(vm, time).unwrap_or(0) + 5_000;
                bytes += if open { 300 } else { 600 };
            }
        }
        assert!((4_096 * 9..=4_096 * 11).contains(&bytes), "{bytes}");
        let busy_probes = |idle: u32| {
            let mut core = support::new_core(&new_fleet(&[("pool", 2, 1), ("idle", idle, 1)]));
            let mut probed = 0;
            for index in 0..50 {
                let now = ms(index * 100);
                let keys: Vec<RequestKey> =
                    (0..2).map(|_| core.submit(now, normal_request("pool")).0).collect();
                for key in keys {
                    core.send_finished(now, key, ANSWERED);
                }
                let vms = report_probes(&mut core, now, |_| ProbeReport::Up);
                probed += vms.iter().filter(|vm| vm.starts_with("pool-")).count();
            }
            (core, probed)
        };
        let (mut core, probed) = busy_probes(2);
        assert!((2 * 4..=2 * 5).contains(&probed), "one probe a second of each: {probed}");
        assert_eq!(busy_probes(40).1, 0, "40 idle workers use up the budget");
        core.set_home_pools(ms(9_000), Some(BTreeSet::new()));
        assert!(report_probes(&mut core, ms(9_000), |_| ProbeReport::Up).is_empty());
    }

    /// Guards against waiting requests that are lost with their pool, and against applying an older
    /// state.
    removed_pool_refuses_its_queue_and_old_state_is_ignored {
        let state = new_fleet(&[("pool", 1, 1)]);
        let mut core = new_core(&state);
        let (sent, queued) = fill_workers(&mut core, ms(0), &normal_request("pool"));
        let mut empty = new_fleet(&[]);
        empty.version = 5;
        let actions = core.update_fleet_state(ms(1), &empty);
        assert_eq!(refusal_reason(&actions, queued), Some(NotRunReason::UnknownPool));
        assert_eq!(core.in_flight("pool-0"), 1);
        core.update_fleet_state(ms(2), &state);
        assert_eq!(core.applied_version(), 5);
        let key = *sent.keys().next().expect("one was sent");
        assert!(is_finished(&core.send_finished(ms(3), key, ANSWERED), key));
        assert!(core.dump().workers.is_empty() && core.dump().pools.is_empty());
    }

    /// Guards against losing the requests in flight of a moved VM, so that its new pool overloads
    /// it.
    moved_worker_keeps_its_work_in_flight {
        let mut state = new_fleet(&[("pool", 1, 2), ("other", 0, 2)]);
        let mut core = new_core(&state);
        let (sent, _) = fill_workers(&mut core, ms(0), &normal_request("pool"));
        state.version = 2;
        state.vms.get_mut("pool-0").expect("known").pool = "other".to_owned();
        core.update_fleet_state(ms(1), &state);
        assert!(sent_vms(&core.submit(ms(2), normal_request("other")).1).is_empty());
        let key = *sent.keys().next().expect("one was sent");
        assert_eq!(sent_vms(&core.send_finished(ms(3), key, ANSWERED)).len(), 1);
        assert_eq!(core.in_flight("pool-0"), 2);
    }
}

fn normal_request_of(team: &str) -> RequestSummary {
    RequestSummary {
        team: team.to_owned(),
        ..normal_request("pool")
    }
}

/// Calls `tick` and reports the results of the probes it starts. Returns the probed VMs.
fn report_probes(
    core: &mut DispatchCore,
    now: Duration,
    report: impl Fn(&str) -> ProbeReport,
) -> Vec<String> {
    let actions = core.tick(now);
    let mut vms = Vec::new();
    for action in actions {
        if let DispatchAction::Probe { vm, .. } = action {
            core.probe_finished(now, &vm, report(&vm));
            vms.push(vm);
        }
    }
    vms
}
