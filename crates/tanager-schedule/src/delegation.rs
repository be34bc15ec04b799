//! Choice of the cell of a pool that runs an arriving job: its own cell or a sibling.
//!
//! Load: a pool of several cells in a surge. Jobs are assigned to cells by the hash of their id, so
//! a cell that gets more work than its cores can do has a backlog while a sibling is idle.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobSpec;
use tanager_jobs::StepSpec;
use tanager_jobs::WorkerEntry;
use tanager_jobs::ids::CellName;

use crate::capacity::PoolLoad;

/// A job is delegated if its wait in its own cell exceeds that in the sibling by more than this: a
/// delegation costs two transactions of 15 to 25 ms and a call, and the loads are up to 200 ms old.
pub const WAIT_THRESHOLD: Duration = Duration::from_millis(300);
/// Age from which a load is not used: two reports in a row are missing.
pub const MAX_LOAD_AGE: Duration = Duration::from_millis(500);
/// Time for which a sibling that refused a job is not chosen.
pub const REFUSAL_PAUSE: Duration = Duration::from_millis(1_000);
/// Time for which a cell sends no job to a sibling that sent it one. Waits change by more than the
/// threshold between two reports when a few large jobs arrive, and jobs would flow both ways.
pub const RETURN_PAUSE: Duration = Duration::from_millis(1_000);
/// Siblings whose waits differ by less than this are taken as equal, and jobs are spread over them.
const EQUAL_WAIT: Duration = Duration::from_millis(50);
/// Time after which a job without a known outcome no longer counts as sent.
const MAX_SENT_AGE: Duration = Duration::from_millis(5_000);

/// Load and size of a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CellLoad {
    /// Waiting work, in core-seconds.
    pub backlog: f64,
    /// Cores of its usable workers.
    pub cores: f64,
    /// Whether its workers can hold each step of the job at once.
    pub holds_widest_step: bool,
}

/// Load of a sibling as last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiblingLoad {
    /// Load and size.
    pub load: CellLoad,
    /// Work sent there that the report does not contain, in core-seconds.
    pub sent: f64,
    /// Age of the report; `None` without a report.
    pub age: Option<Duration>,
    /// Time since its last refusal; `None` if it has not refused a job.
    pub refused_ago: Option<Duration>,
    /// Time since it last delegated a job to this cell; `None` if it has not.
    pub received_ago: Option<Duration>,
}

/// What a job asks of a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobDemand {
    /// Expected processor time, in core-seconds.
    pub work: f64,
    /// Whether the job does not wait with others: it is long-running or repeated. It is delegated
    /// only if its own cell cannot hold a step at once.
    pub is_scheduled_apart: bool,
    /// Number that spreads jobs over equal siblings, for instance the job's id.
    pub draw: u64,
}

/// Decision where a job runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CellChoice {
    /// In its own cell.
    Keep,
    /// In a sibling.
    Delegate {
        /// Index of the sibling.
        sibling: usize,
        /// Wait in its own cell.
        own_wait: Duration,
        /// Wait in the sibling.
        sibling_wait: Duration,
    },
}

impl CellLoad {
    /// Returns the time until the cores have done the waiting work and `added` core-seconds.
    fn wait(&self, added: f64) -> Duration {
        let seconds = (self.backlog + added).max(0.0) / self.cores.max(0.001);
        Duration::from_secs_f64(seconds.min(1e6))
    }
}

impl SiblingLoad {
    fn is_usable(&self) -> bool {
        self.load.cores > 0.0
            && self.age.is_some_and(|age| age <= MAX_LOAD_AGE)
            && self.refused_ago.is_none_or(|ago| ago >= REFUSAL_PAUSE)
            && self.received_ago.is_none_or(|ago| ago >= RETURN_PAUSE)
    }
}

/// Decides where a job runs.
///
/// Each cell that sees the same idle sibling sends jobs there, and the reports show them only after
/// 200 ms. What this cell sent since the report is therefore multiplied by the number of cells that
/// may send as well: all with a longer wait, because one near the threshold soon exceeds it.
pub fn choose_cell(own: &CellLoad, siblings: &[SiblingLoad], job: &JobDemand) -> CellChoice {
    let own_wait = own.wait(job.work);
    let wait_in = |sibling: &SiblingLoad| {
        let reported = sibling.load.wait(0.0);
        let rivals = (siblings.iter())
            .filter(|other| other.age.is_some_and(|age| age <= MAX_LOAD_AGE))
            .filter(|other| other.load.wait(0.0) > reported)
            .count();
        let sent = sibling.sent * (rivals as f64 + 1.0);
        sibling.load.wait(sent + job.work)
    };
    let must_move = !own.holds_widest_step
        && (siblings.iter()).any(|sibling| sibling.is_usable() && sibling.load.holds_widest_step);
    if job.is_scheduled_apart && !must_move {
        return CellChoice::Keep;
    }
    let needs_width = own.holds_widest_step || must_move;
    let waits: Vec<(usize, Duration)> = (siblings.iter().enumerate())
        .filter(|(_, sibling)| sibling.is_usable())
        .filter(|(_, sibling)| sibling.load.holds_widest_step || !needs_width)
        .map(|(index, sibling)| (index, wait_in(sibling)))
        .filter(|(_, wait)| must_move || own_wait > *wait + WAIT_THRESHOLD)
        .collect();
    let Some(shortest) = waits.iter().map(|(_, wait)| *wait).min() else {
        return CellChoice::Keep;
    };
    let equal: Vec<(usize, Duration)> = (waits.into_iter())
        .filter(|(_, wait)| *wait < shortest + EQUAL_WAIT)
        .collect();
    let (sibling, sibling_wait) = equal[(job.draw % equal.len() as u64) as usize];
    CellChoice::Delegate {
        sibling,
        own_wait,
        sibling_wait,
    }
}

/// Returns whether workers that run nothing else can hold each step of a job at once.
pub fn holds_widest_step(workers: &[WorkerEntry], spec: &JobSpec) -> bool {
    spec.steps.iter().all(|step| holds_step(workers, step))
}

fn holds_step(workers: &[WorkerEntry], step: &StepSpec) -> bool {
    let request = step.reserved();
    let slots = |available: u64, needed: u64| available.checked_div(needed).unwrap_or(u64::MAX);
    let mut held = 0u64;
    for worker in workers.iter().filter(|worker| !worker.draining) {
        let is_labelled =
            (step.requirement.as_ref()).is_none_or(|label| worker.labels.contains(label));
        if !is_labelled {
            continue;
        }
        let capacity = &worker.capacity;
        let mut tasks = slots(capacity.cpu, request.cpu)
            .min(slots(capacity.memory_mb, request.memory_mb))
            .min(slots(capacity.gpu, request.gpu));
        if step.anti_affinity > 0 {
            tasks = tasks.min(u64::from(step.anti_affinity));
        }
        held = held.saturating_add(tasks);
    }
    held >= u64::from(step.count)
}

/// What the owner of a cell knows of its siblings.
#[derive(Debug, Default)]
pub struct SiblingTable {
    siblings: BTreeMap<CellName, SiblingEntry>,
}

#[derive(Debug, Default)]
struct SiblingEntry {
    report: Option<LoadReport>,
    refused_at: Option<Duration>,
    received_at: Option<Duration>,
    sent: Vec<SentJob>,
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    load: CellLoad,
    requested_at: Duration,
}

/// A job that was sent to a sibling.
#[derive(Debug)]
struct SentJob {
    id: JobId,
    work: f64,
    sent_at: Duration,
    /// Time at which the sibling was known to have stored it.
    stored_at: Option<Duration>,
}

impl SiblingTable {
    /// Records the load that a sibling reported.
    pub fn record_load(&mut self, cell: &str, load: &PoolLoad, requested_at: Duration) {
        let entry = self.entry(cell);
        if (entry.report).is_some_and(|report| report.requested_at > requested_at) {
            return;
        }
        entry.report = Some(LoadReport {
            load: CellLoad {
                backlog: load.backlog,
                cores: load.cores,
                holds_widest_step: false,
            },
            requested_at,
        });
        // The report contains what was stored before it was requested.
        (entry.sent).retain(|job| job.stored_at.is_none_or(|stored| stored >= requested_at));
    }

    /// Records that a sibling has no owner that responds.
    pub fn record_unreachable(&mut self, cell: &str) {
        self.entry(cell).report = None;
    }

    /// Records that a sibling refused a job.
    pub fn record_refusal(&mut self, cell: &str, id: JobId, now: Duration) {
        let entry = self.entry(cell);
        entry.refused_at = Some(now);
        entry.sent.retain(|job| job.id != id);
    }

    /// Records that a sibling delegated a job to this cell.
    pub fn record_received(&mut self, cell: &str, now: Duration) {
        self.entry(cell).received_at = Some(now);
    }

    /// Records that a job is sent to a sibling. `work` is in core-seconds.
    pub fn record_sent(&mut self, cell: &str, id: JobId, work: f64, now: Duration) {
        let sent = SentJob {
            id,
            work,
            sent_at: now,
            stored_at: None,
        };
        self.entry(cell).sent.push(sent);
    }

    /// Records that a sibling has stored a job.
    pub fn record_stored(&mut self, cell: &str, id: JobId, now: Duration) {
        for job in &mut self.entry(cell).sent {
            if job.id == id {
                job.stored_at.get_or_insert(now);
            }
        }
    }

    /// Returns the load of a sibling.
    pub fn load(&mut self, cell: &str, holds_widest_step: bool, now: Duration) -> SiblingLoad {
        let entry = self.entry(cell);
        (entry.sent).retain(|job| now.saturating_sub(job.sent_at) < MAX_SENT_AGE);
        let report = entry.report;
        SiblingLoad {
            load: CellLoad {
                holds_widest_step,
                ..report.map(|report| report.load).unwrap_or_default()
            },
            sent: entry.sent.iter().map(|job| job.work).sum(),
            age: report.map(|report| now.saturating_sub(report.requested_at)),
            refused_ago: entry.refused_at.map(|at| now.saturating_sub(at)),
            received_ago: entry.received_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// Describes each sibling for the state dump.
    pub fn summary(&self, now: Duration) -> BTreeMap<CellName, String> {
        let describe = |entry: &SiblingEntry| {
            let report = entry.report.map_or("no load".to_owned(), |report| {
                format!(
                    "backlog {:.1} on {:.1} cores, {:?} ago",
                    report.load.backlog,
                    report.load.cores,
                    now.saturating_sub(report.requested_at)
                )
            });
            let refused_ago = entry.refused_at.map(|at| now.saturating_sub(at));
            format!(
                "{report}, sent since {}, refused {refused_ago:?} ago",
                entry.sent.len()
            )
        };
        (self.siblings.iter())
            .map(|(cell, entry)| (cell.clone(), describe(entry)))
            .collect()
    }

    fn entry(&mut self, cell: &str) -> &mut SiblingEntry {
        self.siblings.entry(cell.to_owned()).or_default()
    }
}
