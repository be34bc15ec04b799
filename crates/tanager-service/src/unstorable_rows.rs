//! Rows that the store rejects: which of a rejected transaction they are, and when they are tried
//! again.
//!
//! A transaction is rejected as a whole. Its rows become suspects and are stored apart from the others, in
//! halves, until a unit is rejected alone. This unit is set aside, and everything else is stored at full
//! size. Transactions with suspects and with other rows take turns, so that neither waits for the other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::ids::WorkerId;

/// Pause before a unit that was rejected alone is tried again. It doubles with each rejection.
const MIN_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Maximum pause: one rejected transaction in this time is the lasting cost of a unit.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(32);
/// Time after which a unit that is no longer offered is forgotten, for instance a job that its client
/// does not submit again.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Rows that are stored or rejected together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RowUnit {
    /// A worker of the cell.
    Worker(WorkerId),
    /// A new job.
    Job(JobId),
    /// The row of a job of an absorbed cell, by its key.
    Copy(String),
    /// A delegated job.
    Delegation(JobId),
    /// The progress of a job, which may have several rows.
    Progress(JobId),
}

impl fmt::Display for RowUnit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Worker(id) => write!(formatter, "worker/{id}"),
            Self::Job(id) => write!(formatter, "job/{id}"),
            Self::Copy(key) => write!(formatter, "copy/{key}"),
            Self::Delegation(id) => write!(formatter, "delegation/{id}"),
            Self::Progress(id) => write!(formatter, "progress/{id}"),
        }
    }
}

/// Units of a rejected transaction, to be stored together and apart from others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectGroup {
    units: BTreeSet<RowUnit>,
    /// Maximum number of rows of a transaction with these units.
    max_rows: usize,
}

/// Which units the next transaction may contain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowSelection {
    /// All that are neither suspect nor set aside.
    Unsuspected,
    /// Those of a group.
    Suspects(SuspectGroup),
}

/// A transaction that the store rejected.
#[derive(Clone, Debug)]
pub struct RejectedRows {
    /// What it was restricted to.
    pub selection: RowSelection,
    /// Units that it contained rows of.
    pub units: BTreeSet<RowUnit>,
    /// Number of their rows.
    pub rows: usize,
    /// Whether it contained other entries, which may have caused the rejection and are not repeated.
    pub has_others: bool,
}

/// What follows from a rejection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RejectionResult {
    /// The units are stored in smaller transactions.
    Divided,
    /// This unit was rejected alone, for the `rejections`th time, and is set aside.
    SetAside {
        /// The unit.
        unit: RowUnit,
        /// Number of its rejections.
        rejections: u32,
    },
    /// The transaction had no row that could be left out.
    Indivisible,
}

#[derive(Clone, Copy, Debug)]
struct SetAsideUnit {
    rejections: u32,
    rejected_at: Duration,
    retry_at: Duration,
}

/// State of the search for rejected rows.
#[derive(Debug, Default)]
pub struct UnstorableRows {
    groups: VecDeque<SuspectGroup>,
    set_aside: BTreeMap<RowUnit, SetAsideUnit>,
    /// Whether the last transaction contained suspects.
    was_group: bool,
}

impl RowSelection {
    /// Returns the maximum number of rows of the transaction.
    pub fn max_rows(&self) -> usize {
        match self {
            Self::Unsuspected => usize::MAX,
            Self::Suspects(group) => group.max_rows,
        }
    }
}

impl UnstorableRows {
    /// Returns what the next transaction may contain. Units whose retry is due are tried alone.
    pub fn select(&mut self, now: Duration) -> RowSelection {
        let due: Vec<RowUnit> = (self.set_aside.iter())
            .filter(|(_, entry)| entry.retry_at <= now)
            .map(|(unit, _)| unit.clone())
            .collect();
        for unit in due {
            if let Some(entry) = self.set_aside.get_mut(&unit) {
                entry.retry_at = now + retry_pause(entry.rejections);
            }
            self.groups.push_back(SuspectGroup {
                units: BTreeSet::from([unit]),
                max_rows: usize::MAX,
            });
        }
        self.set_aside
            .retain(|_, entry| now.saturating_sub(entry.rejected_at) < FORGET_AFTER);
        self.was_group = !self.was_group;
        match self.was_group.then(|| self.groups.pop_front()).flatten() {
            Some(group) => RowSelection::Suspects(group),
            None => RowSelection::Unsuspected,
        }
    }

    /// Returns whether a transaction may contain a unit.
    pub fn is_selected(&self, selection: &RowSelection, unit: &RowUnit) -> bool {
        match selection {
            RowSelection::Suspects(group) => group.units.contains(unit),
            RowSelection::Unsuspected => {
                !self.set_aside.contains_key(unit)
                    && !self.groups.iter().any(|group| group.units.contains(unit))
            }
        }
    }

    /// Returns whether a unit was rejected alone and is not due to be tried again.
    pub fn is_set_aside(&self, unit: &RowUnit, now: Duration) -> bool {
        (self.set_aside.get(unit)).is_some_and(|entry| entry.retry_at > now)
            && !self.groups.iter().any(|group| group.units.contains(unit))
    }

    /// Adds a unit that a former owner found to be rejected.
    pub fn add_set_aside(&mut self, unit: RowUnit, now: Duration) {
        self.set_aside(unit, now);
    }

    /// Returns how often a unit was rejected alone.
    pub fn rejections(&self, unit: &RowUnit) -> u32 {
        self.set_aside.get(unit).map_or(0, |entry| entry.rejections)
    }

    /// Returns whether suspects wait for a transaction.
    pub fn has_suspects(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Returns the time of the next retry.
    pub fn next_retry(&self) -> Option<Duration> {
        self.set_aside.values().map(|entry| entry.retry_at).min()
    }

    /// Returns a selection whose transaction was neither applied nor rejected.
    pub fn restore(&mut self, selection: RowSelection) {
        if let RowSelection::Suspects(group) = selection {
            self.groups.push_front(group);
        }
    }

    /// Records that units are stored.
    pub fn record_stored<'a>(&mut self, units: impl IntoIterator<Item = &'a RowUnit>) {
        if !self.set_aside.is_empty() {
            for unit in units {
                self.set_aside.remove(unit);
            }
        }
    }

    /// Records a rejected transaction.
    pub fn record_rejected(&mut self, rejected: RejectedRows, now: Duration) -> RejectionResult {
        let RejectedRows {
            selection,
            units,
            rows,
            has_others,
        } = rejected;
        if units.is_empty() {
            self.restore(selection);
            return match has_others {
                true => RejectionResult::Divided,
                false => RejectionResult::Indivisible,
            };
        }
        if has_others {
            self.groups.push_back(SuspectGroup {
                units,
                max_rows: usize::MAX,
            });
            return RejectionResult::Divided;
        }
        match units.first() {
            Some(unit) if units.len() == 1 && rows <= 1 => self.set_aside(unit.clone(), now),
            _ if units.len() == 1 => {
                self.groups.push_back(SuspectGroup {
                    units,
                    max_rows: rows / 2,
                });
                RejectionResult::Divided
            }
            _ => {
                let mut lower = units;
                let middle = lower.iter().nth(lower.len() / 2).cloned();
                let upper = middle.map(|middle| lower.split_off(&middle));
                for units in [lower].into_iter().chain(upper) {
                    self.groups.push_back(SuspectGroup {
                        units,
                        max_rows: usize::MAX,
                    });
                }
                RejectionResult::Divided
            }
        }
    }

    fn set_aside(&mut self, unit: RowUnit, now: Duration) -> RejectionResult {
        let rejections = self.rejections(&unit) + 1;
        let entry = SetAsideUnit {
            rejections,
            rejected_at: now,
            retry_at: now + retry_pause(rejections),
        };
        self.set_aside.insert(unit.clone(), entry);
        RejectionResult::SetAside { unit, rejections }
    }
}

/// Returns the pause before a row that was rejected so many times is tried again.
pub fn retry_pause(rejections: u32) -> Duration {
    let doubled = 2u32.saturating_pow(rejections.saturating_sub(1));
    MIN_RETRY_PAUSE.saturating_mul(doubled).min(MAX_RETRY_PAUSE)
}
