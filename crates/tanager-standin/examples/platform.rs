//! Runs the platform stand-in as a process.
//!
//! `platform [--address 127.0.0.1:0] [--control 127.0.0.1:0] [--list-lag 2s]` prints
//! `listening ADDR`, and `control ADDR` when a control address was asked for.

use std::error::Error;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use tanager_standin::PlatformOptions;
use tanager_standin::PlatformStandin;
use tanager_standin::options::parse_duration;

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
