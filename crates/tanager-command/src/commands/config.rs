//! `config check`: checks a configuration of the job service and compares it with another one.

use serde_json::json;
use tanager_jobs::ConfigDifference;
use tanager_jobs::ConfigFinding;
use tanager_jobs::ConfigSummary;
use tanager_jobs::FindingSeverity;
use tanager_jobs::UsualSizes;
use tanager_jobs::check_config;
use tanager_site::fleet::decode_config;
use tanager_site::fleet::decode_config_with_adjustments;

use super::CommandSpec;
use crate::failure::Failure;
use crate::input::read_bytes;
use crate::output;
use crate::session::Session;

/// Value of `--against` for the version in force.
pub(super) const CURRENT: &str = "current";

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "config",
    summary: "check a configuration of the job service",
    help: "\
Usage: tanagerladder config check FILE|- [--against FILE|current]

Checks a configuration of the job service with the decoder of the nodes and prints a line for each
finding: what is wrong and what happens. With --against, it also prints what differs: + added,
- removed, ~ changed. Keys are shown only as the beginning of their digests. Without `current`, it
needs neither a node nor a token. With `current`, --node is the operator's address of a node of the
job service, and queues whose pool has no VM are found, too.

  --against FILE     compare with the configuration in FILE
  --against current  compare with the version in force

Exit codes of this command: 0 no findings, 1 warnings, 2 errors or bad usage, 3 input that cannot
be read, also when no node returns the version in force. Differences do not change the code.

Examples:
  tanagerladder config check fleet.json
  tanagerladder config check fleet.json --against current --node 10.1.0.9:7061 --json
",
    options: &["against"],
    positional_count: 2..=2,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    if session.positional(0) != "check" {
        let message = format!("unknown command config {}", session.positional(0));
        return Err(Failure::Usage(message));
    }
    let file = session.positional(1);
    let against = session.options.against.as_deref();
    if file == "-" && against == Some("-") {
        let message = "standard input cannot be both configurations";
        return Err(Failure::Usage(message.to_owned()));
    }
    let bytes = read_bytes(file)?;
    let former = against
        .map(|against| read_former(session, against))
        .transpose()?;
    let (findings, difference) = match decode_config_with_adjustments(&bytes) {
        Ok((config, adjustments)) => {
            let vms = former.as_ref().and_then(|former| former.vms.as_ref());
            let findings = check_config(&config, &adjustments, vms, &UsualSizes::default());
            let summary = ConfigSummary::of(&config);
            let difference = former.map(|former| ConfigDifference::between(&former, &summary));
            (findings, difference)
        }
        Err(error) => (vec![ConfigFinding::not_accepted(&error)], None),
    };
    let result = json!({"findings": findings, "difference": difference});
    session.print_result(&result, |_| print_text(&findings, difference.as_ref()));
    exit_status(file, &findings)
}

/// Reads the configuration with which the file is compared.
fn read_former(session: &Session, against: &str) -> Result<ConfigSummary, Failure> {
    if against != CURRENT {
        let config = decode_config(&read_bytes(against)?);
        return match config {
            Ok(config) => Ok(ConfigSummary::of(&config)),
            Err(error) => Err(Failure::Unreadable(format!("decode {against}: {error}"))),
        };
    }
    let unreadable =
        |error: String| Failure::Unreadable(format!("read the version in force: {error}"));
    let reply = session.client.read("/v1/config");
    let reply = reply.map_err(|failure| unreadable(failure.to_string()))?;
    serde_json::from_value(reply).map_err(|error| unreadable(error.to_string()))
}

fn print_text(findings: &[ConfigFinding], difference: Option<&ConfigDifference>) {
    let mut text: String = (findings.iter())
        .map(|finding| format!("{finding}\n"))
        .collect();
    if let Some(difference) = difference {
        let (from, to) = (difference.from_version, difference.to_version);
        let summary = match difference.is_empty() {
            true => "no difference",
            false => "differences",
        };
        text.push_str(&format!(
            "{summary} from version {from} to {to}\n{difference}"
        ));
    }
    if !text.is_empty() {
        output::print(&text);
    }
}

fn exit_status(file: &str, findings: &[ConfigFinding]) -> Result<(), Failure> {
    let count = |severity| {
        (findings
            .iter()
            .filter(|finding| finding.severity == severity))
        .count()
    };
    let errors = count(FindingSeverity::Error);
    let warnings = count(FindingSeverity::Warning);
    let message = format!("{file}: errors: {errors}, warnings: {warnings}");
    match (errors, warnings) {
        (0, 0) => Ok(()),
        (0, _) => Err(Failure::Warnings(message)),
        _ => Err(Failure::Errors(message)),
    }
}
