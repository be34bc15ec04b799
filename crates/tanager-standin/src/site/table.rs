//! Metadata store of the stand-in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use http::StatusCode;
use percent_encoding::percent_decode_str;
use serde_json::Value;
use serde_json::json;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;

use super::RowRejection;
use super::SharedSite;
use super::SiteState;
use super::faults::should_trigger;
use super::json_response;
use super::lock;
use super::parse_body;

type RowKey = (String, String, String);

/// Maximum number of rows of one response.
const MAX_PAGE_ROWS: usize = 500;
/// Maximum size of a row's value.
const MAX_ROW_BYTES: usize = 65_536;
/// Maximum number of conditions, writes and removals of one transaction.
const MAX_ENTRIES: usize = 100;
/// Documented size of a change, in bytes.
const MAX_CHANGE_BYTES: usize = 1_000_000;

#[derive(Clone, Debug)]
struct SiteRow {
    value: String,
    version: u64,
    deleted: bool,
}

/// Rows that share one version counter.
#[derive(Debug, Default)]
pub struct SiteTable {
    rows: BTreeMap<RowKey, SiteRow>,
    version: u64,
    /// JSON texts that replace the values of rows in responses to reads, by placeholder.
    raw_values: BTreeMap<String, String>,
    /// Number of served requests by kind.
    pub calls: BTreeMap<&'static str, u64>,
}

impl SiteTable {
    /// Writes a row.
    pub fn put(&mut self, table: &str, part: &str, key: &str, value: &[u8]) {
        self.version += 1;
        let row = SiteRow {
            value: encode(value),
            version: self.version,
            deleted: false,
        };
        self.rows
            .insert((table.to_owned(), part.to_owned(), key.to_owned()), row);
    }

    /// Writes a row whose value in responses is this JSON text instead of a Base64 string.
    pub fn put_raw(&mut self, table: &str, part: &str, key: &str, json: &str) {
        let placeholder = format!("raw value {}", self.raw_values.len());
        self.raw_values
            .insert(format!("\"{placeholder}\""), json.to_owned());
        self.put(table, part, key, b"");
        let row_key = (table.to_owned(), part.to_owned(), key.to_owned());
        if let Some(row) = self.rows.get_mut(&row_key) {
            row.value = placeholder;
        }
    }

    /// Returns a response to a read.
    fn read_response(&self, body: &Value) -> HttpResponse {
        let mut text = body.to_string();
        for (placeholder, json) in &self.raw_values {
            text = text.replace(placeholder, json);
        }
        HttpResponse::with_content_type(StatusCode::OK, "application/json", text)
    }

    /// Removes a row.
    pub fn remove(&mut self, table: &str, part: &str, key: &str) {
        let row_key = (table.to_owned(), part.to_owned(), key.to_owned());
        if let Some(row) = self.rows.get_mut(&row_key).filter(|row| !row.deleted) {
            self.version += 1;
            row.version = self.version;
            row.deleted = true;
        }
    }

    /// Returns the value of a row; `None` when it does not exist.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        let row_key = (table.to_owned(), part.to_owned(), key.to_owned());
        let row = self.rows.get(&row_key).filter(|row| !row.deleted)?;
        decode(&row.value)
    }

    /// Returns the number of rows in a part of a table.
    pub fn count(&self, table: &str, part: &str) -> usize {
        self.keys(table, part).len()
    }

    /// Returns the keys of the rows in a part of a table.
    pub fn keys(&self, table: &str, part: &str) -> Vec<String> {
        (self.rows.iter())
            .filter(|((of_table, of_part, _), row)| {
                of_table == table && of_part == part && !row.deleted
            })
            .map(|((_, _, key), _)| key.clone())
            .collect()
    }

    fn current_version(&self, row_key: &RowKey) -> u64 {
        self.rows
            .get(row_key)
            .filter(|row| !row.deleted)
            .map_or(0, |row| row.version)
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expect, puts, removals) = (list("expect"), list("puts"), list("remove"));
        let parts: BTreeSet<String> = (expect.iter().chain(&puts).chain(&removals))
            .map(|row| row_key(row).1)
            .collect();
        if expect.len() + puts.len() + removals.len() > MAX_ENTRIES || parts.len() > 1 {
            return (400, json!({"error": "too many entries or parts"}));
        }
        let is_large = (puts.iter())
            .filter_map(|row| row["value"].as_str())
            .any(|value| value.len() / 4 * 3 > MAX_ROW_BYTES + 2);
        if is_large {
            return (400, json!({"error": "a row is too large"}));
        }
        let is_conflict = (expect.iter()).any(|row| {
            self.current_version(&row_key(row)) != row["row_version"].as_u64().unwrap_or(0)
        });
        if is_conflict {
            let rows: Vec<Value> = (expect.iter())
                .map(|row| self.row_json(&row_key(row)))
                .collect();
            return (412, json!({"rows": rows, "row_version": self.version}));
        }
        self.version += 1;
        for row in &puts {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            let new_row = SiteRow {
                value,
                version: self.version,
                deleted: false,
            };
            self.rows.insert(row_key(row), new_row);
        }
        for row in &removals {
            if let Some(entry) = self.rows.get_mut(&row_key(row)) {
                entry.version = self.version;
                entry.deleted = true;
            }
        }
        (200, json!({"row_version": self.version, "now_ms": 0}))
    }

    fn row_json(&self, row_key: &RowKey) -> Value {
        let (table, part, key) = row_key;
        match self.rows.get(row_key) {
            Some(row) if !row.deleted => json!({"table": table, "part": part, "key": key,
                "value": row.value, "row_version": row.version}),
            Some(row) => json!({"table": table, "part": part, "key": key,
                "row_version": row.version, "deleted": true}),
            None => json!({"table": table, "part": part, "key": key, "row_version": 0}),
        }
    }

    fn read_part(&self, query: &BTreeMap<String, String>) -> Value {
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (field("table"), field("part"), field("from"));
        let end = query.get("target");
        let limit = (query.get("limit").and_then(|text| text.parse().ok()))
            .map_or(MAX_PAGE_ROWS, |limit: usize| limit.min(MAX_PAGE_ROWS));
        let row_keys: Vec<RowKey> = (self.rows.iter())
            .filter(|((row_table, row_part, key), row)| {
                *row_table == table
                    && *row_part == part
                    && *key >= from
                    && end.is_none_or(|end| key < end)
                    && !row.deleted
            })
            .map(|(row_key, _)| row_key.clone())
            .collect();
        let rows: Vec<Value> = (row_keys.iter().take(limit))
            .map(|row_key| self.row_json(row_key))
            .collect();
        json!({"rows": rows, "has_more": row_keys.len() > limit,
               "row_version": self.version})
    }

    fn read_feed(&self, query: &BTreeMap<String, String>) -> Value {
        let table = query.get("table").cloned().unwrap_or_default();
        let after: u64 = query
            .get("after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut changed: Vec<(&RowKey, u64)> = (self.rows.iter())
            .filter(|((row_table, _, _), row)| *row_table == table && row.version > after)
            .map(|(row_key, row)| (row_key, row.version))
            .collect();
        changed.sort_by_key(|(_, version)| *version);
        let rows: Vec<Value> = changed
            .iter()
            .map(|(row_key, _)| self.row_json(row_key))
            .collect();
        json!({"rows": rows, "row_version": self.version})
    }

    fn list_parts(&self, query: &BTreeMap<String, String>) -> Value {
        let table = query.get("table").cloned().unwrap_or_default();
        let parts: BTreeSet<&String> = (self.rows.iter())
            .filter(|((row_table, _, _), row)| *row_table == table && !row.deleted)
            .map(|((_, part, _), _)| part)
            .collect();
        json!({"parts": parts, "has_more": false})
    }
}

/// Applies a change; returns the status and the body of the response, `None` if there is none.
fn apply_change(state: &mut SiteState, request: &HttpRequest) -> Option<(u16, Value)> {
    *state.table.calls.entry("change").or_default() += 1;
    let limit = match state.faults.max_change_bytes {
        0 => MAX_CHANGE_BYTES,
        limit => limit,
    };
    let change = parse_body(request);
    let (status, body) = match rejected_row(&mut state.row_rejections, &change) {
        _ if request.body.len() > limit => too_large(),
        None => state.table.commit(&change),
        Some(rejection) if rejection.unanswered > 0 => {
            rejection.unanswered -= 1;
            return None;
        }
        Some(rejection) => (rejection.status, json!({"error": "a row is not accepted"})),
    };
    match status {
        200 => {}
        412 => {
            let rejected_at = state.start.elapsed();
            let tables = change["puts"].as_array().into_iter().flatten();
            let tables = tables.filter_map(|row| row["table"].as_str());
            let conflicts = tables.map(|table| (table.to_owned(), rejected_at));
            state.conflicts.extend(conflicts);
        }
        _ => state.rejected_changes += 1,
    }
    Some((status, body))
}

/// Returns the rejection that a row of a change meets.
fn rejected_row<'a>(
    rejections: &'a mut [RowRejection],
    change: &Value,
) -> Option<&'a mut RowRejection> {
    let puts = change["puts"].as_array()?;
    (rejections.iter_mut()).find(|rejection| {
        puts.iter().any(|row| {
            let (table, _, key) = row_key(row);
            table == rejection.table && key.contains(&rejection.key)
        })
    })
}

fn too_large() -> (u16, Value) {
    (400, json!({"error": "over 100 entries or 1 MB"}))
}

fn row_key(row: &Value) -> RowKey {
    let field = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (field("table"), field("part"), field("key"))
}

/// Serves a request to the store.
pub(crate) async fn handle(state: SharedSite, request: HttpRequest) -> HttpResponse {
    let faults = lock(&state).faults;
    if faults.store_unresponsive {
        return std::future::pending().await;
    }
    if faults.store_refuses {
        return HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let query: BTreeMap<String, String> = (query.split('&'))
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| {
            let value = percent_decode_str(value).decode_utf8_lossy().into_owned();
            (name.to_owned(), value)
        })
        .collect();
    match path {
        "/rows-tx" if faults.changes_refused => {
            HttpResponse::new(StatusCode::TOO_MANY_REQUESTS, "")
        }
        "/rows-tx" => {
            let answer = apply_change(&mut lock(&state), &request);
            let Some((status, body)) = answer else {
                return std::future::pending().await;
            };
            if should_trigger(faults.change_response_loss_rate) {
                return std::future::pending().await;
            }
            json_response(status, &body)
        }
        "/rows-feed" if faults.history_dropped => HttpResponse::new(StatusCode::GONE, ""),
        "/rows-feed" => {
            let table = &lock(&state).table;
            table.read_response(&table.read_feed(&query))
        }
        "/rows-get" => {
            let table = &lock(&state).table;
            table.read_response(&table.read_part(&query))
        }
        "/rows-parts" => json_response(200, &lock(&state).table.list_parts(&query)),
        _ => HttpResponse::new(StatusCode::NOT_FOUND, ""),
    }
}

fn encode(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn decode(text: &str) -> Option<Vec<u8>> {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.decode(text).ok()
}
