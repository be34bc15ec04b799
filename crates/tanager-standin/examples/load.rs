//! Runs the load generator.
//!
//! `load --nodes ADDR,ADDR --pools a,b [--rate 200] [--duration 10s] [--seed 1] [--retry]
//! [--teams a,b] [--priority urgent] [--work 5ms] [--timeout 30s] [--keyed 0.5]
//! [--cancelled 0.03] [--verify CONTROL_ADDR]`; `--direct ADDR,ADDR` in place of `--nodes` sends
//! directly to endpoints. The exit code is 1 when `--verify` finds a violation.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use tanager_protocol::request::RequestPriority;
use tanager_standin::load::LoadOptions;
use tanager_standin::load::read_record;
use tanager_standin::load::run_load;
use tanager_standin::options::parse_addresses;
use tanager_standin::options::parse_duration;
use tanager_standin::plan::MixOptions;
use tanager_standin::verification::verify_runs;

const HELP: &str = "\
Sends a mixed load and prints a report.

Usage: load --nodes ADDR,ADDR --pools NAME,NAME [OPTIONS]
       load --direct ADDR,ADDR [OPTIONS]

  --nodes ADDR,ADDR   caller addresses of nodes or of a balancer
  --direct ADDR,ADDR  addresses of endpoints, without a node between
  --pools NAME,NAME   pools that the requests name
  --teams NAME,NAME   teams that the requests name
  --priority NAME     urgent, normal or batch for every request; default: a mix
  --rate N            requests per second
  --duration TIME     length of the load (500ms, 10s, 1m)
  --work TIME         time that an endpoint works on a request
  --timeout TIME      timeout of a request
  --seed N            seed of the mix
  --keyed SHARE       share of requests with an Idempotency-Key, 0 to 1
  --cancelled SHARE   share of requests that the caller gives up, 0 to 1
  --retry             repeat requests whose outcome permits it
  --verify ADDR       compare with the runs read from the control address of the endpoints
  --help              print this help

Exit codes: 0 done, 1 --verify found a violation or the options are wrong.
";

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn Error>> {
    let (options, verify) = read_options()?;
    let report = run_load(&options).await;
    println!("{report}");
    if let Some(control) = verify {
        let runs = read_record(control, &report.records).await?;
        let verdict = verify_runs(&report.records, &runs);
        println!("{verdict}");
        if !verdict.passed() {
            return Ok(ExitCode::FAILURE);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn read_options() -> Result<(LoadOptions, Option<SocketAddr>), Box<dyn Error>> {
    let mut options = LoadOptions {
        targets: Vec::new(),
        direct: false,
        retry: false,
        mix: MixOptions::default(),
    };
    let mut verify = None;
    let mut parser = Parser::from_env();
    let names = |text: &str| text.split(',').map(str::to_owned).collect();
    while let Some(argument) = parser.next()? {
        let Arg::Long(name) = argument else {
            return Err(argument.unexpected().into());
        };
        let mix = &mut options.mix;
        match name {
            "help" => {
                print!("{HELP}");
                std::process::exit(0);
            }
            "retry" => options.retry = true,
            "nodes" => options.targets = parser.value()?.parse_with(parse_addresses)?,
            "direct" => {
                options.direct = true;
                options.targets = parser.value()?.parse_with(parse_addresses)?;
            }
            "pools" => mix.pools = names(&parser.value()?.string()?),
            "teams" => mix.teams = names(&parser.value()?.string()?),
            "priority" => {
                let text = parser.value()?.string()?;
                let priority = RequestPriority::parse(&text).ok_or("unknown priority")?;
                mix.priorities = vec![(priority, 1)];
            }
            "rate" => mix.rate = parser.value()?.parse()?,
            "duration" => mix.duration = parser.value()?.parse_with(parse_duration)?,
            "seed" => mix.seed = parser.value()?.parse()?,
            "work" => mix.service_time = parser.value()?.parse_with(parse_duration)?,
            "timeout" => mix.timeout = parser.value()?.parse_with(parse_duration)?,
            "keyed" => mix.keyed_share = parser.value()?.parse()?,
            "cancelled" => mix.cancelled_share = parser.value()?.parse()?,
            "verify" => verify = Some(parser.value()?.parse()?),
            _ => return Err(argument.unexpected().into()),
        }
    }
    let share = 0.0..=1.0;
    let mix = &options.mix;
    if !share.contains(&mix.keyed_share) || !share.contains(&mix.cancelled_share) {
        return Err("shares are from 0 to 1".into());
    }
    if mix.rate.is_nan() || mix.rate <= 0.0 {
        return Err("the rate is above 0".into());
    }
    if options.targets.is_empty() {
        return Err("--nodes or --direct is required".into());
    }
    if !options.direct && mix.pools.is_empty() {
        return Err("--pools is required with --nodes".into());
    }
    Ok((options, verify))
}
