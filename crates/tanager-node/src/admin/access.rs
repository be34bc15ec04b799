//! Bearer tokens and what their holders may change.

use std::collections::BTreeSet;

use sha2::Digest;
use sha2::Sha256;

use tanager_protocol::config::ConfigDocument;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::ids::PoolId;
use tanager_protocol::ids::TeamId;

/// Whose token a request carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum AccessRole {
    /// May do everything.
    Root,
    /// May read everything and change its own pools.
    Team(TeamId),
}

impl AccessRole {
    /// First part of the author of a change.
    pub(super) fn name(&self) -> &str {
        match self {
            Self::Root => "root",
            Self::Team(team) => team,
        }
    }

    /// Checks that the holder owns a pool.
    pub(super) fn check_pool(&self, document: &ConfigDocument, pool: &str) -> TanagerResult<()> {
        let Self::Team(team) = self else {
            return Ok(());
        };
        if document
            .pools
            .get(pool)
            .is_some_and(|config| config.owner == *team)
        {
            return Ok(());
        }
        Err(forbidden(format!("team {team} does not own pool {pool}")))
    }

    /// Checks that the holder may do what only the root token may.
    pub(super) fn check_root(&self, what: &str) -> TanagerResult<()> {
        match self {
            Self::Root => Ok(()),
            Self::Team(_) => Err(forbidden(format!("{what} needs the root token"))),
        }
    }

    /// Checks that a new document differs from the current one only in pools of the holder and
    /// in VMs within them.
    pub(super) fn check_document(
        &self,
        state: &FleetState,
        new: &ConfigDocument,
    ) -> TanagerResult<()> {
        let Self::Team(team) = self else {
            return Ok(());
        };
        let old = &state.document;
        let denied = |what: &str| {
            let message = format!("team {team} may change only its own pools, not {what}");
            Err(forbidden(message))
        };
        if old.site != new.site {
            return denied("the site");
        }
        if old.teams != new.teams {
            return denied("the teams");
        }
        let pools: BTreeSet<&PoolId> = old.pools.keys().chain(new.pools.keys()).collect();
        for pool in pools {
            let (before, after) = (old.pools.get(pool), new.pools.get(pool));
            let kept = match (before, after) {
                (Some(before), Some(after)) => before.owner == *team && after.owner == *team,
                _ => false,
            };
            if before != after && !kept {
                return denied(&format!("pool {pool}"));
            }
        }
        let owns = |pool: &PoolId| old.pools.get(pool).is_some_and(|pool| pool.owner == *team);
        let vms: BTreeSet<_> = old.vms.keys().chain(new.vms.keys()).collect();
        for vm in vms {
            let (before, after) = (old.vms.get(vm), new.vms.get(vm));
            if before == after {
                continue;
            }
            // The record names the pool after moves; the document names the first pool.
            let current = state.vms.get(vm).map(|record| &record.pool);
            let current_owned = current.is_none_or(owns);
            let after_owned = match (before, after) {
                (Some(before), Some(after)) if before.pool == after.pool => true,
                (_, Some(after)) => owns(&after.pool),
                (_, None) => true,
            };
            if !current_owned || !after_owned || (current.is_none() && before.is_some()) {
                return denied(&format!("VM {vm}"));
            }
        }
        Ok(())
    }
}

fn forbidden(message: String) -> TanagerError {
    TanagerError::new(ErrorKind::Forbidden, "authorise", "", message)
}

/// Finds whose token this is.
pub(super) fn find_role(
    root_token: &str,
    document: &ConfigDocument,
    token: &str,
) -> Option<AccessRole> {
    if token.is_empty() {
        return None;
    }
    let digest = hex_digest(token);
    let is_root =
        !root_token.is_empty() && equal_in_constant_time(&hex_digest(root_token), &digest);
    let mut found = None;
    // Every team is compared, so that the time does not tell which one matched.
    for (team, config) in &document.teams {
        let equal = equal_in_constant_time(&config.token_sha256, &digest);
        if equal && found.is_none() {
            found = Some(AccessRole::Team(team.clone()));
        }
    }
    if is_root {
        Some(AccessRole::Root)
    } else {
        found
    }
}

fn hex_digest(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Compares without an early exit. Lengths are not secret: a digest has 64 digits.
fn equal_in_constant_time(left: &str, right: &str) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let difference = left
        .bytes()
        .zip(right.bytes())
        .fold(0, |difference, (left, right)| difference | (left ^ right));
    std::hint::black_box(difference) == 0
}
