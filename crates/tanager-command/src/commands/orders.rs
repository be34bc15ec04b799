//! `orders`: puts the orders to each VM side by side from the logs of all nodes.

use super::CommandSpec;
use crate::failure::Failure;
use crate::input::read_logs;
use crate::log_report::HistoryChoice;
use crate::order_log::read_log;
use crate::order_report::report;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "orders",
    summary: "find orders to one VM by two coordinators, in the logs of the nodes",
    help: "\
Usage: tanagerladder orders LOG... [--vm NAME | --all] [--lease TIME]

Reads the logs of all nodes of the job service, in one file or several, and reports orders to a VM
that may have reached the platform after an order to the same VM with a higher fencing token was
sent (lower token), and two holders that sent orders with one token (shared token). Near misses are
orders to one VM by two holders that lie closer together than a lease (within a lease), orders that
were answered after the ownership had ended (ownership ended), and orders in transit for longer than
a second (slow transit). An order that was not sent is none of these. The clocks of two nodes may
differ by 100 ms: orders of two nodes that are this close count as sent at the same time. It needs
neither a node nor a token.

  --vm NAME     print the orders of this VM, and what was found
  --all         print the orders of all VMs; without it, of those with faults
  --lease TIME  default 3s

Exit codes of this command: 0 no faults, 1 faults, 2 bad usage, 3 a log that cannot be read.

Examples:
  tanagerladder orders node-1.log node-2.log node-3.log
  tanagerladder orders all.log --vm m-000c4
",
    options: &["vm", "all", "lease"],
    positional_count: 1..=usize::MAX,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let options = &session.options;
    let choice = HistoryChoice::from_options("vm", options.vm.as_deref(), options.all)?;
    let texts = read_logs(&session.positionals)?;
    let log = read_log(texts.iter().map(String::as_str));
    session.print_log_report(&report(&log, choice, options.lease))
}
