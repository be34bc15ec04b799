//! Commands of `tanagerladder`, one per module.

mod apply;
mod cancel_job;
mod cells;
mod config;
mod diff;
mod drain;
mod dump;
mod history;
mod job;
mod load;
mod move_vm;
mod orders;
mod pools;
mod queues;
mod quotas;
mod runs;
mod show;
mod snapshot;
mod submit_job;
mod undrain;
mod vms;
mod watch;
mod wave;
mod workspaces;

use std::ops::RangeInclusive;

use crate::failure::Failure;
use crate::options::CommandLine;
use crate::session::Session;

/// Name, help, arguments and implementation of one command.
#[derive(Debug)]
pub(crate) struct CommandSpec {
    pub(crate) name: &'static str,
    pub(crate) summary: &'static str,
    pub(crate) help: &'static str,
    /// Options besides those common to all commands.
    pub(crate) options: &'static [&'static str],
    /// Accepted numbers of positional arguments.
    pub(crate) positional_count: RangeInclusive<usize>,
    pub(crate) run: fn(&Session) -> Result<(), Failure>,
}

impl CommandSpec {
    /// Returns whether the command sends requests to a node when it is called with these arguments.
    pub(crate) fn sends_requests(&self, line: &CommandLine) -> bool {
        if [runs::SPEC.name, orders::SPEC.name, load::SPEC.name].contains(&self.name) {
            return false;
        }
        self.name != config::SPEC.name || line.options.against.as_deref() == Some(config::CURRENT)
    }
}

/// All commands in the order in which the help lists them.
pub(crate) const ALL: &[CommandSpec] = &[
    apply::SPEC,
    diff::SPEC,
    show::SPEC,
    history::SPEC,
    pools::SPEC,
    vms::SPEC,
    move_vm::SPEC,
    drain::SPEC,
    undrain::SPEC,
    wave::SPEC,
    quotas::SPEC,
    dump::SPEC,
    watch::SPEC,
    snapshot::SPEC,
    queues::SPEC,
    cells::SPEC,
    workspaces::SPEC,
    config::SPEC,
    job::SPEC,
    submit_job::SPEC,
    cancel_job::SPEC,
    runs::SPEC,
    orders::SPEC,
    load::SPEC,
];
