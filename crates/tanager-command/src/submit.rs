//! Submits conditional changes and determines their outcome after a lost response.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::client::ApiResponse;
use crate::client::ExchangeResult;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

/// Number of history entries searched for a change whose response was lost. If more changes are
/// made within the timeout, the outcome remains unknown.
const SEARCH_LIMIT: u64 = 1_000;
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);

/// A change to submit.
#[derive(Debug)]
pub(crate) struct ChangeRequest {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) body: Value,
    /// Document text to send unmodified, so that the server detects mistakes that parsing and
    /// printing would hide, such as duplicate keys.
    pub(crate) document: Option<String>,
    /// Version on which the change is based.
    pub(crate) expected_version: u64,
    /// Object that the change concerns.
    pub(crate) object: ChangeObject,
}

impl ChangeRequest {
    fn to_body(&self) -> String {
        let expected_version = self.expected_version;
        if let Some(document) = &self.document {
            return format!("{{\"expected\":{expected_version},\"document\":{document}}}");
        }
        let mut body = self.body.clone();
        body["expected"] = json!(expected_version);
        body.to_string()
    }
}

/// Object that a change concerns, used to find changes of other operators in the history.
#[derive(Debug)]
pub(crate) enum ChangeObject {
    /// The configuration document.
    Document,
    /// A VM.
    Vm(String),
    /// A maintenance wave.
    Wave(String),
}

impl ChangeObject {
    fn is_changed_by(&self, entry: &Value) -> bool {
        match self {
            Self::Document => entry["kind"] == "configure" || entry["kind"] == "amend",
            // Health reports and steps of a wave do not conflict with a change of an operator.
            Self::Vm(vm) => entry["kind"] != "report_vm" && entry["detail"]["vm"] == vm.as_str(),
            Self::Wave(wave) => {
                entry["kind"] != "step_wave" && entry["detail"]["wave"] == wave.as_str()
            }
        }
    }
}

impl Session {
    /// Returns the version on which to base a change: the given one or the one just read.
    pub(crate) fn expected_version(&self, read: &Value) -> u64 {
        let version = read["version"].as_u64().unwrap_or(0);
        self.options.expected_version.unwrap_or(version)
    }

    /// Submits a change and returns its version.
    pub(crate) fn submit(&self, request: &ChangeRequest) -> Result<u64, Failure> {
        let body = request.to_body();
        let mut problems = Vec::new();
        let mut not_ready_failure = None;
        for (index, node) in self.client.nodes_by_preference() {
            match self
                .client
                .exchange(node, request.method, &request.path, Some(&body))
            {
                ExchangeResult::Answered(reply) => match reply.status {
                    200 => {
                        self.client.preferred_node.set(index);
                        return parse_version(&reply);
                    }
                    // Not ready: nothing was sent to the store, so another node may be tried.
                    503 => not_ready_failure = Some(reply.to_failure()),
                    500.. => return self.find_outcome(request, &reply.error_message()),
                    _ => return Err(reply.to_failure()),
                },
                ExchangeResult::NotSent(problem) => problems.push(format!("{node}: {problem}")),
                ExchangeResult::Lost(problem) => {
                    return self.find_outcome(request, &format!("{node}: {problem}"));
                }
            }
        }
        Err(not_ready_failure.unwrap_or_else(|| Failure::Unreachable(problems.join("; "))))
    }

    /// Searches the history for the operator tag to determine whether a change took effect.
    fn find_outcome(&self, request: &ChangeRequest, problem: &str) -> Result<u64, Failure> {
        output::print_note(&format!(
            "the response was lost ({problem}); reading back whether the change took effect"
        ));
        let deadline = Instant::now() + self.options.timeout;
        let own_author = format!("/{}", self.client.operator);
        loop {
            let path = format!("/v1/history?limit={SEARCH_LIMIT}");
            if let Ok(history) = self.client.read(&path) {
                let entries = history["entries"].as_array().cloned().unwrap_or_default();
                let version = |entry: &Value| entry["version"].as_u64().unwrap_or(0);
                let author = |entry: &Value| output::format_cell(&entry["author"]);
                let own_entry = entries
                    .iter()
                    .find(|entry| author(entry).ends_with(&own_author));
                if let Some(entry) = own_entry {
                    let found_version = version(entry);
                    output::print_note(&format!(
                        "the change took effect at version {found_version}"
                    ));
                    return Ok(found_version);
                }
                // The change is conditional: after a later change of the same object it can no
                // longer take effect. The history must reach back to the expected version.
                let oldest_version = entries.iter().map(version).min().unwrap_or(u64::MAX);
                let other_change = entries.iter().find(|entry| {
                    version(entry) > request.expected_version && request.object.is_changed_by(entry)
                });
                if let Some(entry) =
                    other_change.filter(|_| oldest_version <= request.expected_version + 1)
                {
                    let message = format!(
                        "the change did not take effect: {} came first, at version {}",
                        author(entry),
                        version(entry)
                    );
                    return Err(Failure::Conflict(message));
                }
            }
            if Instant::now() + SEARCH_INTERVAL > deadline {
                let message = format!(
                    "{problem}; the change is not in the history so far and may still take \
                     effect, look for author {own_author} in tanagerladder history"
                );
                return Err(Failure::Unknown(message));
            }
            thread::sleep(SEARCH_INTERVAL);
        }
    }

    /// Prints the version and the operator tag of an accepted change.
    pub(crate) fn print_change(&self, text: &str, version: u64) {
        let value = json!({"version": version, "operator": self.client.operator});
        self.print_result(&value, |_| {
            output::print(&format!("{text} at version {version}"));
        });
    }
}

fn parse_version(reply: &ApiResponse) -> Result<u64, Failure> {
    let missing_version = || Failure::Unknown("the response contains no version".to_owned());
    reply.body["version"].as_u64().ok_or_else(missing_version)
}
