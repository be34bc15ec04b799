//! Conditional changes, and what became of them when the answer is lost.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::client::Exchange;
use crate::client::Reply;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

/// Entries searched for a change whose answer was lost. More than this many changes within the
/// timeout leave the outcome unknown.
const SEARCH_LIMIT: u64 = 1_000;
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);

/// A change to submit.
#[derive(Debug)]
pub(crate) struct ChangeRequest {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) body: Value,
    /// Text of a document to send as it is, so that the server finds mistakes that parsing and
    /// printing would hide, such as equal keys.
    pub(crate) document: Option<String>,
    /// Version the change is based on.
    pub(crate) expected: u64,
    /// Object that changes.
    pub(crate) object: ChangeObject,
}

impl ChangeRequest {
    fn to_body(&self) -> String {
        let expected = self.expected;
        if let Some(document) = &self.document {
            return format!("{{\"expected\":{expected},\"document\":{document}}}");
        }
        let mut body = self.body.clone();
        body["expected"] = json!(expected);
        body.to_string()
    }
}

/// Object that a change concerns, to find changes of others in the history.
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
            // Health reports and steps of a wave say nothing about an operator's change.
            Self::Vm(vm) => entry["kind"] != "report_vm" && entry["detail"]["vm"] == vm.as_str(),
            Self::Wave(wave) => {
                entry["kind"] != "step_wave" && entry["detail"]["wave"] == wave.as_str()
            }
        }
    }
}

impl Session {
    /// Version to base a change on: the given one, or the one just read.
    pub(crate) fn expected(&self, read: &Value) -> u64 {
        let version = read["version"].as_u64().unwrap_or(0);
        self.options.expected.unwrap_or(version)
    }

    /// Submits a change and returns its version.
    pub(crate) fn submit(&self, request: &ChangeRequest) -> Result<u64, Failure> {
        let body = request.to_body();
        let mut problems = Vec::new();
        let mut unready = None;
        for (index, node) in self.client.order() {
            match self
                .client
                .exchange(node, request.method, &request.path, Some(&body))
            {
                Exchange::Answered(reply) => match reply.status {
                    200 => {
                        self.client.preferred.set(index);
                        return parse_version(&reply);
                    }
                    // Not ready: nothing was sent to the store, so another node may be asked.
                    503 => unready = Some(reply.failure()),
                    500.. => return self.read_back(request, &reply.message()),
                    _ => return Err(reply.failure()),
                },
                Exchange::NotSent(problem) => problems.push(format!("{node}: {problem}")),
                Exchange::Lost(problem) => {
                    return self.read_back(request, &format!("{node}: {problem}"));
                }
            }
        }
        Err(unready.unwrap_or_else(|| Failure::Unreachable(problems.join("; "))))
    }

    /// Finds out whether a change took effect, by the operator tag in its author.
    fn read_back(&self, request: &ChangeRequest, problem: &str) -> Result<u64, Failure> {
        output::print_note(&format!(
            "the answer was lost ({problem}); reading back whether the change took effect"
        ));
        let deadline = Instant::now() + self.options.timeout;
        let own_author = format!("/{}", self.client.operator);
        loop {
            let path = format!("/v1/history?limit={SEARCH_LIMIT}");
            if let Ok(history) = self.client.read(&path) {
                let entries = history["entries"].as_array().cloned().unwrap_or_default();
                let version = |entry: &Value| entry["version"].as_u64().unwrap_or(0);
                let author = |entry: &Value| output::show_cell(&entry["author"]);
                let own = entries
                    .iter()
                    .find(|entry| author(entry).ends_with(&own_author));
                if let Some(entry) = own {
                    let found = version(entry);
                    output::print_note(&format!("the change took effect at version {found}"));
                    return Ok(found);
                }
                // A later change of the same object excludes that this one still takes effect,
                // because it is conditional. The history must reach back to the condition.
                let oldest = entries.iter().map(version).min().unwrap_or(u64::MAX);
                let other = entries.iter().find(|entry| {
                    version(entry) > request.expected && request.object.is_changed_by(entry)
                });
                if let Some(entry) = other.filter(|_| oldest <= request.expected + 1) {
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

    /// Prints a completed change.
    pub(crate) fn show_change(&self, text: &str, version: u64) {
        let value = json!({"version": version, "operator": self.client.operator});
        self.show(&value, |_| {
            output::print(&format!("{text} at version {version}"));
        });
    }
}

fn parse_version(reply: &Reply) -> Result<u64, Failure> {
    let missing = || Failure::Unknown("the answer has no version".to_owned());
    reply.body["version"].as_u64().ok_or_else(missing)
}
