//! Validated INI settings of the node.
//!
//! Each error names the file, the section, the key and the accepted form.

mod reader;
mod value;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tanager_protocol::error::TanagerResult;
use tanager_protocol::ids::NodeId;
use tanager_protocol::ids::ZoneId;

use crate::reader::SettingsReader;

/// Settings of one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// `[node] name`: name of the entry VM in the platform's list.
    pub name: NodeId,
    /// `[node] region`: name of the region of the node.
    pub region: String,
    /// `[node] zone`: availability zone of the node.
    pub zone: ZoneId,
    /// `[node] caller_address`: address on which the node listens for callers.
    pub caller_address: SocketAddr,
    /// `[node] peer_address`: address on which the node listens for other nodes.
    pub peer_address: SocketAddr,
    /// `[node] admin_address`: address of the administration API, metrics and readiness.
    pub admin_address: SocketAddr,
    /// `[node] stop_delay`: time for which a stopping node that is no longer ready still accepts
    /// connections, so that the load balancer can remove it.
    pub stop_delay: Duration,
    /// `[platform] address`: address of the platform's service.
    pub platform_address: SocketAddr,
    /// `[platform] timeout`: limit for one call to the platform.
    pub platform_timeout: Duration,
    /// `[peers] seeds`: peer addresses to start from when the platform is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// `[limits] max_body`: largest body in either direction, in bytes.
    pub max_body: usize,
    /// `[limits] default_timeout`: timeout of a request whose caller names none.
    pub default_timeout: Duration,
    /// `[limits] probe_interval`: time between probes of one worker while the probe budget
    /// suffices.
    pub probe_interval: Duration,
    /// `[limits] claim_retention`: minimum time for which the claim of an idempotency key is
    /// retained.
    pub claim_retention: Duration,
    /// `[control] rebalance`: whether VMs are moved to pools with a lasting overload.
    pub rebalance: bool,
    /// `[control] move_cost`: time for which a move takes a VM out of service; load must last
    /// longer to cause a move.
    pub move_cost: Duration,
    /// `[admin] root_token`: bearer token with all permissions.
    pub root_token: String,
}

/// Largest accepted `max_body`, in bytes; a forwarded body must fit into one message between nodes.
const MAX_BODY_LIMIT: usize = 64 << 20;
/// Shortest accepted `claim_retention`: twice the longest timeout of a request (1 h), so that a
/// claim is retained while its request may still run.
const MIN_CLAIM_RETENTION: Duration = Duration::from_secs(7_200);
/// Shortest accepted root token, in bytes, so that it cannot be found by brute force.
const MIN_TOKEN_BYTES: usize = 16;

impl NodeSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Kind `Invalid` when the file cannot be read or a value is invalid; the message is one line
    /// that names section, key and accepted form.
    pub fn open(path: &Path) -> TanagerResult<Self> {
        Self::from_reader(SettingsReader::open(path)?)
    }

    /// Validates settings given as text; errors name `name` as the file.
    ///
    /// # Errors
    ///
    /// As [`NodeSettings::open`].
    pub fn parse(name: &str, text: &str) -> TanagerResult<Self> {
        Self::from_reader(SettingsReader::parse(name, text)?)
    }

    fn from_reader(mut reader: SettingsReader) -> TanagerResult<Self> {
        let settings = Self {
            name: reader.required("node", "name", value::name)?,
            region: reader.required("node", "region", value::name)?,
            zone: reader.required("node", "zone", value::name)?,
            caller_address: reader.required("node", "caller_address", value::address)?,
            peer_address: reader.required("node", "peer_address", value::address)?,
            admin_address: reader.required("node", "admin_address", value::address)?,
            stop_delay: reader.optional("node", "stop_delay", value::duration, "5s")?,
            platform_address: reader.required("platform", "address", value::address)?,
            platform_timeout: reader.optional("platform", "timeout", value::duration, "500ms")?,
            seeds: reader.optional("peers", "seeds", value::addresses, "")?,
            max_body: reader.optional("limits", "max_body", max_body, "4MiB")?,
            default_timeout: reader.optional("limits", "default_timeout", positive_time, "30s")?,
            probe_interval: reader.optional("limits", "probe_interval", positive_time, "1s")?,
            claim_retention: reader.optional("limits", "claim_retention", key_retention, "720m")?,
            rebalance: reader.optional("control", "rebalance", value::switch, "off")?,
            move_cost: reader.optional("control", "move_cost", positive_time, "30s")?,
            root_token: reader.required("admin", "root_token", root_token)?,
        };
        reader.reject_unknown()?;
        Ok(settings)
    }
}

fn max_body(text: &str) -> Result<usize, String> {
    let size = value::size(text)?;
    if size > MAX_BODY_LIMIT {
        return Err("a size of at most 64MiB".to_owned());
    }
    Ok(size)
}

fn positive_time(text: &str) -> Result<Duration, String> {
    let duration = value::duration(text)?;
    if duration.is_zero() {
        return Err("a time above 0, such as 500ms or 30s".to_owned());
    }
    Ok(duration)
}

fn key_retention(text: &str) -> Result<Duration, String> {
    let duration = value::duration(text)?;
    if duration < MIN_CLAIM_RETENTION {
        return Err("a time of at least 120m, such as 720m".to_owned());
    }
    Ok(duration)
}

fn root_token(text: &str) -> Result<String, String> {
    let is_graphic = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.len() < MIN_TOKEN_BYTES || !is_graphic {
        return Err(format!(
            "at least {MIN_TOKEN_BYTES} visible ASCII characters"
        ));
    }
    Ok(text.to_owned())
}
