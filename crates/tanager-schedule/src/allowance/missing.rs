//! Why a cell has no valid limit for a workspace whose tasks wait, for the log.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_jobs::ids::WorkspaceName;

use crate::allowance::Amounts;
use crate::allowance::amounts;
use crate::allowance::holder::CellAllowances;
use crate::settings::WorkspacePolicy;

/// Why a limit can no longer be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitEnd {
    /// No reply renewed it in time.
    Expired,
    /// It is part of a higher cap than the one in force.
    Void,
}

/// A limit that the cell no longer holds.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct EndedLimit {
    end: LimitEnd,
    limit: Amounts,
    valid_until: Duration,
}

/// A workspace whose tasks wait because the cell has no valid limit for it.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingLimit {
    /// Workspace.
    pub workspace: WorkspaceName,
    /// Why the last limit ended; `None` if there was none yet.
    pub end: Option<LimitEnd>,
    /// The last limit.
    pub limit: Amounts,
    /// Time since the end of the last limit's validity; zero for one that is void before.
    pub ended_for: Duration,
    /// Time since the last reply of an allocator; `None` before the first one.
    pub reply_age: Option<Duration>,
    /// Sum of the tasks that wait.
    pub wanted: Amounts,
}

impl CellAllowances {
    /// Returns the workspaces whose tasks wait because the cell has no valid limit.
    pub fn missing_limits(
        &self,
        policies: &BTreeMap<WorkspaceName, WorkspacePolicy>,
        now: Duration,
    ) -> Vec<MissingLimit> {
        let reply_age = (self.replied_at).map(|replied| now.saturating_sub(replied));
        (self.waiting.iter())
            .filter_map(|(name, waiting)| {
                let cap = amounts(&policies.get(name)?.cap);
                let ended = match self.limits.get(name) {
                    Some(_) => Some(self.ended_limit(name, Some(&cap), now)?),
                    None => self.ended.get(name).cloned(),
                };
                let valid_until = ended.as_ref().map_or(now, |ended| ended.valid_until);
                Some(MissingLimit {
                    workspace: name.clone(),
                    end: ended.as_ref().map(|ended| ended.end),
                    limit: ended.map_or_else(Amounts::default, |ended| ended.limit),
                    ended_for: now.saturating_sub(valid_until),
                    reply_age,
                    wanted: waiting.wanted,
                })
            })
            .collect()
    }

    /// Gives up the limits that are no longer valid. A void limit is given up too, because it would
    /// be valid again if the cap were raised.
    pub(super) fn end_limits(
        &mut self,
        policies: &BTreeMap<WorkspaceName, WorkspacePolicy>,
        now: Duration,
    ) {
        let names: Vec<WorkspaceName> = self.limits.keys().cloned().collect();
        for name in names {
            let cap = policies.get(&name).map(|policy| amounts(&policy.cap));
            if let Some(ended) = self.ended_limit(&name, cap.as_ref(), now) {
                self.limits.remove(&name);
                self.ended.insert(name, ended);
            }
        }
    }

    /// Returns how the held limit of a workspace ended; `None` if it is valid. `cap` is `None` for a
    /// workspace that is in no configuration.
    fn ended_limit(&self, name: &str, cap: Option<&Amounts>, now: Duration) -> Option<EndedLimit> {
        let held = self.limits.get(name)?;
        let end = if now >= held.valid_until {
            LimitEnd::Expired
        } else if cap.is_some_and(|cap| held.is_void(self.version, cap)) {
            LimitEnd::Void
        } else {
            return None;
        };
        Some(EndedLimit {
            end,
            limit: held.limit,
            valid_until: held.valid_until,
        })
    }
}
