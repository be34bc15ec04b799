//! Start-time fair queueing of one pool: among priorities, and among teams within a priority.
//!
//! A class holds the requests of one priority, a flow those of one team within a class. Service is
//! measured in slot time, so that long or large requests count in full.
//!
//! A tag is the virtual time of a flow or class. The one with the lowest rank, which is its tag
//! plus a charge for the slots in use, is served next; urgent work within its share goes first.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_protocol::ids::TeamId;
use tanager_protocol::request::RequestPriority;

use crate::action::RequestKey;
use crate::settings::class_index;

/// Expected run time, in seconds, of a flow without finished requests.
const INITIAL_RUN_SECONDS: f64 = 0.1;
/// Seconds of use charged in advance for each slot in use, so that slots that become free at the
/// same time are divided by weight.
const ADVANCE_CHARGE_SECONDS: f64 = 0.1;
/// Weight of a new run time in the moving average of its flow.
const RUN_TIME_WEIGHT: f64 = 0.02;
/// Number of flows above which idle ones are removed.
const FLOW_REMOVAL_THRESHOLD: usize = 512;

/// Virtual time of a flow or class: its used slot time divided by its weight.
///
/// Use is charged continuously. When run times were charged at the end of requests, requests from
/// before a flood counted as use during it, and normal work got no slots for 5 s.
#[derive(Clone, Debug)]
struct VirtualClock {
    weight: f64,
    /// Virtual time at `updated`, in seconds.
    tag: f64,
    updated: Duration,
    /// Slots in use.
    in_use: u32,
}

impl VirtualClock {
    fn new(weight: u32) -> Self {
        Self {
            weight: f64::from(weight.max(1)),
            tag: 0.0,
            updated: Duration::ZERO,
            in_use: 0,
        }
    }

    fn tag_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tag + elapsed * f64::from(self.in_use) / self.weight
    }

    /// Rank in the order of service; the lowest is served next.
    fn rank(&self, now: Duration) -> f64 {
        self.tag_at(now) + ADVANCE_CHARGE_SECONDS * f64::from(self.in_use) / self.weight
    }

    fn set_tag(&mut self, now: Duration, tag: f64) {
        self.tag = tag;
        self.updated = self.updated.max(now);
    }

    fn set_in_use(&mut self, now: Duration, in_use: u32) {
        let tag = self.tag_at(now);
        self.set_tag(now, tag);
        self.in_use = in_use;
    }
}

/// Requests of one team and priority.
#[derive(Clone, Debug)]
struct FlowState {
    clock: VirtualClock,
    /// Requests in the order of service; may contain ended ones.
    keys: VecDeque<RequestKey>,
    queued_count: usize,
    queued_slots: u64,
    /// Moving average of the run time, in seconds.
    mean_seconds: f64,
    samples: u32,
}

impl FlowState {
    fn new(weight: u32) -> Self {
        Self {
            clock: VirtualClock::new(weight),
            keys: VecDeque::new(),
            queued_count: 0,
            queued_slots: 0,
            mean_seconds: INITIAL_RUN_SECONDS,
            samples: 0,
        }
    }
}

/// Requests of one priority.
#[derive(Clone, Debug)]
struct ClassState {
    clock: VirtualClock,
    queued_count: usize,
    flows: BTreeMap<TeamId, FlowState>,
}

/// Returns the least tag for a flow or class that begins to wait: the lowest tag of the waiting
/// members, so that it gets no credit for the time without requests. If no member waits, sets all
/// tags to the highest, so that use of otherwise idle slots is not charged later, and returns it.
fn joining_tag<'a>(
    now: Duration,
    members: impl Iterator<Item = (bool, &'a mut VirtualClock)>,
) -> f64 {
    let mut members: Vec<(bool, &mut VirtualClock)> = members.collect();
    let waiting = members.iter().filter(|(is_waiting, _)| *is_waiting);
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
            clock: VirtualClock::new(weight),
            queued_count: 0,
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

    pub(crate) fn queued(&self, priority: RequestPriority) -> usize {
        self.classes[class_index(priority)].queued_count
    }

    pub(crate) fn in_use(&self, priority: RequestPriority) -> u32 {
        self.classes[class_index(priority)].clock.in_use
    }

    pub(crate) fn flow_queued(&self, priority: RequestPriority, team: &str) -> usize {
        let class = &self.classes[class_index(priority)];
        class.flows.get(team).map_or(0, |flow| flow.queued_count)
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
        if self.classes[index].queued_count == 0 {
            let classes = self.classes.iter_mut();
            let least = joining_tag(
                now,
                classes.map(|class| (class.queued_count > 0, &mut class.clock)),
            );
            let clock = &mut self.classes[index].clock;
            let tag = clock.tag_at(now).max(least);
            clock.set_tag(now, tag);
        }
        let class = &mut self.classes[index];
        class.queued_count += 1;
        if class.flows.len() > FLOW_REMOVAL_THRESHOLD && !class.flows.contains_key(team) {
            class
                .flows
                .retain(|_, flow| flow.queued_count > 0 || flow.clock.in_use > 0);
        }
        let queued = class.flows.get(team).map_or(0, |flow| flow.queued_count);
        let least = (queued == 0).then(|| {
            let flows = class.flows.values_mut();
            joining_tag(
                now,
                flows.map(|flow| (flow.queued_count > 0, &mut flow.clock)),
            )
        });
        let flow = class
            .flows
            .entry(team.to_owned())
            .or_insert_with(|| FlowState::new(weight));
        if let Some(least) = least {
            let tag = flow.clock.tag_at(now).max(least);
            flow.clock.set_tag(now, tag);
        }
        flow.queued_count += 1;
        flow.queued_slots += u64::from(slots);
        if front {
            flow.keys.push_front(key);
        } else {
            flow.keys.push_back(key);
        }
    }

    /// Subtracts a queued request that has ended from the counts. Its key is removed when it
    /// reaches the front or when ended keys are the majority, so removal takes amortised constant
    /// time.
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
        class.queued_count -= 1;
        flow.queued_count -= 1;
        flow.queued_slots -= u64::from(slots);
        if flow.keys.len() > 2 * flow.queued_count + 32 {
            flow.keys.retain(|key| is_queued(*key));
        }
    }

    /// Returns the request to serve next, skipping the `blocked` flows.
    pub(crate) fn select_next(
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
                    flow.queued_count > 0
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

    /// Whether urgent work is within its share of the slots among the waiting classes. It is then
    /// served first.
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
            .filter(|(other, class)| *other == index || class.queued_count > 0)
            .map(|(_, class)| class.clock.weight)
            .sum();
        self.classes[index].clock.weight / total
    }

    /// Removes the front request of a flow.
    pub(crate) fn remove_front(&mut self, priority: RequestPriority, team: &str, slots: u32) {
        let class = &mut self.classes[class_index(priority)];
        if let Some(flow) = class.flows.get_mut(team) {
            flow.keys.pop_front();
            flow.queued_count -= 1;
            flow.queued_slots -= u64::from(slots);
            class.queued_count -= 1;
        }
    }

    pub(crate) fn occupy_slots(
        &mut self,
        now: Duration,
        (priority, team): (RequestPriority, &str),
        slots: u32,
    ) {
        let class = &mut self.classes[class_index(priority)];
        class.clock.set_in_use(now, class.clock.in_use + slots);
        if let Some(flow) = class.flows.get_mut(team) {
            flow.clock.set_in_use(now, flow.clock.in_use + slots);
        }
    }

    pub(crate) fn free_slots(
        &mut self,
        now: Duration,
        (priority, team): (RequestPriority, &str),
        slots: u32,
    ) {
        let class = &mut self.classes[class_index(priority)];
        class.clock.set_in_use(now, class.clock.in_use - slots);
        if let Some(flow) = class.flows.get_mut(team) {
            flow.clock.set_in_use(now, flow.clock.in_use - slots);
        }
    }

    /// Records a run time and returns its ratio to the previous mean of its flow.
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
        // The first samples are weighted equally, so that the initial value has no lasting effect.
        let weight = RUN_TIME_WEIGHT.max(1.0 / f64::from(flow.samples));
        let ratio = if flow.samples == 1 {
            1.0
        } else {
            seconds / flow.mean_seconds
        };
        flow.mean_seconds += weight * (seconds - flow.mean_seconds);
        ratio
    }

    pub(crate) fn mean_run_time(&self, priority: RequestPriority, team: &str) -> Duration {
        let class = &self.classes[class_index(priority)];
        let mean = class
            .flows
            .get(team)
            .map_or(INITIAL_RUN_SECONDS, |flow| flow.mean_seconds);
        Duration::from_secs_f64(mean)
    }

    /// Expected wait of a request added to a flow now: the waiting work of the flow divided by the
    /// flow's share of the capacity. Other teams and classes count only while they have waiting
    /// work.
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
        if flow.queued_count == 0 {
            return Duration::ZERO;
        }
        let teams: f64 = class
            .flows
            .values()
            .filter(|other| other.queued_count > 0)
            .map(|other| other.clock.weight)
            .sum();
        let rate = f64::from(capacity.max(1)) * self.class_share(index) * flow.clock.weight / teams;
        #[allow(clippy::cast_precision_loss)]
        let work = flow.queued_slots as f64 * flow.mean_seconds;
        Duration::from_secs_f64((work / rate).min(86_400.0))
    }
}
