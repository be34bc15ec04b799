//! Which occurrences of a job are done.

use std::collections::BTreeSet;

use tanager_jobs::OccurrenceSet;

/// Set of occurrence numbers whose memory follows from those that are done out of turn, not from all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DoneOccurrences {
    /// All numbers below this one are in the set.
    below: u32,
    /// Numbers above `below`.
    later: BTreeSet<u32>,
}

impl DoneOccurrences {
    /// Restores a stored set; numbers from `total` on are ignored.
    pub fn from_set(set: &OccurrenceSet, total: u32) -> Self {
        let mut done = Self {
            below: set.below.min(total),
            later: set.later_numbers(total).collect(),
        };
        done.close_gap();
        done
    }

    /// Returns the set as it is stored.
    pub fn to_set(&self) -> OccurrenceSet {
        OccurrenceSet::new(self.below, self.later.iter().copied())
    }

    /// Adds a number.
    pub fn insert(&mut self, number: u32) {
        if number >= self.below {
            self.later.insert(number);
            self.close_gap();
        }
    }

    /// Returns whether a number is in the set.
    pub fn contains(&self, number: u32) -> bool {
        number < self.below || self.later.contains(&number)
    }

    /// Returns the lowest number that is not in the set.
    pub fn first_missing(&self) -> u32 {
        self.below
    }

    /// Returns how many numbers are in the set.
    pub fn count(&self) -> usize {
        self.below as usize + self.later.len()
    }

    fn close_gap(&mut self) {
        while self.later.first() == Some(&self.below) {
            self.later.pop_first();
            self.below += 1;
        }
    }
}
