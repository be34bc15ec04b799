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
        let mut later = Vec::new();
        for number in numbers {
            if later.is_empty() && number == below {
                below += 1;
                continue;
            }
            let position = number.saturating_sub(below) as usize;
            later.resize(later.len().max(position + 1), false);
            later[position] = true;
        }
        Self {
            below,
            bitmap: encode_done(&later).unwrap_or_default(),
        }
    }

    /// Returns the numbers below `limit`, in ascending order.
    pub fn numbers(&self, limit: u32) -> Vec<u32> {
        let later = (decode_done(&self.bitmap).into_iter())
            .filter_map(|position| self.below.checked_add(u32::try_from(position).ok()?));
        ((0..self.below.min(limit)).chain(later))
            .filter(|number| *number < limit)
            .collect()
    }
}
