//! `tanagerladderd`: runs one node of tanagerladder.

#![allow(clippy::print_stderr, reason = "usage errors go to standard error")]

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use tanager_node::node::NodeHandle;
use tanager_settings::NodeSettings;
use tanager_site::settings::SETTINGS_VARIABLE;

mod job_node;

const HELP: &str = "\
tanagerladderd runs one node of tanagerladder.

Usage: tanagerladderd --config FILE
       tanagerladderd jobs [--config FILE] [--enable FEATURES]

Commands:
  jobs           run a node of the job service on the users' platform, see docs/OPERATIONS.md

Options:
  --config FILE  settings: in INI format, see docs/operating.md; of `jobs`, the platform's
                 file, by default the one that TANAGERLADDER_CONFIG names
  --enable LIST  features of `jobs` beyond those that the settings ask for, separated by commas:
                 overload (planned overload), balance (jobs move between the cells of a pool),
                 workers (work by how a worker's runs end), forecast (spare VMs move for expected
                 demand)
  --check        check the settings and exit
  --help         print this help
  --version      print the version and the commit that the program was built from

Signals: SIGTERM and SIGINT stop the node gracefully.
Environment: RUST_LOG sets the log level (default info), or levels by target.
Exit codes: 0 stopped gracefully, 1 failed, 2 invalid arguments or settings.
";

/// Version of the program and the commit that it was built from.
pub(crate) const VERSION: &str = concat!(env!("CARGO_PKG_VERSION"), "+", env!("TANAGER_COMMIT"));

/// Tokio worker threads. Entry VMs are small, and the dispatch thread is separate.
const IO_THREADS: usize = 2;

struct NodeArguments {
    config: PathBuf,
    check: bool,
    is_job_node: bool,
    enabled_features: String,
}

fn main() -> ExitCode {
    let arguments = match parse_arguments(Parser::from_env()) {
        Ok(Some(arguments)) => arguments,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tanagerladderd: {error}; see --help");
            return ExitCode::from(2);
        }
    };
    if arguments.is_job_node {
        return job_node::run(
            &arguments.config,
            arguments.check,
            &arguments.enabled_features,
        );
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let settings = match NodeSettings::open(&arguments.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("tanagerladderd: {error}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tanagerladderd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse_arguments(mut parser: Parser) -> Result<Option<NodeArguments>, lexopt::Error> {
    let mut config = None;
    let mut check = false;
    let mut is_job_node = false;
    let mut enabled_features = String::new();
    let mut output = std::io::stdout();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("config") => config = Some(PathBuf::from(parser.value()?)),
            Arg::Long("enable") if is_job_node => enabled_features = parser.value()?.string()?,
            Arg::Long("check") => check = true,
            Arg::Short('h') | Arg::Long("help") => {
                // A closed standard output is not an error here.
                let _ = output.write_all(HELP.as_bytes());
                return Ok(None);
            }
            Arg::Short('V') | Arg::Long("version") => {
                let _ = writeln!(output, "tanagerladderd {VERSION}");
                return Ok(None);
            }
            Arg::Value(value) if value == "jobs" && !is_job_node => is_job_node = true,
            Arg::Value(value) => {
                return Err(lexopt::Error::UnexpectedArgument(value.string()?.into()));
            }
            other => return Err(other.unexpected()),
        }
    }
    if is_job_node && config.is_none() {
        config = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    }
    let config = config.ok_or("--config FILE is required")?;
    Ok(Some(NodeArguments {
        config,
        check,
        is_job_node,
        enabled_features,
    }))
}

fn run(settings: NodeSettings) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(IO_THREADS)
        .thread_name("io")
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let node = NodeHandle::spawn(settings).await?;
        let addresses = node.addresses();
        let mut output = std::io::stdout();
        writeln!(
            output,
            "listening caller={} peer={} admin={}",
            addresses.caller, addresses.peer, addresses.admin
        )?;
        output.flush()?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        node.stop().await;
        Ok(())
    })
}
