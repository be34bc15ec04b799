//! Operator command `tanagerladder`: reads and changes a fleet through the administration API of
//! any node.

mod client;
mod commands;
mod failure;
mod input;
pub mod load_log;
pub mod load_report;
mod log_fields;
pub mod log_report;
mod options;
pub mod order_history;
pub mod order_log;
pub mod order_report;
mod output;
pub mod run_history;
pub mod run_log;
pub mod run_report;
mod session;
mod submit;
mod unread_ends;

use std::ffi::OsString;
use std::process::ExitCode;

use commands::CommandSpec;
use failure::Failure;
use options::CommandLine;
use session::Session;

const HELP: &str = "\
tanagerladder reads and changes a fleet through the administration API of any node.

Usage: tanagerladder COMMAND [ARGUMENTS] [OPTIONS]

Commands:
";

const COMMON_HELP: &str = "
Common options:
  --node ADDR        administration address IP:PORT of a node; repeatable. The next node is
                     tried when a connection fails before the request was sent.
                     Default: TANAGERLADDER_NODES, separated by commas or spaces
  --token-file FILE  file with the token; default: TANAGERLADDER_TOKEN
  --operator NAME    name recorded in the history; default: USER
  --timeout TIME     time for one request, and again to find out whether a change took effect
                     after its answer was lost (500ms, 10s, 2m); default 10s
  --json             print JSON
  --help             print help; with a command, the help of that command

Exit codes:
  0  done
  1  refused by the server
  2  bad usage or bad input
  3  conflict with another operator's change
  4  no node reachable
  5  outcome unknown, or not complete within --wait-timeout
";

/// Runs the command with the arguments that follow the program name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let json = std::cell::Cell::new(false);
    match run_command(arguments, &json) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output::print_failure(&failure, json.get());
            ExitCode::from(failure.exit_code())
        }
    }
}

fn run_command(
    arguments: impl IntoIterator<Item = OsString>,
    json: &std::cell::Cell<bool>,
) -> Result<(), Failure> {
    let line = CommandLine::parse(arguments)?;
    json.set(line.options.json);
    let Some(name) = &line.command else {
        if line.options.help {
            output::print(&general_help());
            return Ok(());
        }
        return Err(Failure::Usage("a command is needed, see --help".to_owned()));
    };
    let Some(spec) = commands::ALL.iter().find(|spec| spec.name == name) else {
        let message = format!("unknown command {name}, see --help");
        return Err(Failure::Usage(message));
    };
    if line.options.help {
        output::print(&format!("{}{COMMON_HELP}", spec.help));
        return Ok(());
    }
    check_usage(spec, &line)?;
    let sends_requests = spec.sends_requests(&line);
    let session = Session::open(line, sends_requests)?;
    (spec.run)(&session)
}

fn check_usage(spec: &CommandSpec, line: &CommandLine) -> Result<(), Failure> {
    let unknown = line
        .given_options
        .iter()
        .find(|name| !spec.options.contains(name));
    if let Some(option) = unknown {
        let message = format!("{} has no option --{option}", spec.name);
        return Err(Failure::Usage(message));
    }
    if !spec.positional_count.contains(&line.positionals.len()) {
        let message = format!(
            "wrong number of arguments, see tanagerladder {} --help",
            spec.name
        );
        return Err(Failure::Usage(message));
    }
    Ok(())
}

fn general_help() -> String {
    let mut help = HELP.to_owned();
    for spec in commands::ALL {
        help.push_str(&format!("  {:<9} {}\n", spec.name, spec.summary));
    }
    help + COMMON_HELP
}
