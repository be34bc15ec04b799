//! Runs endpoint stand-ins as a process.
//!
//! `endpoint [--count 50] [--address 127.0.0.1:0] [--record FILE] [--prefix vm-] [--slots 8]`
//! prints `control ADDR`, one line `endpoint NAME ADDR` per endpoint, then `ready`.

use std::error::Error;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use tanager_standin::EndpointOptions;
use tanager_standin::EndpointStandin;

const HELP: &str = "\
Runs stand-ins of endpoints.

Usage: endpoint [--count N] [--address ADDR] [--record FILE] [--prefix TEXT] [--slots N]

  --count N       number of endpoints; default 50
  --address ADDR  listeners; default 127.0.0.1:0, free ports
  --record FILE   file to which each run of a request is written
  --prefix TEXT   names are the prefix and a number; default vm-
  --slots N       requests that one endpoint runs at once; default 8
  --help          print this help

Prints `control ADDR`, one line `endpoint NAME ADDR` per endpoint, then `ready`. Runs until it is
stopped.
";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut options = EndpointOptions::default();
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("address") => options.address = parser.value()?.parse()?,
            Arg::Long("count") => options.count = parser.value()?.parse()?,
            Arg::Long("prefix") => options.prefix = parser.value()?.string()?,
            Arg::Long("record") => options.record = Some(parser.value()?.into()),
            Arg::Long("slots") => options.slots = parser.value()?.parse()?,
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            argument => return Err(argument.unexpected().into()),
        }
    }
    let endpoint = EndpointStandin::bind(&options)?;
    println!("control {}", endpoint.control());
    for (name, address) in endpoint.endpoints() {
        println!("endpoint {name} {address}");
    }
    println!("ready");
    std::future::pending().await
}
