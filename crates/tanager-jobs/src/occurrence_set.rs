//! Set of the occurrences of a job that are done, in a form whose size follows from those that are not.

use serde::Deserialize;
use serde::Serialize;

use crate::record::decode_done;
use crate::record::encode_done;

/// Set of occurrence numbers. Its text takes a quarter of a byte for each number between the first that
/// is missing and the last.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OccurrenceSet {
    /// All numbers below this one are in the set.
    pub below: u32,
    /// Which numbers from `below` on are in the set: a bitmap in hexadecimal digits.
    pub bitmap: String,
}

impl OccurrenceSet {
    /// Collects numbers in ascending order.
    pub fn from_ascending(numbers: impl IntoIterator<Item = u32>) -> Self {
        let mut below = 0;
        let mut numbers = numbers.into_iter().peekable();
        while numbers.next_if_eq(&below).is_some() {
            below += 1;
        }
        Self::new(below, numbers)
    }

    /// Creates the set of all numbers below `below` and of `later` ones, in ascending order.
    pub fn new(below: u32, later: impl IntoIterator<Item = u32>) -> Self {
        let mut bits = Vec::new();
        for number in later {
            let position = number.saturating_sub(below) as usize;
            bits.resize(bits.len().max(position + 1), false);
            bits[position] = true;
        }
        Self {
            below,
            bitmap: encode_done(&bits).unwrap_or_default(),
        }
    }

    /// Returns the numbers below `limit`, in ascending order.
    pub fn numbers(&self, limit: u32) -> Vec<u32> {
        ((0..self.below.min(limit)).chain(self.later_numbers(limit))).collect()
    }

    /// Returns the numbers from `below` on that are below `limit`, in ascending order.
    pub fn later_numbers(&self, limit: u32) -> impl Iterator<Item = u32> {
        (decode_done(&self.bitmap).into_iter())
            .filter_map(|position| self.below.checked_add(u32::try_from(position).ok()?))
            .filter(move |number| *number < limit)
    }
}
