//! How many tasks a round of placement starts.
//!
//! Load: a schedule of which hundreds of thousands of occurrences were missed. They would take all workers for hours
//! and let each new job wait for one of their tasks to end. They get tasks started only while theirs use less
//! than half of the cell's cores; a job that waits while less than half is in use would be taken for lost.

/// Maximum number of starts in a round. More follow in the next one, so that reports and lease renewals do not wait
/// for the placement of thousands of tasks.
pub const MAX_STARTS: usize = 512;

/// Limits of the starts in a round.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartLimits {
    /// Number of starts so far.
    placed: usize,
    /// Cores that missed occurrences use, in thousandths.
    missed_cpu: u64,
    /// Cores of the cell, in thousandths.
    cell_cpu: u64,
    /// Whether the step that is considered now is of a missed occurrence.
    pub is_missed: bool,
}

impl StartLimits {
    /// Begins a round in which missed occurrences already use `missed_cpu` of `cell_cpu`, in thousandths of a core.
    pub fn new(missed_cpu: u64, cell_cpu: u64) -> Self {
        Self {
            missed_cpu,
            cell_cpu,
            ..Self::default()
        }
    }

    /// Returns whether the round may start no further task.
    pub fn is_exhausted(&self) -> bool {
        self.placed >= MAX_STARTS
    }

    /// Returns how many tasks of the step may start that reserve `cpu` each, in thousandths of a core.
    pub fn limit(&self, cpu: u64) -> usize {
        let left = MAX_STARTS.saturating_sub(self.placed);
        if !self.is_missed {
            return left;
        }
        let room = (self.cell_cpu / 2).saturating_sub(self.missed_cpu);
        match cpu {
            _ if room == 0 => 0,
            0 => left,
            _ => left.min(room.div_ceil(cpu) as usize),
        }
    }

    /// Counts a start of the step that reserves `cpu`, in thousandths of a core.
    pub fn record(&mut self, cpu: u64) {
        self.placed += 1;
        if self.is_missed {
            self.missed_cpu += cpu;
        }
    }
}
