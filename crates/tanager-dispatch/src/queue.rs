//! Start-time fair queueing of one pool among priorities, and within them among teams.
//!
//! Service is measured in slot time, so that long or large requests count in full.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_protocol::ids::TeamId;
use tanager_protocol::request::RequestPriority;

use crate::action::RequestKey;
use crate::settings::class_index;

/// Expected run time of a flow that has not finished a request yet, in seconds.
const INITIAL_SECONDS: f64 = 0.1;
/// Seconds of use charged in advance for each slot in use, so that slots that become free at one
/// moment are divided by weight.
const ADVANCE_SECONDS: f64 = 0.1;
/// Weight of a new run time in the mean of its flow.
const MEAN_WEIGHT: f64 = 0.02;
/// Idle flows are forgotten above this number.
const MAX_IDLE_FLOWS: usize = 512;

/// Slot time used by a flow or class in proportion to its weight.
///
/// Use is charged while it happens. Charging run times when requests end, as a first version did,
/// let requests from before a flood count as use during it, and normal work got nothing for 5 s.
#[derive(Clone, Debug)]
struct ShareClock {
    weight: f64,
    tag: f64,
    updated: Duration,
    in_use: u32,
}

impl ShareClock {
    fn new(weight: u32) -> Self {
        Self {
            weight: f64::from(weight.max(1)),
            tag: 0.0,
            updated: Duration::ZERO,
            in_use: 0,
        }
    }

    fn tag_at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.tag + passed * f64::from(self.in_use) / self.weight
    }

    /// Order of service: the least is served next.
    fn rank(&self, now: Duration) -> f64 {
        self.tag_at(now) + ADVANCE_SECONDS * f64::from(self.in_use) / self.weight
    }

    fn set_tag(&mut self, now: Duration, tag: f64) {
        self.tag = tag;
        self.updated = self.updated.max(now);
    }

    fn change_use(&mut self, now: Duration, in_use: u32) {
        let tag = self.tag_at(now);
        self.set_tag(now, tag);
        self.in_use = in_use;
    }
}

/// Requests of one team and priority.
#[derive(Clone, Debug)]
struct FlowState {
    clock: ShareClock,
    keys: VecDeque<RequestKey>,
    live: usize,
    slots: u64,
    /// Mean run time in seconds.
    mean: f64,
    samples: u32,
}

impl FlowState {
    fn new(weight: u32) -> Self {
        Self {
            clock: ShareClock::new(weight),
            keys: VecDeque::new(),
            live: 0,
            slots: 0,
            mean: INITIAL_SECONDS,
            samples: 0,
        }
    }
}

/// Requests of one priority.
#[derive(Clone, Debug)]
struct ClassState {
    clock: ShareClock,
    live: usize,
    flows: BTreeMap<TeamId, FlowState>,
}

/// Gives a flow or class that begins to wait the least tag of those that wait already, so that it
/// neither saves up service nor owes for slots that nobody else wanted. When nothing waits, all
/// start equal.
fn join_waiting<'a>(
    now: Duration,
    members: impl Iterator<Item = (bool, &'a mut ShareClock)>,
) -> f64 {
    let mut members: Vec<(bool, &mut ShareClock)> = members.collect();
    let waiting = members.iter().filter(|(waits, _)| *waits);
    let least = waiting.map(|(_, clock)| clock.tag_at(now)).reduce(f64::min);
    if let Some(least) = least {
        return least;
    }
    let greatest = members
        .iter()
        .map(|(_, clock)| clock.tag_at(now))
        .fold(0.0, f64::max);
    for (_, clock) in &mut members {
        clock.set_tag(now, greatest);
    }
    greatest
}

/// Queue of one pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolQueue {
    classes: [ClassState; 3],
}

impl PoolQueue {
    pub(crate) fn new(weights: [u32; 3]) -> Self {
        let class = |weight: u32| ClassState {
            clock: ShareClock::new(weight),
            live: 0,
            flows: BTreeMap::new(),
        };
        Self {
            classes: weights.map(class),
        }
    }

    pub(crate) fn set_weight(&mut self, team: &str, weight: u32) {
        for class in &mut self.classes {
            if let Some(flow) = class.flows.get_mut(team) {
                flow.clock.weight = f64::from(weight.max(1));
            }
        }
    }

    pub(crate) fn live(&self, priority: RequestPriority) -> usize {
        self.classes[class_index(priority)].live
    }

    pub(crate) fn in_use(&self, priority: RequestPriority) -> u32 {
        self.classes[class_index(priority)].clock.in_use
    }

    pub(crate) fn flow_live(&self, priority: RequestPriority, team: &str) -> usize {
        let class = &self.classes[class_index(priority)];
        class.flows.get(team).map_or(0, |flow| flow.live)
    }

    /// Adds a request at the back, or at the front when it returns from an attempt.
    pub(crate) fn push(
        &mut self,
        now: Duration,
        (priority, team): (RequestPriority, &str),
        weight: u32,
        key: RequestKey,
        slots: u32,
        front: bool,
    ) {
        let index = class_index(priority);
        if self.classes[index].live == 0 {
            let classes = self.classes.iter_mut();
            let least = join_waiting(now, classes.map(|class| (class.live > 0, &mut class.clock)));
            let clock = &mut self.classes[index].clock;
            let tag = clock.tag_at(now).max(least);
            clock.set_tag(now, tag);
        }
        let class = &mut self.classes[index];
        class.live += 1;
        if class.flows.len() > MAX_IDLE_FLOWS && !class.flows.contains_key(team) {
            class
                .flows
                .retain(|_, flow| flow.live > 0 || flow.clock.in_use > 0);
        }
        let live = class.flows.get(team).map_or(0, |flow| flow.live);
        let least = (live == 0).then(|| {
            let flows = class.flows.values_mut();
            join_waiting(now, flows.map(|flow| (flow.live > 0, &mut flow.clock)))
        });
        let flow = class
            .flows
            .entry(team.to_owned())
            .or_insert_with(|| FlowState::new(weight));
        if let Some(least) = least {
            let tag = flow.clock.tag_at(now).max(least);
            flow.clock.set_tag(now, tag);
        }
        flow.live += 1;
        flow.slots += u64::from(slots);
        if front {
            flow.keys.push_front(key);
        } else {
            flow.keys.push_back(key);
        }
    }

    /// Accounts for a queued request that has ended. Its key is dropped when it is met, or when
    /// ended keys are the majority, so the cost per removal is constant on average.
    pub(crate) fn remove_ended(
        &mut self,
        (priority, team): (RequestPriority, &str),
        slots: u32,
        is_queued: impl Fn(RequestKey) -> bool,
    ) {
        let class = &mut self.classes[class_index(priority)];
        let Some(flow) = class.flows.get_mut(team) else {
            return;
        };
        class.live -= 1;
        flow.live -= 1;
        flow.slots -= u64::from(slots);
        if flow.keys.len() > 2 * flow.live + 32 {
            flow.keys.retain(|key| is_queued(*key));
        }
    }

    /// Returns the request to serve next, leaving out the `blocked` flows.
    pub(crate) fn next(
        &mut self,
        now: Duration,
        capacity: u32,
        blocked: &[(RequestPriority, TeamId)],
        is_queued: impl Fn(RequestKey) -> bool,
    ) -> Option<(RequestPriority, TeamId, RequestKey)> {
        let mut best: Option<(f64, RequestPriority, TeamId)> = None;
        for priority in RequestPriority::ALL {
            let class = &self.classes[class_index(priority)];
            let flow = class
                .flows
                .iter()
                .filter(|(team, flow)| {
                    flow.live > 0
                        && !blocked
                            .iter()
                            .any(|(other, name)| *other == priority && name == *team)
                })
                .min_by(|(_, left), (_, right)| {
                    left.clock.rank(now).total_cmp(&right.clock.rank(now))
                });
            let Some((team, _)) = flow else {
                continue;
            };
            if priority == RequestPriority::Urgent && self.urgent_within_share(capacity) {
                best = Some((class.clock.rank(now), priority, team.clone()));
                break;
            }
            if best
                .as_ref()
                .is_none_or(|(rank, _, _)| class.clock.rank(now) < *rank)
            {
                best = Some((class.clock.rank(now), priority, team.clone()));
            }
        }
        let (_, priority, team) = best?;
        let class = &mut self.classes[class_index(priority)];
        let flow = class.flows.get_mut(&team)?;
        while let Some(key) = flow.keys.front().copied() {
            if is_queued(key) {
                return Some((priority, team, key));
            }
            flow.keys.pop_front();
        }
        None
    }

    /// Urgent work goes first while the slots it uses are below its share among waiting work.
    fn urgent_within_share(&self, capacity: u32) -> bool {
        let urgent = &self.classes[0];
        f64::from(urgent.clock.in_use + 1) <= self.class_share(0) * f64::from(capacity)
    }

    /// Share of a class among the classes with waiting work.
    fn class_share(&self, index: usize) -> f64 {
        let total: f64 = self
            .classes
            .iter()
            .enumerate()
            .filter(|(other, class)| *other == index || class.live > 0)
            .map(|(_, class)| class.clock.weight)
            .sum();
        self.classes[index].clock.weight / total
    }

    /// Takes the front request of a flow.
    pub(crate) fn take(&mut self, priority: RequestPriority, team: &str, slots: u32) {
        let class = &mut self.classes[class_index(priority)];
        if let Some(flow) = class.flows.get_mut(team) {
            flow.keys.pop_front();
            flow.live -= 1;
            flow.slots -= u64::from(slots);
            class.live -= 1;
        }
    }

    pub(crate) fn start_use(
        &mut self,
        now: Duration,
        (priority, team): (RequestPriority, &str),
        slots: u32,
    ) {
        let class = &mut self.classes[class_index(priority)];
        class.clock.change_use(now, class.clock.in_use + slots);
        if let Some(flow) = class.flows.get_mut(team) {
            flow.clock.change_use(now, flow.clock.in_use + slots);
        }
    }

    pub(crate) fn end_use(
        &mut self,
        now: Duration,
        (priority, team): (RequestPriority, &str),
        slots: u32,
    ) {
        let class = &mut self.classes[class_index(priority)];
        class.clock.change_use(now, class.clock.in_use - slots);
        if let Some(flow) = class.flows.get_mut(team) {
            flow.clock.change_use(now, flow.clock.in_use - slots);
        }
    }

    /// Records a run time. Returns it as a multiple of the mean of its flow.
    pub(crate) fn record_latency(
        &mut self,
        priority: RequestPriority,
        team: &str,
        latency: Duration,
    ) -> f64 {
        let class = &mut self.classes[class_index(priority)];
        let Some(flow) = class.flows.get_mut(team) else {
            return 1.0;
        };
        let seconds = latency.as_secs_f64().max(0.000_1);
        flow.samples = flow.samples.saturating_add(1);
        // Plain mean at first, so that the initial guess has no lasting effect.
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(flow.samples));
        let ratio = if flow.samples == 1 {
            1.0
        } else {
            seconds / flow.mean
        };
        flow.mean += weight * (seconds - flow.mean);
        ratio
    }

    pub(crate) fn mean(&self, priority: RequestPriority, team: &str) -> Duration {
        let class = &self.classes[class_index(priority)];
        let mean = class
            .flows
            .get(team)
            .map_or(INITIAL_SECONDS, |flow| flow.mean);
        Duration::from_secs_f64(mean)
    }

    /// Expected wait of a request added to a flow now: the waiting work of the flow divided by the
    /// flow's share of the capacity. Teams and classes without waiting work count as absent.
    pub(crate) fn estimated_wait(
        &self,
        priority: RequestPriority,
        team: &str,
        capacity: u32,
    ) -> Duration {
        let index = class_index(priority);
        let class = &self.classes[index];
        let Some(flow) = class.flows.get(team) else {
            return Duration::ZERO;
        };
        if flow.live == 0 {
            return Duration::ZERO;
        }
        let teams: f64 = class
            .flows
            .values()
            .filter(|other| other.live > 0)
            .map(|other| other.clock.weight)
            .sum();
        let rate = f64::from(capacity.max(1)) * self.class_share(index) * flow.clock.weight / teams;
        #[allow(clippy::cast_precision_loss)]
        let work = flow.slots as f64 * flow.mean;
        Duration::from_secs_f64((work / rate).min(86_400.0))
    }
}
