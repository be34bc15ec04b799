//! Random faults of a scenario, generated from its seed. Several faults overlap.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::proxy::ProxyMode;

/// Rate of a link of 2 Mbit/s, in bytes per second.
const SLOW_LINK: u32 = 250_000;

/// Faults of the store and the workers of the stand-in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SiteFault {
    StoreRefusal,
    StoreUnresponsive,
    ChangeResponsesLost,
    OrderResponsesLost,
}

const SITE_FAULTS: [SiteFault; 4] = [
    SiteFault::StoreRefusal,
    SiteFault::StoreUnresponsive,
    SiteFault::ChangeResponsesLost,
    SiteFault::OrderResponsesLost,
];

/// A step of a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FaultStep {
    Kill(usize),
    /// Starts a node that was killed.
    Restart(usize),
    Freeze(usize),
    Resume(usize),
    /// Sends SIGTERM. The node is restarted once it has ended.
    Terminate(usize),
    Reload(usize),
    StartFault(SiteFault),
    EndFault(SiteFault),
    SetProxyMode(usize, ProxyMode),
    /// Stalls the node's open connections to the store for good.
    StallConnections(usize),
    CrashWorker(usize, Duration),
    /// Stores a new version of the configuration.
    Configure,
    /// Requests a maintenance wave over all VMs.
    Wave,
}

/// Generates the steps of a scenario, sorted by time. Each node has at most one process fault at a
/// time, and the site at most one fault of each kind. All other faults may overlap.
pub(crate) fn generate_steps(
    seed: u64,
    length: Duration,
    nodes: usize,
    workers: usize,
) -> Vec<(Duration, FaultStep)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut node_available_at = vec![Duration::ZERO; nodes];
    let mut fault_available_at = [Duration::ZERO; SITE_FAULTS.len()];
    let mut at = Duration::ZERO;
    while at < length {
        let node = rng.random_range(0..nodes);
        let pause = Duration::from_millis(rng.random_range(200..3_000));
        let end = at + pause;
        let mut add_process_fault = |start_step: FaultStep, end_step: Option<FaultStep>| {
            if node_available_at[node] <= at {
                node_available_at[node] = end + Duration::from_millis(500);
                steps.push((at, start_step));
                steps.extend(end_step.map(|end_step| (end, end_step)));
            }
        };
        match rng.random_range(0..14) {
            0 => add_process_fault(FaultStep::Kill(node), Some(FaultStep::Restart(node))),
            1 | 2 => add_process_fault(FaultStep::Freeze(node), Some(FaultStep::Resume(node))),
            3 => add_process_fault(FaultStep::Terminate(node), None),
            4 => {
                for (node, available_at) in node_available_at.iter_mut().enumerate() {
                    if *available_at <= at {
                        *available_at = at + Duration::from_millis(600);
                        steps.push((at, FaultStep::Kill(node)));
                        steps.push((at + Duration::from_millis(50), FaultStep::Restart(node)));
                    }
                }
            }
            5..8 => {
                let kind = rng.random_range(0..SITE_FAULTS.len());
                if fault_available_at[kind] <= at {
                    fault_available_at[kind] = end;
                    steps.push((at, FaultStep::StartFault(SITE_FAULTS[kind])));
                    steps.push((end, FaultStep::EndFault(SITE_FAULTS[kind])));
                }
            }
            8 => {
                let worker = rng.random_range(0..workers);
                steps.push((at, FaultStep::CrashWorker(worker, pause)));
            }
            9 | 10 => {
                let modes = [
                    ProxyMode::Delay(Duration::from_millis(150)),
                    ProxyMode::Limit(SLOW_LINK),
                    ProxyMode::BlockRequests,
                    ProxyMode::BlockResponses,
                    ProxyMode::Reset,
                ];
                let mode = modes[rng.random_range(0..modes.len())];
                steps.push((at, FaultStep::SetProxyMode(node, mode)));
                steps.push((end, FaultStep::SetProxyMode(node, ProxyMode::Forward)));
            }
            11 => steps.push((at, FaultStep::StallConnections(node))),
            12 => steps.push((at, FaultStep::Configure)),
            _ => {
                let kind = rng.random_range(0..2);
                steps.push((at, [FaultStep::Wave, FaultStep::Reload(node)][kind]));
            }
        }
        at += Duration::from_millis(rng.random_range(50..700));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}
