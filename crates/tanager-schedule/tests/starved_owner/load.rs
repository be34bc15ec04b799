//! Workspaces and the jobs that they ask for.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobSpec;
use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;
use tanager_schedule::QueuePolicy;
use tanager_schedule::WorkspacePolicy;

pub(crate) const QUEUE: &str = "queue";
/// Wall clock at the start, in milliseconds.
pub(crate) const WALL_MS: u64 = 1_000_000;
pub(crate) const WORKSPACES: usize = 20;
/// Workspace that floods the pool.
pub(crate) const FLOODING: usize = 2;
/// Jobs per second of all workspaces without a flood; the workers serve 79.
const USUAL_RATE: f64 = 40.0;
/// Jobs per second of the flooding workspace in its flood.
pub(crate) const FLOOD_RATE: f64 = 300.0;
/// Mean processor time of a job, in core-seconds: 1.6 steps of 8 tasks of 0.8 s on 6.2 cores.
const MEAN_WORK: f64 = 1.6 * 8.0 * 0.8 * 6.2;
/// Cap of a workspace, as a multiple of the cores that it uses on average.
const CAP_FACTOR: f64 = 4.0;
/// Lowest cap, and the cap of the flooding workspace, in thousandths of a core.
const MIN_CAP: u64 = 600_000;
const FLOODING_CAP: u64 = 4_000_000;

pub(crate) fn workspace_name(workspace: usize) -> String {
    format!("ws{workspace:02}")
}

/// Returns the usual rates of the workspaces: shares of rank^-1.2.
pub(crate) fn usual_rates() -> Vec<f64> {
    let parts: Vec<f64> = (1..=WORKSPACES)
        .map(|rank| (rank as f64).powf(-1.2))
        .collect();
    let sum: f64 = parts.iter().sum();
    parts.iter().map(|part| part / sum * USUAL_RATE).collect()
}

pub(crate) fn workspace_policies() -> Vec<(String, WorkspacePolicy)> {
    (usual_rates().into_iter().enumerate())
        .map(|(workspace, rate)| {
            let cores = (rate * MEAN_WORK * CAP_FACTOR * 1e3) as u64;
            let cpu = match workspace {
                FLOODING => FLOODING_CAP,
                _ => cores.max(MIN_CAP),
            };
            let cap = ResourceAmount {
                cpu,
                memory_mb: 0,
                gpu: 0,
            };
            (
                workspace_name(workspace),
                WorkspacePolicy { weight: rate, cap },
            )
        })
        .collect()
}

pub(crate) fn queue_policy() -> QueuePolicy {
    QueuePolicy::default()
}

/// Creates a job of one or two steps; sizes vary by half around their means.
pub(crate) fn random_job(rng: &mut SmallRng, number: u64, workspace: usize) -> JobRecord {
    let steps = 1 + usize::from(rng.random_bool(0.6));
    let request = ResourceAmount {
        cpu: rng.random_range(3_100..=9_300),
        memory_mb: 1_000,
        gpu: 0,
    };
    let steps = (0..steps).map(|index| StepSpec {
        count: rng.random_range(4..=12),
        request,
        estimated_ms: rng.random_range(400..=1_200),
        after: (index > 0).then_some(0).into_iter().collect(),
        ..StepSpec::default()
    });
    JobRecord {
        id: JobId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        queue: QUEUE.to_owned(),
        pool: "pool".to_owned(),
        accepted_ms: 0,
        max_attempts: 3,
        spec: JobSpec {
            specification: "work".to_owned(),
            steps: steps.collect(),
            ..JobSpec::default()
        },
        workspace: Some(workspace_name(workspace)),
        exceeds_rate: false,
    }
}

/// Returns the processor time of a job, in core-seconds.
pub(crate) fn work(steps: &[StepSpec]) -> f64 {
    (steps.iter())
        .map(|step| f64::from(step.count) * (step.request.cpu * step.estimated_ms) as f64 / 1e6)
        .sum()
}

/// Returns the time within which the caller needs the result, from the first request on.
pub(crate) fn target_time(record: &JobRecord) -> Duration {
    let policy = queue_policy();
    let critical_path: u64 = record.spec.steps.iter().map(|step| step.estimated_ms).sum();
    Duration::from_millis(critical_path).mul_f64(policy.stretch) + policy.target_latency
}
