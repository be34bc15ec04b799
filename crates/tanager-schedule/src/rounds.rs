//! Number of rounds in which the tasks of a step run.

use tanager_jobs::StepSpec;

use crate::allowance::Amounts;
use crate::allowance::amounts;

/// A step wider than this part of its cell runs in several rounds.
const CELL_PART: u64 = 4;

/// What limits the number of tasks of a step that run at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoundLimits {
    /// Cap of the workspace; 0 means no limit.
    pub cap: Amounts,
    /// Cores of the cell, in thousandths.
    pub cell_cpu: u64,
}

impl RoundLimits {
    /// Returns the number of rounds in which `count` tasks of a step run: more than one if they are
    /// wider than their workspace may run, or than a quarter of their cell.
    pub fn rounds(&self, step: &StepSpec, count: u32) -> u32 {
        if step.gang || step.long_running {
            return 1;
        }
        let request = amounts(&step.request);
        let by_cap = (0..3).map(|index| (self.cap[index], request[index]));
        let by_cell = (self.cell_cpu / CELL_PART, step.reserved().cpu);
        let at_once = (by_cap.chain([by_cell]))
            .filter(|(limit, request)| *limit > 0 && *request > 0)
            .map(|(limit, request)| (limit / request).max(1))
            .min();
        let count = u64::from(count.max(1));
        count.div_ceil(at_once.unwrap_or(count)) as u32
    }
}
