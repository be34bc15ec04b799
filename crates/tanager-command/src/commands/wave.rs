//! `wave`: starts, pauses, resumes, aborts and shows maintenance waves.

use serde_json::Value;
use serde_json::json;

use tanager_protocol::ids::is_valid_name;

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;
use crate::submit::ChangeObject;
use crate::submit::ChangeRequest;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "wave",
    summary: "start, pause, resume, abort or show a maintenance wave",
    help: "\
Usage: tanagerladder wave start POOL [--wait]
       tanagerladder wave pause WAVE [--reason TEXT]
       tanagerladder wave resume WAVE
       tanagerladder wave abort WAVE
       tanagerladder wave status [WAVE] [--wait]

A wave drains, reboots and returns to service each VM of a pool, as far as its floor permits. It
pauses by itself when a VM of the pool fails. An aborted wave starts no further VM: its draining VMs
return to service at once, those that are being rebooted when they are healthy.

  --wait               print progress until the wave is finished (status: without WAVE, all
                       waves); a paused wave is waited for, an aborted one ends with exit code 5
  --wait-timeout TIME  default 10m
  --reason TEXT        why, 1 to 200 bytes; default: paused by an operator
  --expected N         version the change is based on; default: the version read first

Examples:
  tanagerladder wave start case-files --wait --wait-timeout 120m
  tanagerladder wave pause case-files-118 --reason 'image is faulty'
  tanagerladder wave status case-files-118 --wait
",
    options: &["expected", "reason", "wait", "wait-timeout"],
    positional_count: 1..=2,
    run,
};

/// Maximum number of attempts to pause, resume or abort a wave that makes steps at the same time.
const MAX_ATTEMPTS: u32 = 5;

fn run(session: &Session) -> Result<(), Failure> {
    let needs_name = match session.positional(0) {
        "start" | "pause" | "resume" | "abort" => true,
        "status" => false,
        other => {
            let message = format!("wave {other}: start, pause, resume, abort or status is needed");
            return Err(Failure::Usage(message));
        }
    };
    let action = session.positional(0);
    if session.options.reason.is_some() && action != "pause" {
        return Err(Failure::Usage(format!("wave {action} has no --reason")));
    }
    if session.options.wait && matches!(action, "pause" | "resume" | "abort") {
        return Err(Failure::Usage(format!("wave {action} has no --wait")));
    }
    let name = session.positional(1);
    let has_name = session.positionals.len() == 2;
    if (needs_name || has_name) && !is_valid_name(name) {
        return Err(Failure::Usage(format!("{name:?} is not a valid name")));
    }
    match session.positional(0) {
        "start" => start(session, name),
        "status" => status(session, has_name.then_some(name)),
        action => change(session, action, name),
    }
}

fn start(session: &Session, pool: &str) -> Result<(), Failure> {
    let expected_version = session.expected_version(&session.client.read("/v1/waves")?);
    // The pool name is truncated because a wave name has at most 64 bytes.
    let wave = format!("{pool:.40}-{}", expected_version + 1);
    let version = session.submit(&ChangeRequest {
        method: "POST",
        path: "/v1/waves".to_owned(),
        body: json!({"pool": pool, "wave": wave}),
        document: None,
        expected_version,
        object: ChangeObject::Wave(wave.clone()),
    })?;
    if session.options.wait {
        wait_for_waves(session, Some(&wave), version)?;
    }
    let result = json!({"version": version, "wave": wave});
    session.print_result(&result, |_| {
        output::print(&format!("wave {wave} started at version {version}"));
    });
    Ok(())
}

fn change(session: &Session, action: &str, wave: &str) -> Result<(), Failure> {
    let mut current = session.client.read("/v1/waves")?;
    let status = select_waves(&current, Some(wave))?[0]["status"].clone();
    let mut body = json!({});
    if let Some(reason) = &session.options.reason {
        body["reason"] = json!(reason);
    }
    let mut attempts = 1;
    let version = loop {
        let result = session.submit(&ChangeRequest {
            method: "POST",
            path: format!("/v1/waves/{wave}/{action}"),
            body: body.clone(),
            document: None,
            expected_version: session.expected_version(&current),
            object: ChangeObject::Wave(wave.to_owned()),
        });
        let Err(failure @ Failure::Conflict(_)) = result else {
            break result?;
        };
        // Every step of a running wave changes its record; only a change of its status is a
        // conflict with another operator.
        current = session.client.read("/v1/waves")?;
        let status_is_unchanged = select_waves(&current, Some(wave))?[0]["status"] == status;
        if session.options.expected_version.is_some()
            || attempts == MAX_ATTEMPTS
            || !status_is_unchanged
        {
            return Err(failure);
        }
        attempts += 1;
    };
    session.print_change(&format!("{action} of wave {wave}"), version);
    Ok(())
}

fn status(session: &Session, wave: Option<&str>) -> Result<(), Failure> {
    let reply = if session.options.wait {
        wait_for_waves(session, wave, 0)?
    } else {
        session.client.read("/v1/waves")?
    };
    let waves = select_waves(&reply, wave)?;
    let result = json!({"version": reply["version"], "waves": waves});
    session.print_result(&result, |_| {
        let rows: Vec<Vec<String>> = waves.iter().map(format_row).collect();
        let headers = ["wave", "pool", "status", "waiting", "running", "finished"];
        output::print_table(&headers, &rows);
    });
    Ok(())
}

/// Waits until the selected waves have ended in a state of at least this version.
fn wait_for_waves(session: &Session, wave: Option<&str>, version: u64) -> Result<Value, Failure> {
    session.wait_for("the wave", || {
        let Ok(reply) = session.client.read("/v1/waves") else {
            return Ok(Err("no node answers".to_owned()));
        };
        if reply["version"].as_u64().unwrap_or(0) < version {
            return Ok(Err("the node asked is behind".to_owned()));
        }
        let waves = select_waves(&reply, wave)?;
        let has_ended = |wave: &Value| {
            let running = wave["running"].as_array().map_or(0, Vec::len);
            wave["status"] == "finished" || wave["status"] == "aborted" && running == 0
        };
        let open_waves = waves.iter().filter(|wave| !has_ended(wave));
        let progress: Vec<String> = open_waves
            .map(|wave| {
                let row = format_row(wave);
                let (name, status) = (&row[0], &row[2]);
                let (waiting, running, finished) = (&row[3], &row[4], &row[5]);
                format!(
                    "{name} {status}: {finished} finished, {running} running, {waiting} waiting"
                )
            })
            .collect();
        if progress.is_empty() {
            if wave.is_some() && waves[0]["status"] == "aborted" {
                return Err(Failure::Unknown("the wave was aborted".to_owned()));
            }
            return Ok(Ok(reply));
        }
        Ok(Err(progress.join("; ")))
    })
}

/// Returns the given wave or all waves, each with its name.
fn select_waves(reply: &Value, wave: Option<&str>) -> Result<Vec<Value>, Failure> {
    let mut selected = Vec::new();
    for (name, record) in reply["waves"].as_object().into_iter().flatten() {
        if wave.is_none_or(|wave| wave == name) {
            let mut record = record.clone();
            record["wave"] = json!(name);
            selected.push(record);
        }
    }
    match wave {
        Some(wave) if selected.is_empty() => {
            Err(Failure::Refused(format!("wave {wave} does not exist")))
        }
        _ => Ok(selected),
    }
}

fn format_row(wave: &Value) -> Vec<String> {
    let status = match wave["status"]["paused"]["reason"].as_str() {
        Some(reason) => format!("paused ({reason})"),
        None => output::format_cell(&wave["status"]),
    };
    let count = |field: &str| wave[field].as_array().map_or(0, Vec::len).to_string();
    vec![
        output::format_cell(&wave["wave"]),
        output::format_cell(&wave["pool"]),
        status,
        count("waiting"),
        count("running"),
        count("finished"),
    ]
}
