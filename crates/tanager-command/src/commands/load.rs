//! `load`: shows what each cell's owner did in each second, from the logs of all nodes.

use super::CommandSpec;
use crate::failure::Failure;
use crate::input::read_logs;
use crate::load_log::read_log;
use crate::load_report::report;
use crate::log_report::HistoryChoice;
use crate::session::Session;

/// Lag of an owner's loop from which a second is reported, as for the line `owner_overloaded`.
const SLOW_LAG_MS: u64 = 200;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "load",
    summary: "show the load of each cell by second, in the logs of the nodes",
    help: "\
Usage: tanagerladder load LOG... [--cell NAME | --all]

Reads the logs of all nodes of the job service, in one file or several, and prints for each cell
and second: calls that its owner was asked, answered, refused and dropped, runs that were started
and that ended, open jobs, waiting steps, the lag of its loop in seconds, the processor time of its
decisions and of its process in milliseconds, and the calls that other nodes gave up (silent).
Seconds in which calls were left without an answer are marked with ! and are faults; seconds in
which only the loop lagged for 0.2 s or longer are near misses. Seconds without a line are left
out. A column is - if the owner wrote no line about the second. It needs neither a node nor a
token.

  --cell NAME  print this cell
  --all        print all cells; without it, those with faults

Exit codes of this command: 0 no faults, 1 faults, 2 bad usage, 3 a log that cannot be read.

Examples:
  tanagerladder load node-1.log node-2.log node-3.log
  tanagerladder load all.log --cell leti29c/0
",
    options: &["cell", "all"],
    positional_count: 1..=usize::MAX,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let options = &session.options;
    let choice = HistoryChoice::from_options("cell", options.cell.as_deref(), options.all)?;
    let texts = read_logs(&session.positionals)?;
    let log = read_log(texts.iter().map(String::as_str));
    session.print_log_report(&report(&log, choice, SLOW_LAG_MS))
}
