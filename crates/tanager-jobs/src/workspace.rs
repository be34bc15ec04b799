//! Workspaces that share the fleet: their keys, weights and caps.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;

use sha2::Digest;
use sha2::Sha256;

use crate::ids::WorkspaceName;
use crate::worker::ResourceAmount;

/// SHA-256 of an API key. Keys are only kept as digests, so that no dump or log can show them.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

/// A workspace as the operator configures it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceConfig {
    /// Digests of the keys that its callers may present.
    pub keys: Vec<KeyDigest>,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Share of the capacity when all of it is in use, relative to other workspaces; also the
    /// number of jobs per second that the workspace is entitled to.
    pub weight: f64,
    /// Resources that the workspace may use at the same time over all workers; 0 means no limit.
    pub cap: ResourceAmount,
}

/// The workspaces of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceTable {
    workspaces: BTreeMap<WorkspaceName, WorkspaceConfig>,
    owners_by_key: HashMap<KeyDigest, WorkspaceName>,
}

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyDigest {
    /// Writes the first four bytes, which are enough to tell the keys of a configuration apart.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..4]
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({self})")
    }
}

impl WorkspaceConfig {
    /// Returns whether any resource of the workspace is limited.
    pub fn has_cap(&self) -> bool {
        self.cap != ResourceAmount::default()
    }
}

impl WorkspaceTable {
    /// Creates a table. A key of several workspaces belongs to the first one by name.
    pub fn new(workspaces: BTreeMap<WorkspaceName, WorkspaceConfig>) -> Self {
        let mut owners_by_key = HashMap::new();
        for (name, workspace) in &workspaces {
            for key in &workspace.keys {
                owners_by_key.entry(*key).or_insert_with(|| name.clone());
            }
        }
        Self {
            workspaces,
            owners_by_key,
        }
    }

    /// Returns the workspace that a key belongs to; `None` for an unknown key.
    pub fn find_by_key(&self, key: &str) -> Option<&WorkspaceName> {
        self.owners_by_key.get(&KeyDigest::of(key))
    }

    /// Returns a workspace.
    pub fn get(&self, name: &str) -> Option<&WorkspaceConfig> {
        self.workspaces.get(name)
    }

    /// Returns all workspaces in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkspaceName, &WorkspaceConfig)> {
        self.workspaces.iter()
    }

    /// Returns whether any workspace has a cap.
    pub fn has_caps(&self) -> bool {
        self.workspaces.values().any(WorkspaceConfig::has_cap)
    }
}
