//! Random sequences of events. Guards against slot leaks, requests with no or two final actions,
//! sends beyond a worker's limit or to a worker that accepts no work, and refusals after a send.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use tanager_dispatch::ClaimReport;
use tanager_dispatch::DispatchAction;
use tanager_dispatch::DispatchCore;
use tanager_dispatch::ProbeReport;
use tanager_dispatch::RequestKey;
use tanager_dispatch::SendReport;
use tanager_dispatch::dump::DispatchDump;
use tanager_protocol::config::TeamQuota;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::request::RequestPriority;

use support::ms;

#[derive(Clone, Debug)]
enum ModelEvent {
    Submit(u8, u8, u64, u8, u32),
    Wait(u64),
    Report(usize, u8, u64),
    Claim(usize, bool),
    Cancel(usize),
    Probe(usize, u8),
    View(usize, u8),
}

fn model_event() -> impl Strategy<Value = ModelEvent> {
    prop_oneof![
        6 => (0..3_u8, 0..3_u8, 1..20_000_u64, 0..8_u8, 0..7_u32)
            .prop_map(|(pool, team, timeout, flags, slots)|
                ModelEvent::Submit(pool, team, timeout, flags, slots)),
        2 => (0..4_000_u64).prop_map(ModelEvent::Wait),
        6 => (any::<usize>(), 0..10_u8, 1..3_000_u64)
            .prop_map(|(index, kind, latency)| ModelEvent::Report(index, kind, latency)),
        2 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, granted)| ModelEvent::Claim(index, granted)),
        1 => any::<usize>().prop_map(ModelEvent::Cancel),
        1 => (any::<usize>(), 0..3_u8).prop_map(|(index, kind)| ModelEvent::Probe(index, kind)),
        1 => (any::<usize>(), 0..8_u8).prop_map(|(index, kind)| ModelEvent::View(index, kind)),
    ]
}

#[derive(Debug)]
struct TrackedRequest {
    slots: u32,
    deadline: Duration,
    may_have_run: bool,
    worker: Option<String>,
    final_actions: u32,
}

struct DispatchModel {
    core: DispatchCore,
    state: FleetState,
    now: Duration,
    requests: BTreeMap<RequestKey, TrackedRequest>,
    claims: Vec<RequestKey>,
}

impl DispatchModel {
    fn new() -> Self {
        let mut state = support::new_fleet(&[("first", 5, 4), ("second", 3, 6)]);
        let quota = TeamQuota {
            rate: 20,
            burst: 10,
            weight: 3,
        };
        if let Some(pool) = state.document.pools.get_mut("first") {
            pool.quotas.insert("team-1".to_owned(), quota);
        }
        Self {
            core: support::new_core(&state),
            state,
            now: ms(0),
            requests: BTreeMap::new(),
            claims: Vec::new(),
        }
    }

    fn apply(&mut self, event: &ModelEvent) {
        let before = self.core.dump();
        let now = self.now;
        let actions = match *event {
            ModelEvent::Submit(pool, team, timeout, flags, slots) => {
                let mut request =
                    support::normal_request(["first", "second", "absent"][usize::from(pool)]);
                request.team = format!("team-{team}");
                request.priority = RequestPriority::ALL[usize::from(flags % 3)];
                request.timeout = ms(timeout);
                request.needs_claim = flags >= 5;
                request.idempotent = flags < 4;
                request.slots = slots;
                let (key, actions) = self.core.submit(now, request);
                let tracked = TrackedRequest {
                    slots: slots.max(1),
                    deadline: now + ms(timeout),
                    may_have_run: false,
                    worker: None,
                    final_actions: 0,
                };
                assert!(self.requests.insert(key, tracked).is_none(), "key reused");
                actions
            }
            ModelEvent::Wait(time) => return self.wait(ms(time)),
            ModelEvent::Report(index, kind, latency) => {
                let Some(key) = self.pick_open_request(index, |tracked| tracked.worker.is_some())
                else {
                    return;
                };
                let latency = ms(latency);
                let report = match kind {
                    0 | 1 => SendReport::NotSent,
                    2 | 3 => SendReport::Unknown,
                    4 => SendReport::Failed {
                        latency,
                        shutting_down: true,
                    },
                    5 | 6 => SendReport::Failed {
                        latency,
                        shutting_down: false,
                    },
                    _ => SendReport::Answered { latency },
                };
                if let Some(tracked) = self.requests.get_mut(&key) {
                    tracked.worker = None;
                    // After any other report the request may have run and must not be refused.
                    tracked.may_have_run |= report != SendReport::NotSent;
                }
                self.core.send_finished(now, key, report)
            }
            ModelEvent::Claim(index, granted) => {
                if self.claims.is_empty() {
                    return;
                }
                let key = self.claims.swap_remove(index % self.claims.len());
                let report = if granted {
                    ClaimReport::Granted
                } else {
                    ClaimReport::Resolved
                };
                self.core.claim_finished(now, key, report)
            }
            ModelEvent::Cancel(index) => {
                let Some(key) = self.pick_open_request(index, |_| true) else {
                    return;
                };
                self.core.cancel(now, key)
            }
            ModelEvent::Probe(index, kind) => {
                let vm = self.vm(index);
                let report = [
                    ProbeReport::Up,
                    ProbeReport::ShuttingDown,
                    ProbeReport::Failed,
                ];
                self.core
                    .probe_finished(now, &vm, report[usize::from(kind)])
            }
            ModelEvent::View(index, kind) => {
                self.change_fleet_state(index, kind);
                self.core.update_fleet_state(now, &self.state)
            }
        };
        self.check(&before, &actions);
    }

    fn vm(&self, index: usize) -> String {
        let count = self.state.document.vms.len();
        self.state
            .document
            .vms
            .keys()
            .nth(index % count)
            .cloned()
            .unwrap_or_default()
    }

    fn change_fleet_state(&mut self, index: usize, kind: u8) {
        let vm = self.vm(index);
        let version = self.state.version + 1;
        self.state.version = version;
        let Some(record) = self.state.vms.get_mut(&vm) else {
            return;
        };
        match kind {
            0 => record.health = VmHealth::Down,
            1 | 2 => record.health = VmHealth::Up,
            3 => {
                record.activity = VmActivity::Draining {
                    reason: "test".to_owned(),
                    since: version,
                }
            }
            4 | 5 => record.activity = VmActivity::Active,
            6 => {
                record.pool = if record.pool == "first" {
                    "second"
                } else {
                    "first"
                }
                .to_owned();
            }
            _ => {
                let second = self.state.document.pools.remove("second");
                let restored = second.is_none().then(Default::default);
                if let Some(pool) = restored {
                    self.state.document.pools.insert("second".to_owned(), pool);
                }
            }
        }
    }

    fn pick_open_request(
        &self,
        index: usize,
        filter: impl Fn(&TrackedRequest) -> bool,
    ) -> Option<RequestKey> {
        let keys: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, tracked)| tracked.final_actions == 0 && filter(tracked))
            .map(|(key, _)| *key)
            .collect();
        (!keys.is_empty()).then(|| keys[index % keys.len()])
    }

    /// Advances the time and calls `tick` at each deadline of the state machine.
    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.core.next_deadline().filter(|next| *next <= end) {
            assert!(next >= self.now);
            self.now = next;
            let before = self.core.dump();
            let actions = self.core.tick(self.now);
            self.check(&before, &actions);
            assert!(
                self.core
                    .next_deadline()
                    .is_none_or(|later| later > self.now),
                "tick leaves a deadline that is due"
            );
        }
        self.now = end;
        let before = self.core.dump();
        let actions = self.core.tick(self.now);
        self.check(&before, &actions);
        for (key, tracked) in &self.requests {
            assert!(
                tracked.final_actions == 1 || tracked.deadline > self.now,
                "{key:?} has no final action at its deadline"
            );
        }
    }

    fn check(&mut self, before: &DispatchDump, actions: &[DispatchAction]) {
        let after = self.core.dump();
        for action in actions {
            match action {
                DispatchAction::Claim { key, .. } => self.claims.push(*key),
                DispatchAction::Send {
                    key, vm, time_left, ..
                } => {
                    let used: u32 = self
                        .requests
                        .values()
                        .filter(|other| other.worker.as_ref() == Some(vm))
                        .map(|other| other.slots)
                        .sum();
                    let worker = &after.workers[vm];
                    assert!(
                        worker.receives,
                        "send to worker {vm}, which accepts no work"
                    );
                    let limit = before
                        .workers
                        .get(vm)
                        .map_or(0, |old| old.limit)
                        .max(worker.limit);
                    let tracked = self.requests.get_mut(key).expect("sent key was submitted");
                    assert_eq!(tracked.final_actions, 0, "send after the final action");
                    assert_eq!(tracked.deadline - self.now, *time_left);
                    assert!(!time_left.is_zero(), "send at the deadline");
                    assert!(
                        used + tracked.slots <= limit
                            || (used == 0 && tracked.slots <= worker.declared),
                        "{vm}: {used} + {} over limit {limit}",
                        tracked.slots
                    );
                    tracked.worker = Some(vm.clone());
                }
                DispatchAction::Refuse { key, .. } => {
                    let tracked = self
                        .requests
                        .get_mut(key)
                        .expect("refused key was submitted");
                    assert!(
                        !tracked.may_have_run && tracked.worker.is_none(),
                        "refused after it was sent"
                    );
                    assert!(self.now <= tracked.deadline, "refused after its deadline");
                    tracked.final_actions += 1;
                }
                DispatchAction::Finish { key } => {
                    let tracked = self.requests.get_mut(key).expect("ended key was submitted");
                    assert!(self.now <= tracked.deadline, "ended after its deadline");
                    tracked.worker = None;
                    tracked.final_actions += 1;
                }
                DispatchAction::Probe { .. } => {}
            }
        }
        for (vm, worker) in &after.workers {
            let used: u32 = self
                .requests
                .values()
                .filter(|other| other.worker.as_ref() == Some(vm))
                .map(|other| other.slots)
                .sum();
            assert!(
                worker.used >= used,
                "{vm}: slots in use are not accounted for"
            );
        }
        assert!(
            self.requests
                .values()
                .all(|tracked| tracked.final_actions <= 1),
            "two final actions"
        );
    }

    fn finish(mut self) {
        self.wait(Duration::from_secs(400));
        let dump = self.core.dump();
        assert_eq!(dump.open, 0);
        assert!(
            dump.workers.values().all(|worker| worker.used == 0),
            "slot leak: {dump:?}"
        );
        assert!(dump.pools.values().all(|pool| pool.slots_in_use == [0; 3]
            && pool.queued == [0; 3]
            && pool.parked_claims == 0));
        for (key, tracked) in &self.requests {
            assert_eq!(tracked.final_actions, 1, "{key:?}");
        }
    }
}

macro_rules! random_sequences {
    ($($name:ident: seed $seed:literal, cases $cases:literal, length $length:expr;)*) => {
        $(#[test]
        fn $name() {
            let config = ProptestConfig {
                cases: $cases,
                failure_persistence: None,
                rng_seed: RngSeed::Fixed($seed),
                ..ProptestConfig::default()
            };
            proptest!(config, |(events in prop::collection::vec(model_event(), $length))| {
                let mut model = DispatchModel::new();
                for event in &events {
                    model.apply(event);
                }
                model.finish();
            });
        })*
    };
}

random_sequences! {
    short_sequences: seed 11, cases 200, length 1..40;
    long_sequences: seed 12, cases 30, length 100..300;
}
