//! Arguments and API client of a command.

use std::cell::Cell;
use std::hash::BuildHasher;
use std::hash::Hasher;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::client::NodeClient;
use crate::failure::Failure;
use crate::input::read_text;
use crate::log_report::LogReport;
use crate::options::CommandLine;
use crate::options::Options;
use crate::options::parse_address;
use crate::output;

/// Interval between two reads while a command waits.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Arguments and API client of a command.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) client: NodeClient,
    pub(crate) options: Options,
    pub(crate) positionals: Vec<String>,
}

impl Session {
    /// Creates a session; options that are not given are read from the environment.
    /// Without `sends_requests`, neither a node nor a token is needed.
    pub(crate) fn open(line: CommandLine, sends_requests: bool) -> Result<Self, Failure> {
        let options = line.options;
        if !sends_requests {
            let client = NodeClient {
                nodes: Vec::new(),
                token: String::new(),
                operator: String::new(),
                timeout: options.timeout,
                preferred_node: Cell::new(0),
            };
            return Ok(Self {
                client,
                options,
                positionals: line.positionals,
            });
        }
        let nodes = if options.nodes.is_empty() {
            nodes_from_environment()?
        } else {
            options.nodes.clone()
        };
        let token = match &options.token_file {
            Some(path) => read_text(path)?,
            None => std::env::var("TANAGERLADDER_TOKEN").map_err(|_| {
                let message = "a token is needed: --token-file or TANAGERLADDER_TOKEN";
                Failure::Usage(message.to_owned())
            })?,
        };
        let token = token.trim().to_owned();
        if token.is_empty() || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
            let message = "the token is empty or has characters other than plain ASCII";
            return Err(Failure::Usage(message.to_owned()));
        }
        let client = NodeClient {
            nodes,
            token,
            operator: operator_tag(options.operator.as_deref())?,
            timeout: options.timeout,
            preferred_node: Cell::new(0),
        };
        Ok(Self {
            client,
            options,
            positionals: line.positionals,
        })
    }

    /// Returns a positional argument, or an empty string if it is missing.
    pub(crate) fn positional(&self, index: usize) -> &str {
        self.positionals.get(index).map_or("", String::as_str)
    }

    /// Prints a result as JSON with `--json`, else with the given function.
    pub(crate) fn print_result(&self, value: &Value, print_text: impl FnOnce(&Value)) {
        if self.options.json {
            output::print_json(value);
        } else {
            print_text(value);
        }
    }

    /// Prints a report about logs; the command fails if it has faults.
    pub(crate) fn print_log_report(&self, report: &LogReport) -> Result<(), Failure> {
        let (faults, near_misses) = (report.faults, report.near_misses);
        let result = json!({"faults": faults, "near_misses": near_misses, "text": report.text});
        self.print_result(&result, |_| output::print(&report.text));
        match faults {
            0 => Ok(()),
            _ => Err(Failure::Faults(format!(
                "faults: {faults}, near misses: {near_misses}"
            ))),
        }
    }

    /// Reads the list of VMs and checks that it contains this VM.
    pub(crate) fn read_vms_containing(&self, vm: &str) -> Result<Value, Failure> {
        let reply = self.client.read("/v1/vms")?;
        let mut vms = reply["vms"].as_array().into_iter().flatten();
        if vms.any(|record| record["vm"] == vm) {
            return Ok(reply);
        }
        Err(Failure::Refused(format!("VM {vm:?} does not exist")))
    }

    /// Reads the version that a registered node runs from the node itself.
    pub(crate) fn read_node_version(&self, record: &Value) -> Result<u64, String> {
        let address = record["admin_address"].as_str().unwrap_or_default();
        let address = address.parse().map_err(|_| "no address".to_owned())?;
        let reply = self.client.read_from(address, "/v1/nodes")?;
        reply["version"].as_u64().ok_or("no version".to_owned())
    }

    /// Reads a list and keeps only the objects of the pool given with `--pool`, if any.
    pub(crate) fn read_filtered_by_pool(&self, path: &str, field: &str) -> Result<Value, Failure> {
        let mut reply = self.client.read(path)?;
        if let (Some(pool), Some(objects)) = (&self.options.pool, reply[field].as_array_mut()) {
            objects.retain(|object| object["pool"] == pool.as_str());
        }
        Ok(reply)
    }

    /// Calls `poll` until it returns a result or the wait times out. Its inner error describes the
    /// progress so far.
    pub(crate) fn wait_for<T>(
        &self,
        description: &str,
        mut poll: impl FnMut() -> Result<Result<T, String>, Failure>,
    ) -> Result<T, Failure> {
        let deadline = Instant::now() + self.options.wait_timeout;
        let mut last_progress = String::new();
        loop {
            let progress = match poll()? {
                Ok(result) => return Ok(result),
                Err(progress) => progress,
            };
            if progress != last_progress {
                output::print_note(&progress);
                last_progress.clone_from(&progress);
            }
            if Instant::now() + POLL_INTERVAL > deadline {
                let waited = self.options.wait_timeout;
                let message = format!("{description} is not complete after {waited:?}: {progress}");
                return Err(Failure::Unknown(message));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn nodes_from_environment() -> Result<Vec<SocketAddr>, Failure> {
    let text = std::env::var("TANAGERLADDER_NODES").unwrap_or_default();
    let nodes: Vec<SocketAddr> = text
        .split([',', ' '])
        .filter(|part| !part.is_empty())
        .map(parse_address)
        .collect::<Result<_, _>>()?;
    if nodes.is_empty() {
        let message = "a node is needed: --node or TANAGERLADDER_NODES";
        return Err(Failure::Usage(message.to_owned()));
    }
    Ok(nodes)
}

/// Returns the name of the operator followed by a random number that identifies this run, so that
/// its change can be found in the history after a lost response.
fn operator_tag(name: Option<&str>) -> Result<String, Failure> {
    let user = std::env::var("USER").unwrap_or_default();
    let name = name.unwrap_or(if user.is_empty() { "operator" } else { &user });
    let plain = name.bytes().all(|byte| byte.is_ascii_graphic());
    if name.is_empty() || name.len() > 100 || !plain {
        let message = format!("operator {name:?}: 1 to 100 plain ASCII characters are needed");
        return Err(Failure::Usage(message));
    }
    let random = RandomState::new().build_hasher().finish();
    Ok(format!("{name}#{random:016x}"))
}
