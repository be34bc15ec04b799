//! Expected wait of a job behind the backlog of a cell.
//!
//! Load: one workspace floods a cell and its tasks wait for the cap of the workspace. They use no more
//! than the cap however many wait, so jobs of other workspaces find room, while new jobs of this one
//! wait for as long as the cap takes.

use std::time::Duration;

/// Longest wait that is returned.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3_600);

/// Unplaced work of a workspace in a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceBacklog {
    /// Processor time of its unplaced tasks, in core-seconds.
    pub work: f64,
    /// Number of cores that it may use.
    pub cores: f64,
}

impl WorkspaceBacklog {
    /// Returns the time in seconds that its backlog takes if it uses all that it may.
    fn shortest_time(&self) -> f64 {
        match self.work > 0.0 {
            true => self.work / self.cores,
            false => 0.0,
        }
    }
}

/// Returns for how long a job waits: until its workspace, whose backlog is `own`, has done what waits
/// before it, and until the cell has room. `all` has the backlogs of all workspaces of the cell, and
/// `cores` is its number of cores.
pub fn expected_wait(own: &WorkspaceBacklog, all: &[WorkspaceBacklog], cores: f64) -> Duration {
    let wait = own.shortest_time().max(time_without_room(all, cores));
    Duration::try_from_secs_f64(wait).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
}

/// Returns the time in seconds for which the backlogs use all cores: the first time at which what
/// each of them can have done by then is no more than the cores can do.
fn time_without_room(all: &[WorkspaceBacklog], cores: f64) -> f64 {
    let mut backlogs: Vec<_> = all.iter().filter(|backlog| backlog.work > 0.0).collect();
    backlogs.sort_by(|left, right| left.shortest_time().total_cmp(&right.shortest_time()));
    let mut used: f64 = backlogs.iter().map(|backlog| backlog.cores).sum();
    if used <= cores {
        return 0.0;
    }
    let mut done = 0.0;
    let mut ends = backlogs
        .iter()
        .map(|backlog| backlog.shortest_time())
        .skip(1);
    for backlog in &backlogs {
        done += backlog.work;
        used -= backlog.cores;
        let wait = done / (cores - used);
        let next_end = ends.next().unwrap_or(f64::INFINITY);
        if used < cores && wait <= next_end {
            return wait;
        }
    }
    done / cores
}
