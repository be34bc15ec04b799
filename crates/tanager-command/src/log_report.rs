//! What the reports of commands that read logs have in common.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use crate::failure::Failure;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FindingLevel {
    /// Nothing in the logs shows that it was harmless.
    Fault,
    /// Harmless, but only just or only on an assumption that the logs do not prove.
    NearMiss,
}

impl Display for FindingLevel {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Fault => "fault",
            Self::NearMiss => "near miss",
        })
    }
}

/// Which histories are printed.
#[derive(Clone, Copy, Debug)]
pub enum HistoryChoice<'a> {
    /// Of the objects with findings of level [`FindingLevel::Fault`].
    Faults,
    /// Of all objects.
    All,
    /// Of the objects with this name.
    Only(&'a str),
}

impl<'a> HistoryChoice<'a> {
    /// Returns the choice of `--OPTION NAME` and `--all`, which exclude each other.
    pub(crate) fn from_options(
        option: &str,
        name: Option<&'a str>,
        all: bool,
    ) -> Result<Self, Failure> {
        match (name, all) {
            (Some(_), true) => {
                let message = format!("--{option} and --all exclude each other");
                Err(Failure::Usage(message))
            }
            (Some(name), false) => Ok(Self::Only(name)),
            (None, true) => Ok(Self::All),
            (None, false) => Ok(Self::Faults),
        }
    }

    /// Returns whether findings about an object are reported; `is_named` tells whether it has a
    /// name.
    pub(crate) fn includes(self, is_named: impl FnOnce(&str) -> bool) -> bool {
        match self {
            Self::Faults | Self::All => true,
            Self::Only(name) => is_named(name),
        }
    }
}

/// A report about what logs show.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogReport {
    /// Text.
    pub text: String,
    /// Number of findings of level [`FindingLevel::Fault`].
    pub faults: usize,
    /// Number of findings of level [`FindingLevel::NearMiss`].
    pub near_misses: usize,
}

/// Returns the line that tells of missing lines; empty if there are none.
pub(crate) fn describe_missing(dropped: u64, unreadable: u64) -> String {
    match dropped + unreadable {
        0 => String::new(),
        _ => {
            format!("incomplete: {dropped} lines dropped by the nodes, {unreadable} unreadable\n")
        }
    }
}

/// Counts the findings of a level.
pub(crate) fn count_of(
    level: FindingLevel,
    levels: impl IntoIterator<Item = FindingLevel>,
) -> usize {
    let of_level = levels.into_iter().filter(|other| *other == level);
    of_level.count()
}
