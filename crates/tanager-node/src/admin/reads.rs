//! Routes that read the state of the node and the fleet.

use serde_json::Value;
use serde_json::json;

use tanager_http::HttpResponse;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::patch::ConfigPatch;

use super::reply::json_response;
use super::routes::RouteContext;

const DEFAULT_HISTORY_ENTRIES: usize = 20;
/// Limits the memory used by one response.
const MAX_HISTORY_ENTRIES: usize = 1_000;

/// Serves a GET request.
pub(super) async fn handle(
    context: &RouteContext,
    segments: &[&str],
    query: &str,
) -> TanagerResult<HttpResponse> {
    let backend = &context.backend;
    if segments == ["v1", "history"] {
        let limit = parse_limit(query)?;
        let entries = (backend.history)(limit).await?;
        let oldest = entries.last().map(|entry| entry.version);
        let missing_before = oldest.filter(|oldest| entries.len() < limit && *oldest > 1);
        let entries: Vec<Value> = entries.iter().map(entry_json).collect();
        return Ok(json_response(
            &json!({"entries": entries, "missing_before": missing_before}),
        ));
    }
    if !query.is_empty() {
        return Err(invalid("this path takes no query"));
    }
    let state = (backend.state)();
    let value = match segments {
        ["dump"] => (backend.dump)(),
        ["v1", "snapshot"] => {
            let snapshot = (backend.snapshot)(()).await?;
            return Ok(json_response(&snapshot));
        }
        ["v1", "config"] => json!({
            "version": state.version,
            "configured_version": state.configured_version,
            "configured_author": state.configured_author,
            "document": state.document,
        }),
        ["v1", "pools"] => json!({"version": state.version, "pools": pools_json(&state)}),
        ["v1", "vms"] => json!({"version": state.version, "vms": vms_json(&state)}),
        ["v1", "waves"] => json!({"version": state.version, "waves": state.waves}),
        ["v1", "quotas"] => json!({"version": state.version, "quotas": quotas_json(&state)}),
        ["v1", "nodes"] => json!({"version": state.version, "nodes": state.nodes}),
        _ => {
            return Err(TanagerError::new(
                ErrorKind::NotFound,
                "route",
                "",
                "no such path",
            ));
        }
    };
    Ok(json_response(&value))
}

fn parse_limit(query: &str) -> TanagerResult<usize> {
    if query.is_empty() {
        return Ok(DEFAULT_HISTORY_ENTRIES);
    }
    query
        .strip_prefix("limit=")
        .and_then(|limit| limit.parse().ok())
        .filter(|limit| (1..=MAX_HISTORY_ENTRIES).contains(limit))
        .ok_or_else(|| invalid("the query must be limit=N with N from 1 to 1000"))
}

fn invalid(message: &str) -> TanagerError {
    TanagerError::new(ErrorKind::Invalid, "parse_query", "", message)
}

/// Converts an entry to JSON, without its document, which is large at the design size.
fn entry_json(entry: &ChangeEntry) -> Value {
    let detail = match &entry.change {
        FleetChange::Configure { document } => json!({
            "site": document.site,
            "pools": document.pools.len(),
            "vms": document.vms.len(),
            "teams": document.teams.len(),
        }),
        FleetChange::Amend { patch } => patch_json(patch),
        change => serde_json::to_value(change)
            .ok()
            .and_then(|value| value.get(change.kind()).cloned())
            .unwrap_or_default(),
    };
    json!({
        "version": entry.version,
        "author": entry.author,
        "kind": entry.change.kind(),
        "detail": detail,
    })
}

/// Lists the names of the objects that a patch sets and removes; empty groups are omitted.
fn patch_json(patch: &ConfigPatch) -> Value {
    let mut detail = serde_json::Map::new();
    if let Some(site) = &patch.site {
        detail.insert("site".to_owned(), json!(site));
    }
    let groups: [(&str, Vec<&String>); 6] = [
        ("set_pools", patch.set_pools.keys().collect()),
        ("removed_pools", patch.removed_pools.iter().collect()),
        ("set_vms", patch.set_vms.keys().collect()),
        ("removed_vms", patch.removed_vms.iter().collect()),
        ("set_teams", patch.set_teams.keys().collect()),
        ("removed_teams", patch.removed_teams.iter().collect()),
    ];
    for (group, names) in groups {
        if !names.is_empty() {
            detail.insert(group.to_owned(), json!(names));
        }
    }
    Value::Object(detail)
}

fn pools_json(state: &FleetState) -> Vec<Value> {
    let show = |(pool, config): (&String, &tanager_protocol::config::PoolConfig)| {
        let records = || state.vms.values().filter(|record| record.pool == *pool);
        let available = |record: &&tanager_protocol::fleet::VmRecord| {
            record.activity == VmActivity::Active && record.health == VmHealth::Up
        };
        let wave = state
            .waves
            .iter()
            .find(|(_, wave)| wave.pool == *pool && !wave.is_over())
            .map(|(name, _)| name);
        json!({
            "pool": pool,
            "owner": config.owner,
            "floor": config.floor,
            "vms": records().count(),
            "available": records().filter(available).count(),
            "moving": records()
                .filter(|record| matches!(record.activity, VmActivity::Moving { .. }))
                .count(),
            "draining": records()
                .filter(|record| matches!(record.activity, VmActivity::Draining { .. }))
                .count(),
            "wave": wave,
        })
    };
    state.document.pools.iter().map(show).collect()
}

fn vms_json(state: &FleetState) -> Vec<Value> {
    let show = |(vm, record): (&String, &tanager_protocol::fleet::VmRecord)| {
        let config = state.document.vms.get(vm);
        json!({
            "vm": vm,
            "pool": record.pool,
            "activity": record.activity,
            "health": record.health,
            "version": record.version,
            "zone": config.map(|config| &config.zone),
            "rack": config.map(|config| &config.rack),
            "address": config.map(|config| config.address),
            "slots": config.map(|config| config.slots),
        })
    };
    state.vms.iter().map(show).collect()
}

fn quotas_json(state: &FleetState) -> Vec<Value> {
    let mut quotas = Vec::new();
    for (pool, config) in &state.document.pools {
        for (team, quota) in &config.quotas {
            quotas.push(json!({
                "pool": pool,
                "team": team,
                "rate": quota.rate,
                "burst": quota.burst,
                "weight": quota.weight,
            }));
        }
    }
    quotas
}
