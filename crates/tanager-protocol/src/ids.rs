//! Type aliases for identifiers. [`is_valid_name`] validates identifiers where they are received.

/// Name of a node (one process on an entry VM).
pub type NodeId = String;
/// Name of a VM that runs an endpoint.
pub type VmId = String;
/// Name of a pool of VMs.
pub type PoolId = String;
/// Name of a team that owns pools or sends requests.
pub type TeamId = String;
/// Name of an availability zone.
pub type ZoneId = String;
/// Name of a rack.
pub type RackId = String;
/// Name of a maintenance wave.
pub type WaveId = String;
/// Version of the change log; 0 is the state before the first entry.
pub type LogVersion = u64;
/// Random number that identifies one process start of a node.
pub type Incarnation = u64;

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Returns whether `name` is a valid identifier: 1 to 64 of `a-z`, `0-9`, `-`, `_` and `.`,
/// starting with a letter or digit.
pub fn is_valid_name(name: &str) -> bool {
    let is_alphanumeric = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    name.len() <= MAX_NAME_BYTES
        && name.bytes().next().is_some_and(is_alphanumeric)
        && name
            .bytes()
            .all(|byte| is_alphanumeric(byte) || matches!(byte, b'-' | b'_' | b'.'))
}
