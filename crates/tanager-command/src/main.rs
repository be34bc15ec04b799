//! Operator command `tanagerladder`.

use std::process::ExitCode;

fn main() -> ExitCode {
    tanager_command::run(std::env::args_os().skip(1))
}
