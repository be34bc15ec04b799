//! Authentication by bearer token and the permissions of each role.

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

/// Role of the holder of a token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum AccessRole {
    /// All permissions.
    Root,
    /// Permission to read everything and to change the pools of this team.
    Team(TeamId),
}

impl AccessRole {
    /// Returns the name that begins the author of a change.
    pub(super) fn name(&self) -> &str {
        match self {
            Self::Root => "root",
            Self::Team(team) => team,
        }
    }

    /// Checks that the role may change a pool.
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

    /// Checks that the role may perform an operation reserved for the root token.
    pub(super) fn check_root(&self, operation: &str) -> TanagerResult<()> {
        match self {
            Self::Root => Ok(()),
            Self::Team(_) => Err(forbidden(format!("{operation} needs the root token"))),
        }
    }

    /// Checks that a new document differs from the current one only in pools that the role owns and
    /// in their VMs.
    pub(super) fn check_document(
        &self,
        state: &FleetState,
        new: &ConfigDocument,
    ) -> TanagerResult<()> {
        let Self::Team(team) = self else {
            return Ok(());
        };
        let old = &state.document;
        let denied = |object: &str| {
            let message = format!("team {team} may change only its own pools, not {object}");
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
            let owned = match (before, after) {
                (Some(before), Some(after)) => before.owner == *team && after.owner == *team,
                _ => false,
            };
            if before != after && !owned {
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
            // The record has the current pool of the VM; the document has the pool before any
            // moves.
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

/// Returns the role of a token; `None` if the token is unknown.
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
    // Compares with every team, so that the time taken does not reveal which one matched.
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

/// Compares without an early exit. The length is not secret: every digest has 64 digits.
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
