//! Tasks of a workspace that wait for its limit in a cell.

use crate::allowance::Amounts;
use crate::allowance::add;
use crate::allowance::larger;
use crate::allowance::multiply;
use crate::allowance::request::StartRequest;

/// Tasks that wait for the limit of their workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WaitingTasks {
    /// Sum of the tasks.
    pub wanted: Amounts,
    /// Smallest amount with which one of them, or a gang, starts.
    pub smallest: Amounts,
    /// The amount with which one of them starts that has the least of each resource.
    pub least: [Amounts; 3],
    /// Largest such amount of each resource.
    pub largest: Amounts,
    /// Smallest task that is not part of a gang.
    pub single: Amounts,
}

impl WaitingTasks {
    /// Adds `count` tasks of a step to the sum.
    pub(super) fn add_tasks(&mut self, request: &StartRequest, count: u64) {
        self.wanted = add(&self.wanted, &multiply(&request.amount, count));
        self.largest = larger(&self.largest, &request.unit());
    }

    /// Adds a step whose tasks can use a larger limit.
    pub(super) fn add_step(&mut self, request: &StartRequest) {
        let unit = request.unit();
        let sum = |unit: &Amounts| unit.iter().sum::<u64>();
        let keep = |known: &mut Amounts, is_smaller: bool| {
            if *known == Amounts::default() || is_smaller {
                *known = unit;
            }
        };
        let is_smaller = sum(&unit) < sum(&self.smallest);
        keep(&mut self.smallest, is_smaller);
        for (resource, least) in self.least.iter_mut().enumerate() {
            let is_less = (unit[resource], sum(&unit)) < (least[resource], sum(least));
            keep(least, is_less);
        }
        if !request.is_gang {
            let is_smaller = sum(&unit) < sum(&self.single);
            keep(&mut self.single, is_smaller);
        }
    }

    /// Returns the amount to report as the smallest after this many refusals: the smallest one, or one
    /// that has the least of a resource, in turn. If a resource is nearly exhausted, the smallest may
    /// not fit while others do.
    pub(super) fn representative(&self, refusals: usize) -> Amounts {
        match refusals % (1 + self.least.len()) {
            0 => self.smallest,
            number => self.least[number - 1],
        }
    }
}
