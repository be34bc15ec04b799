//! Random faults of a play: drawn from its seed, several at a time.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::proxy::ProxyMode;

/// Faults of the stand-in's store and workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SiteFault {
    StoreRefuses,
    StoreSilent,
    ChangesLost,
    OrdersLost,
}

const SITE_FAULTS: [SiteFault; 4] = [
    SiteFault::StoreRefuses,
    SiteFault::StoreSilent,
    SiteFault::ChangesLost,
    SiteFault::OrdersLost,
];

/// A step of a play.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FaultStep {
    Kill(usize),
    /// Starts a node that was killed.
    Restart(usize),
    Freeze(usize),
    Thaw(usize),
    /// SIGTERM; the node is started again once it has ended.
    Terminate(usize),
    Reload(usize),
    Begin(SiteFault),
    End(SiteFault),
    Proxy(usize, ProxyMode),
    /// Open connections to the store go silent for good.
    Silence(usize),
    CrashWorker(usize, Duration),
    /// A new version of the configuration.
    Configure,
    /// A maintenance wave over all VMs.
    Wave,
}

/// Draws the steps of a play, in the order of their times. A node has one fault of its process at
/// a time, and the site one of each kind; all others overlap.
pub(crate) fn draw_steps(
    seed: u64,
    length: Duration,
    nodes: usize,
    workers: usize,
) -> Vec<(Duration, FaultStep)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut node_free = vec![Duration::ZERO; nodes];
    let mut site_free = [Duration::ZERO; SITE_FAULTS.len()];
    let mut at = Duration::ZERO;
    while at < length {
        let node = random.random_range(0..nodes);
        let pause = Duration::from_millis(random.random_range(200..3_000));
        let end = at + pause;
        let mut process = |begin: FaultStep, then: Option<FaultStep>| {
            if node_free[node] <= at {
                node_free[node] = end + Duration::from_millis(500);
                steps.push((at, begin));
                steps.extend(then.map(|then| (end, then)));
            }
        };
        match random.random_range(0..14) {
            0 => process(FaultStep::Kill(node), Some(FaultStep::Restart(node))),
            1 | 2 => process(FaultStep::Freeze(node), Some(FaultStep::Thaw(node))),
            3 => process(FaultStep::Terminate(node), None),
            4 => {
                for (node, free) in node_free.iter_mut().enumerate() {
                    if *free <= at {
                        *free = at + Duration::from_millis(600);
                        steps.push((at, FaultStep::Kill(node)));
                        steps.push((at + Duration::from_millis(50), FaultStep::Restart(node)));
                    }
                }
            }
            5..8 => {
                let kind = random.random_range(0..SITE_FAULTS.len());
                if site_free[kind] <= at {
                    site_free[kind] = end;
                    steps.push((at, FaultStep::Begin(SITE_FAULTS[kind])));
                    steps.push((end, FaultStep::End(SITE_FAULTS[kind])));
                }
            }
            8 => {
                let worker = random.random_range(0..workers);
                steps.push((at, FaultStep::CrashWorker(worker, pause)));
            }
            9 | 10 => {
                let modes = [
                    ProxyMode::Delay(Duration::from_millis(150)),
                    ProxyMode::CutRequests,
                    ProxyMode::CutAnswers,
                    ProxyMode::Reset,
                ];
                let mode = modes[random.random_range(0..modes.len())];
                steps.push((at, FaultStep::Proxy(node, mode)));
                steps.push((end, FaultStep::Proxy(node, ProxyMode::Pass)));
            }
            11 => steps.push((at, FaultStep::Silence(node))),
            12 => steps.push((at, FaultStep::Configure)),
            _ => {
                let kind = random.random_range(0..2);
                steps.push((at, [FaultStep::Wave, FaultStep::Reload(node)][kind]));
            }
        }
        at += Duration::from_millis(random.random_range(50..700));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}
