//! Parsers of command-line option values.

use std::net::SocketAddr;
use std::time::Duration;

/// Parses a duration in milliseconds, seconds or minutes, such as `500ms`, `2s` or `1m`.
///
/// # Errors
///
/// Returns a message that describes the expected format.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let error = || format!("{text:?} is not a duration such as 500ms, 2s or 1m");
    let unit = text.find(|character: char| !character.is_ascii_digit());
    let (number, unit) = text.split_at(unit.ok_or_else(error)?);
    let number: u64 = number.parse().map_err(|_| error())?;
    match unit {
        "ms" => Ok(Duration::from_millis(number)),
        "s" => Ok(Duration::from_secs(number)),
        "m" => Ok(Duration::from_secs(number.saturating_mul(60))),
        _ => Err(error()),
    }
}

/// Parses a comma-separated list of addresses.
///
/// # Errors
///
/// Returns a message that names the invalid address.
pub fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    text.split(',')
        .map(|part| {
            part.parse()
                .map_err(|_| format!("{part:?} is not an address"))
        })
        .collect()
}
