//! Rows and entries of other writers that cannot be used: each is counted and logged once, although it
//! may be read many times a second.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tanager_site::store::RowVersion;

/// Maximum number of remembered rows, at some 500 bytes each. Further ones are only counted, so that
/// many of them fill neither the memory nor the log.
const MAX_REMEMBERED: usize = 1_000;

/// Rows that cannot be used at present, by source and key.
#[derive(Debug, Default)]
pub struct SkippedRows {
    rows: Mutex<BTreeMap<(&'static str, String), SkippedRow>>,
}

#[derive(Debug)]
struct SkippedRow {
    version: RowVersion,
    problem: String,
}

/// What to do about a row that cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SkipReport {
    /// It was read before.
    None,
    /// Count it: a new version with the problem of the one before, or one too many to remember.
    Count,
    /// Count and log it.
    CountAndLog,
}

impl SkippedRows {
    /// Records that a row cannot be used. `version` is 0 for what has none.
    pub fn record(
        &self,
        source: &'static str,
        key: &str,
        version: RowVersion,
        problem: &str,
    ) -> SkipReport {
        let mut rows = self.lock();
        let name = (source, key.to_owned());
        let count = rows.len();
        let known = rows.get_mut(&name);
        if known.is_none() && count >= MAX_REMEMBERED {
            return SkipReport::Count;
        }
        let row = SkippedRow {
            version,
            problem: problem.to_owned(),
        };
        match known {
            Some(known) if known.problem == problem && known.version == version => SkipReport::None,
            Some(known) if known.problem == problem => {
                *known = row;
                SkipReport::Count
            }
            Some(known) => {
                *known = row;
                SkipReport::CountAndLog
            }
            None => {
                rows.insert(name, row);
                SkipReport::CountAndLog
            }
        }
    }

    /// Forgets a row, because it can be used or was removed.
    pub fn forget(&self, source: &'static str, key: &str) {
        let mut rows = self.lock();
        if !rows.is_empty() {
            rows.remove(&(source, key.to_owned()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(&'static str, String), SkippedRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
