//! Runs the load balancer stand-in as a process.
//!
//! `balancer --nodes CALLER,CALLER [--ready ADMIN,ADMIN] [--address 127.0.0.1:0]` prints
//! `listening ADDR`. `--ready` names the addresses that serve `/ready`, in the order of the
//! nodes; without it the nodes' own addresses are checked.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use tanager_standin::balancer::BalancedNode;
use tanager_standin::balancer::BalancerOptions;
use tanager_standin::balancer::BalancerStandin;
use tanager_standin::options::parse_addresses;

const HELP: &str = "\
Runs the stand-in of the platform's load balancer.

Usage: balancer --nodes ADDR,ADDR [--ready ADDR,ADDR] [--address ADDR]

  --nodes ADDR,ADDR  caller addresses of the nodes; required
  --ready ADDR,ADDR  addresses that serve /ready, in the order of the nodes; default: --nodes
  --address ADDR     listener; default 127.0.0.1:0, a free port
  --help             print this help

Prints `listening ADDR`. Runs until it is stopped.
";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut callers = Vec::new();
    let mut admins = None;
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("address") => address = parser.value()?.parse()?,
            Arg::Long("nodes") => callers = parser.value()?.parse_with(parse_addresses)?,
            Arg::Long("ready") => admins = Some(parser.value()?.parse_with(parse_addresses)?),
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            argument => return Err(argument.unexpected().into()),
        }
    }
    let admins = admins.unwrap_or_else(|| callers.clone());
    if callers.is_empty() || callers.len() != admins.len() {
        return Err("--nodes and --ready name the same number of addresses, at least one".into());
    }
    let nodes = callers.into_iter().zip(admins);
    let options = BalancerOptions {
        address,
        nodes: nodes
            .map(|(caller, admin)| BalancedNode { caller, admin })
            .collect(),
        interval: Duration::from_secs(1),
    };
    let balancer = BalancerStandin::bind(options).await?;
    println!("listening {}", balancer.address());
    std::future::pending().await
}
