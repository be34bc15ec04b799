//! Start-time fair queueing of one pool among priorities, and within them among teams.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_protocol::ids::TeamId;
use tanager_protocol::request::RequestPriority;

use crate::action::RequestKey;
use crate::settings::class_index;

/// Expected run time of a flow that has not finished a request yet, in seconds.
const INITIAL_SECONDS: f64 = 0.1;
/// Weight of a new run time in the mean of its flow.
const MEAN_WEIGHT: f64 = 0.02;
/// Idle flows are forgotten above this number.
const MAX_IDLE_FLOWS: usize = 512;

/// Requests of one team and priority.
#[derive(Clone, Debug)]
pub(crate) struct FlowState {
    weight: f64,
    tag: f64,
    keys: VecDeque<RequestKey>,
    live: usize,
    slots: u64,
    /// Mean run time in seconds.
    mean: f64,
    samples: u32,
}

impl FlowState {
    fn new(weight: f64) -> Self {
        Self {
            weight,
            tag: 0.0,
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
    weight: f64,
    tag: f64,
    virtual_time: f64,
    in_use: u32,
    live: usize,
    flows: BTreeMap<TeamId, FlowState>,
}

/// Queue of one pool. Costs are slot-seconds, so that long or large requests count in full.
#[derive(Clone, Debug)]
pub(crate) struct PoolQueue {
    classes: [ClassState; 3],
    virtual_time: f64,
}

impl PoolQueue {
    pub(crate) fn new(weights: [u32; 3]) -> Self {
        let class = |weight: u32| ClassState {
            weight: f64::from(weight.max(1)),
            tag: 0.0,
            virtual_time: 0.0,
            in_use: 0,
            live: 0,
            flows: BTreeMap::new(),
        };
        Self {
            classes: weights.map(class),
            virtual_time: 0.0,
        }
    }

    pub(crate) fn set_weight(&mut self, team: &str, weight: u32) {
        for class in &mut self.classes {
            if let Some(flow) = class.flows.get_mut(team) {
                flow.weight = f64::from(weight.max(1));
            }
        }
    }

    pub(crate) fn live(&self, priority: RequestPriority) -> usize {
        self.classes[class_index(priority)].live
    }

    pub(crate) fn in_use(&self, priority: RequestPriority) -> u32 {
        self.classes[class_index(priority)].in_use
    }

    pub(crate) fn flow_live(&self, priority: RequestPriority, team: &str) -> usize {
        let class = &self.classes[class_index(priority)];
        class.flows.get(team).map_or(0, |flow| flow.live)
    }

    /// Adds a request at the back, or at the front when it returns from an attempt.
    pub(crate) fn push(
        &mut self,
        (priority, team): (RequestPriority, &str),
        weight: u32,
        key: RequestKey,
        slots: u32,
        front: bool,
    ) {
        let virtual_time = self.virtual_time;
        let class = &mut self.classes[class_index(priority)];
        if class.flows.len() > MAX_IDLE_FLOWS && !class.flows.contains_key(team) {
            class.flows.retain(|_, flow| flow.live > 0);
        }
        if class.live == 0 {
            class.tag = class.tag.max(virtual_time);
        }
        class.live += 1;
        let class_time = class.virtual_time;
        let flow = class
            .flows
            .entry(team.to_owned())
            .or_insert_with(|| FlowState::new(f64::from(weight.max(1))));
        if flow.live == 0 {
            flow.tag = flow.tag.max(class_time);
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
    pub(crate) fn forget(
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
                .min_by(|(_, left), (_, right)| left.tag.total_cmp(&right.tag));
            let Some((team, _)) = flow else {
                continue;
            };
            if priority == RequestPriority::Urgent && self.urgent_within_share(capacity) {
                best = Some((class.tag, priority, team.clone()));
                break;
            }
            if best.as_ref().is_none_or(|(tag, _, _)| class.tag < *tag) {
                best = Some((class.tag, priority, team.clone()));
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
        f64::from(urgent.in_use + 1) <= self.class_share(0) * f64::from(capacity)
    }

    /// Share of a class among the classes with waiting work.
    fn class_share(&self, index: usize) -> f64 {
        let total: f64 = self
            .classes
            .iter()
            .enumerate()
            .filter(|(other, class)| *other == index || class.live > 0)
            .map(|(_, class)| class.weight)
            .sum();
        self.classes[index].weight / total
    }

    /// Takes the front request of a flow and charges its expected cost, which it returns.
    pub(crate) fn take(&mut self, priority: RequestPriority, team: &str, slots: u32) -> f64 {
        let class = &mut self.classes[class_index(priority)];
        let Some(flow) = class.flows.get_mut(team) else {
            return 0.0;
        };
        flow.keys.pop_front();
        flow.live -= 1;
        flow.slots -= u64::from(slots);
        class.live -= 1;
        let cost = f64::from(slots) * flow.mean;
        class.virtual_time = class.virtual_time.max(flow.tag);
        flow.tag += cost / flow.weight;
        self.virtual_time = self.virtual_time.max(class.tag);
        class.tag += cost / class.weight;
        cost
    }

    pub(crate) fn start_use(&mut self, priority: RequestPriority, slots: u32) {
        self.classes[class_index(priority)].in_use += slots;
    }

    /// Ends the use of slots and replaces the expected cost by the observed one.
    pub(crate) fn end_use(
        &mut self,
        (priority, team): (RequestPriority, &str),
        slots: u32,
        charged: f64,
        observed: Duration,
    ) {
        let class = &mut self.classes[class_index(priority)];
        class.in_use -= slots;
        let correction = f64::from(slots) * observed.as_secs_f64() - charged;
        class.tag += correction / class.weight;
        if let Some(flow) = class.flows.get_mut(team) {
            flow.tag += correction / flow.weight;
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
            .map(|other| other.weight)
            .sum();
        let rate = f64::from(capacity.max(1)) * self.class_share(index) * flow.weight / teams;
        #[allow(clippy::cast_precision_loss)]
        let work = flow.slots as f64 * flow.mean;
        Duration::from_secs_f64((work / rate).min(86_400.0))
    }
}
