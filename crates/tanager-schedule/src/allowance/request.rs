//! Tasks that request to start under the limit of their workspace.

use crate::allowance::Amounts;
use crate::allowance::multiply;

/// Tasks of a step that request to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartRequest {
    /// Identifies the step, to tell for how long it has been waiting.
    pub step: u64,
    /// Resources of one task.
    pub amount: Amounts,
    /// Number of tasks.
    pub count: u64,
    /// Whether the tasks start as a whole or not at all.
    pub is_gang: bool,
}

impl StartRequest {
    /// Returns the smallest amount with which tasks of the step start.
    pub(crate) fn unit(&self) -> Amounts {
        match self.is_gang {
            true => multiply(&self.amount, self.count),
            false => self.amount,
        }
    }
}

/// Returns the largest number up to `most` that fits; `fits` is monotonic.
pub(crate) fn largest_fitting(most: u64, fits: impl Fn(u64) -> bool) -> u64 {
    let (mut low, mut high) = (0, most);
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        match fits(middle) {
            true => low = middle,
            false => high = middle - 1,
        }
    }
    low
}
