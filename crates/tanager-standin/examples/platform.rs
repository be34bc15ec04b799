//! Runs the platform stand-in as a process.
//!
//! `platform [--address 127.0.0.1:0] [--control 127.0.0.1:0] [--list-lag 2s]` prints
//! `listening ADDR`, and `control ADDR` when `--control` is given.

use std::error::Error;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use tanager_standin::PlatformOptions;
use tanager_standin::PlatformStandin;
use tanager_standin::options::parse_duration;

const HELP: &str = "\
Runs the stand-in of the platform: table service, object store and VM list.

Usage: platform [--address ADDR] [--control ADDR] [--list-lag TIME]

  --address ADDR   listener of the service; default 127.0.0.1:0, a free port
  --control ADDR   second listener for faults, statistics and VM states, open during an outage
  --list-lag TIME  time after which the VM list shows a change (500ms, 2s, 1m); default 0ms
  --help           print this help

Prints `listening ADDR`, and `control ADDR` with --control. Runs until it is stopped.
";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut options = PlatformOptions::default();
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("address") => options.address = parser.value()?.parse()?,
            Arg::Long("control") => options.control = Some(parser.value()?.parse()?),
            Arg::Long("list-lag") => {
                options.list_lag = parser.value()?.parse_with(parse_duration)?;
            }
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            argument => return Err(argument.unexpected().into()),
        }
    }
    let platform = PlatformStandin::bind(options)?;
    println!("listening {}", platform.address());
    if let Some(control) = platform.control() {
        println!("control {control}");
    }
    std::future::pending().await
}
