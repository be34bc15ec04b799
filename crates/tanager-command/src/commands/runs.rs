//! `runs`: puts the runs of each task side by side from the logs of all nodes.

use super::CommandSpec;
use crate::failure::Failure;
use crate::input::read_logs;
use crate::log_report::HistoryChoice;
use crate::run_log::read_log;
use crate::run_report::report;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "runs",
    summary: "find runs of one task that may have overlapped, in the logs of the nodes",
    help: "\
Usage: tanagerladder runs LOG... [--task ID | --all]

Reads the logs of all nodes of the job service, in one file or several, and reports runs of one
task of which the later was started while the earlier may still have run (overlap), starts after an
end as done that was acknowledged (start after done), tasks that two runs ended as done (done
twice), and ends that a renewal acknowledged although no owner read them (unread ends). Near misses
are pairs of which the first run is known to have ended only from what the owner knew of its
worker: it had restarted, its lease had expired, or its report did not list the run. The nodes must
log with RUST_LOG=info,tanager::runs=debug. It needs neither a node nor a token.

  --task ID  print the history of this task, or of all tasks of this job, and what was found
  --all      print the histories of all tasks; without it, of those with faults

Exit codes of this command: 0 no faults, 1 faults, 2 bad usage, 3 a log that cannot be read.

Examples:
  tanagerladder runs node-1.log node-2.log node-3.log
  tanagerladder runs all.log --task 3be3440cde88873d.0.0.1
",
    options: &["task", "all"],
    positional_count: 1..=usize::MAX,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let options = &session.options;
    let choice = HistoryChoice::from_options("task", options.task.as_deref(), options.all)?;
    let texts = read_logs(&session.positionals)?;
    let log = read_log(texts.iter().map(String::as_str));
    session.print_log_report(&report(&log, choice))
}
