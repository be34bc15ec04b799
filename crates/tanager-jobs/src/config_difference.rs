//! Differences between two configurations. Keys are only compared and shown as digests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::config_summary::ConfigSummary;
use crate::config_summary::WorkspaceSummary;
use crate::ids::WorkspaceName;

/// Differences between two configurations.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigDifference {
    /// Version of the former configuration.
    pub from_version: u64,
    /// Version of the newer configuration.
    pub to_version: u64,
    /// Entries and fields that differ, except keys.
    pub changes: Vec<ConfigChange>,
    /// Workspaces whose keys differ.
    pub keys: Vec<KeyChange>,
}

/// An entry that was added or removed, or a field that was changed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigChange {
    /// Entry, as `queue NAME`, `pool NAME`, `workspace NAME` or `configuration`.
    pub entry: String,
    /// Field; `null` if the whole entry was added or removed.
    pub field: Option<String>,
    /// Former value; `null` if there was none.
    pub from: Value,
    /// New value; `null` if there is none.
    pub to: Value,
}

/// Keys of a workspace that were added or withdrawn.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyChange {
    /// Workspace.
    pub workspace: WorkspaceName,
    /// Number of keys that were added.
    pub added_count: usize,
    /// Digests of the keys that were added.
    pub added: Vec<String>,
    /// Number of keys that were withdrawn.
    pub withdrawn_count: usize,
    /// Digests of the keys that were withdrawn.
    pub withdrawn: Vec<String>,
}

impl ConfigDifference {
    /// Compares two configurations. Of queues with the same name, the last one is compared, which
    /// is the one in use. The order of entries and the sizes of VMs make no difference.
    pub fn between(from: &ConfigSummary, to: &ConfigSummary) -> Self {
        let mut changes = Vec::new();
        compare_entry(
            "configuration",
            Some(&settings_of(from)),
            Some(&settings_of(to)),
            &mut changes,
        );
        let (from_entries, to_entries) = (entries_of(from), entries_of(to));
        let names: BTreeSet<_> = from_entries.keys().chain(to_entries.keys()).collect();
        for name in names {
            let (from, to) = (from_entries.get(name), to_entries.get(name));
            compare_entry(name, from, to, &mut changes);
        }
        Self {
            from_version: from.version,
            to_version: to.version,
            changes,
            keys: compare_keys(from, to),
        }
    }

    /// Returns whether the configurations differ in nothing but their versions.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.keys.is_empty()
    }
}

/// Writes one line for each difference: `+` added, `-` removed, `~` changed.
impl fmt::Display for ConfigDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            let ConfigChange {
                entry,
                field,
                from,
                to,
            } = change;
            match field {
                Some(field) => writeln!(formatter, "~ {entry}: {field} {from} -> {to}")?,
                None if from.is_null() => writeln!(formatter, "+ {entry}: {to}")?,
                None => writeln!(formatter, "- {entry}: {from}")?,
            }
        }
        for change in &self.keys {
            let name = &change.workspace;
            for (sign, verb, digests) in [
                ('+', "added", &change.added),
                ('-', "withdrawn", &change.withdrawn),
            ] {
                if !digests.is_empty() {
                    let (count, digests) = (digests.len(), digests.join(", "));
                    writeln!(
                        formatter,
                        "{sign} workspace {name}: keys {verb}: {count} ({digests})"
                    )?;
                }
            }
        }
        Ok(())
    }
}

fn settings_of(config: &ConfigSummary) -> Value {
    json!({"max_body": config.max_body, "requires_keys": config.workspaces.is_some()})
}

/// Returns the entries by kind and name, without the keys of workspaces.
fn entries_of(config: &ConfigSummary) -> BTreeMap<String, Value> {
    let queues = (config.queues.iter()).map(|queue| {
        let mut value = json!(queue);
        if let Value::Object(fields) = &mut value {
            fields.remove("queue");
        }
        (format!("queue {}", queue.queue), value)
    });
    let pools = (config.pools.iter()).map(|(name, pool)| (format!("pool {name}"), json!(pool)));
    let workspaces = (config.workspaces.iter().flatten()).map(|(name, workspace)| {
        let WorkspaceSummary {
            priority,
            weight,
            cap,
            keys: _,
        } = workspace;
        let value = json!({"priority": priority, "weight": weight, "cap": cap});
        (format!("workspace {name}"), value)
    });
    queues.chain(pools).chain(workspaces).collect()
}

fn compare_entry(
    name: &str,
    from: Option<&Value>,
    to: Option<&Value>,
    changes: &mut Vec<ConfigChange>,
) {
    let mut push = |field: Option<&String>, from: &Value, to: &Value| {
        changes.push(ConfigChange {
            entry: name.to_owned(),
            field: field.cloned(),
            from: from.clone(),
            to: to.clone(),
        });
    };
    match (from, to) {
        (Some(Value::Object(from)), Some(Value::Object(to))) => {
            let fields: BTreeSet<_> = from.keys().chain(to.keys()).collect();
            for field in fields {
                let absent = Value::Null;
                let old = from.get(field).unwrap_or(&absent);
                let new = to.get(field).unwrap_or(&absent);
                if old != new {
                    push(Some(field), old, new);
                }
            }
        }
        (from, to) if from != to => {
            push(
                None,
                from.unwrap_or(&Value::Null),
                to.unwrap_or(&Value::Null),
            );
        }
        _ => {}
    }
}

fn compare_keys(from: &ConfigSummary, to: &ConfigSummary) -> Vec<KeyChange> {
    let digests = |config: &ConfigSummary| -> BTreeMap<WorkspaceName, BTreeSet<String>> {
        (config.workspaces.iter().flatten())
            .map(|(name, workspace)| (name.clone(), workspace.keys.iter().cloned().collect()))
            .collect()
    };
    let (from, to) = (digests(from), digests(to));
    let names: BTreeSet<_> = from.keys().chain(to.keys()).collect();
    let none = BTreeSet::new();
    (names.into_iter())
        .filter_map(|name| {
            let old = from.get(name).unwrap_or(&none);
            let new = to.get(name).unwrap_or(&none);
            let added: Vec<_> = new.difference(old).cloned().collect();
            let withdrawn: Vec<_> = old.difference(new).cloned().collect();
            (old != new).then(|| KeyChange {
                workspace: name.clone(),
                added_count: added.len(),
                added,
                withdrawn_count: withdrawn.len(),
                withdrawn,
            })
        })
        .collect()
}
