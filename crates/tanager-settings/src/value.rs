//! Parsers of single values. Each error describes the accepted form.

use std::net::SocketAddr;
use std::time::Duration;

use tanager_protocol::ids::is_valid_name;

pub(crate) fn name(text: &str) -> Result<String, String> {
    if is_valid_name(text) {
        return Ok(text.to_owned());
    }
    Err("1 to 64 of a-z, 0-9, '-', '_', '.'".to_owned())
}

pub(crate) fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| "an IP address and port, such as 10.0.0.1:8080".to_owned())
}

pub(crate) fn addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    text.split(',').map(|part| address(part.trim())).collect()
}

pub(crate) fn duration(text: &str) -> Result<Duration, String> {
    const UNITS: [(&str, u64); 3] = [("ms", 1), ("s", 1_000), ("m", 60_000)];
    parse_scaled(text, &UNITS)
        .map(Duration::from_millis)
        .ok_or_else(|| "a whole number with a unit: ms, s or m, such as 500ms".to_owned())
}

pub(crate) fn size(text: &str) -> Result<usize, String> {
    const UNITS: [(&str, u64); 3] = [("KiB", 1 << 10), ("MiB", 1 << 20), ("B", 1)];
    parse_scaled(text, &UNITS)
        .and_then(|size| usize::try_from(size).ok())
        .ok_or_else(|| "a whole number with a unit: B, KiB or MiB, such as 4MiB".to_owned())
}

pub(crate) fn switch(text: &str) -> Result<bool, String> {
    match text {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => Err("on or off".to_owned()),
    }
}

/// Parses a whole number followed by one of the units; longer units come first.
fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (digits, factor) = units
        .iter()
        .find_map(|(unit, factor)| text.strip_suffix(unit).map(|digits| (digits, *factor)))?;
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse::<u64>().ok()?.checked_mul(factor)
}
