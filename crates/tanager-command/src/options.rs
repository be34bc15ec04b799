//! Parses the command line.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::failure::Failure;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// A move waits until the work in progress on the VM finishes, which may take minutes.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(600);
const DEFAULT_INTERVAL: Duration = Duration::from_secs(1);
const DEFAULT_LEASE: Duration = Duration::from_secs(3);

/// Options of all commands; each command accepts only some of them.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) nodes: Vec<SocketAddr>,
    pub(crate) token_file: Option<String>,
    pub(crate) operator: Option<String>,
    pub(crate) timeout: Duration,
    pub(crate) json: bool,
    pub(crate) help: bool,
    pub(crate) expected_version: Option<u64>,
    pub(crate) wait: bool,
    pub(crate) wait_timeout: Duration,
    pub(crate) reason: Option<String>,
    pub(crate) limit: usize,
    pub(crate) pool: Option<String>,
    pub(crate) workspace: Option<String>,
    pub(crate) interval: Duration,
    pub(crate) count: Option<u64>,
    pub(crate) document: bool,
    pub(crate) list_nodes: bool,
    pub(crate) against: Option<String>,
    pub(crate) task: Option<String>,
    pub(crate) all: bool,
    pub(crate) vm: Option<String>,
    pub(crate) cell: Option<String>,
    pub(crate) lease: Duration,
}

/// A parsed command line.
#[derive(Clone, Debug)]
pub(crate) struct CommandLine {
    pub(crate) command: Option<String>,
    pub(crate) positionals: Vec<String>,
    pub(crate) options: Options,
    /// Given options that are not common to all commands.
    pub(crate) given_options: BTreeSet<&'static str>,
}

impl CommandLine {
    /// Parses the arguments that follow the program name.
    pub(crate) fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Self, Failure> {
        let mut line = Self {
            command: None,
            positionals: Vec::new(),
            options: Options {
                nodes: Vec::new(),
                token_file: None,
                operator: None,
                timeout: DEFAULT_TIMEOUT,
                json: false,
                help: false,
                expected_version: None,
                wait: false,
                wait_timeout: DEFAULT_WAIT_TIMEOUT,
                reason: None,
                limit: 20,
                pool: None,
                workspace: None,
                interval: DEFAULT_INTERVAL,
                count: None,
                document: false,
                list_nodes: false,
                against: None,
                task: None,
                all: false,
                vm: None,
                cell: None,
                lease: DEFAULT_LEASE,
            },
            given_options: BTreeSet::new(),
        };
        let mut parser = Parser::from_args(arguments);
        while let Some(argument) = parser.next().map_err(|error| usage_error(&error))? {
            match argument {
                Arg::Value(value) => {
                    let value = value.string().map_err(|error| usage_error(&error))?;
                    if line.command.is_none() {
                        line.command = Some(value);
                    } else {
                        line.positionals.push(value);
                    }
                }
                Arg::Long(name) => {
                    let name = name.to_owned();
                    line.parse_option(&name, &mut parser)?;
                }
                Arg::Short('h') => line.options.help = true,
                Arg::Short(_) => return Err(usage_error(&argument.unexpected())),
            }
        }
        Ok(line)
    }

    fn parse_option(&mut self, name: &str, parser: &mut Parser) -> Result<(), Failure> {
        let options = &mut self.options;
        match name {
            "node" => options.nodes.push(parse_address(&parse_text(parser)?)?),
            "token-file" => options.token_file = Some(parse_text(parser)?),
            "operator" => options.operator = Some(parse_text(parser)?),
            "timeout" => options.timeout = parse_duration(name, &parse_text(parser)?)?,
            "json" => options.json = true,
            "help" => options.help = true,
            _ => {
                let name = match name {
                    "expected" => {
                        options.expected_version = Some(parse_number(name, &parse_text(parser)?)?);
                        "expected"
                    }
                    "wait" => {
                        options.wait = true;
                        "wait"
                    }
                    "wait-timeout" => {
                        options.wait_timeout = parse_duration(name, &parse_text(parser)?)?;
                        "wait-timeout"
                    }
                    "reason" => {
                        options.reason = Some(parse_text(parser)?);
                        "reason"
                    }
                    "limit" => {
                        options.limit = parse_number(name, &parse_text(parser)?)?;
                        "limit"
                    }
                    "pool" => {
                        options.pool = Some(parse_text(parser)?);
                        "pool"
                    }
                    "workspace" => {
                        options.workspace = Some(parse_text(parser)?);
                        "workspace"
                    }
                    "against" => {
                        options.against = Some(parse_text(parser)?);
                        "against"
                    }
                    "task" => {
                        options.task = Some(parse_text(parser)?);
                        "task"
                    }
                    "all" => {
                        options.all = true;
                        "all"
                    }
                    "vm" => {
                        options.vm = Some(parse_text(parser)?);
                        "vm"
                    }
                    "cell" => {
                        options.cell = Some(parse_text(parser)?);
                        "cell"
                    }
                    "lease" => {
                        options.lease = parse_duration(name, &parse_text(parser)?)?;
                        "lease"
                    }
                    "interval" => {
                        options.interval = parse_duration(name, &parse_text(parser)?)?;
                        "interval"
                    }
                    "count" => {
                        options.count = Some(parse_number(name, &parse_text(parser)?)?);
                        "count"
                    }
                    "document" => {
                        options.document = true;
                        "document"
                    }
                    "nodes" => {
                        options.list_nodes = true;
                        "nodes"
                    }
                    _ => return Err(Failure::Usage(format!("unknown option --{name}"))),
                };
                self.given_options.insert(name);
            }
        }
        Ok(())
    }
}

fn parse_text(parser: &mut Parser) -> Result<String, Failure> {
    parser
        .value()
        .map_err(|error| usage_error(&error))?
        .string()
        .map_err(|error| usage_error(&error))
}

fn usage_error(error: &lexopt::Error) -> Failure {
    Failure::Usage(error.to_string())
}

/// Parses `IP:PORT`.
pub(crate) fn parse_address(value: &str) -> Result<SocketAddr, Failure> {
    let message = || format!("node {value:?}: an address is IP:PORT");
    value.parse().map_err(|_| Failure::Usage(message()))
}

fn parse_number<T: std::str::FromStr>(name: &str, value: &str) -> Result<T, Failure> {
    let message = || format!("--{name} {value:?}: a whole number is needed");
    value.parse().map_err(|_| Failure::Usage(message()))
}

fn parse_duration(name: &str, value: &str) -> Result<Duration, Failure> {
    let message = || format!("--{name} {value:?}: a time is 500ms, 10s or 2m, above 0");
    let split = value.find(|character: char| !character.is_ascii_digit());
    let (number, unit) = value.split_at(split.unwrap_or(value.len()));
    let factor = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        _ => return Err(Failure::Usage(message())),
    };
    // At most 100 days, so that the addition to the current time cannot overflow.
    let millis = number.parse::<u64>().ok();
    millis
        .and_then(|millis| millis.checked_mul(factor))
        .filter(|millis| (1..=8_640_000_000).contains(millis))
        .map(Duration::from_millis)
        .ok_or_else(|| Failure::Usage(message()))
}
