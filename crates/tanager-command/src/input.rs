//! Reads files and standard input.

use std::io::Read;

use serde::de::DeserializeOwned;

use tanager_protocol::config::ConfigDocument;

use crate::failure::Failure;

/// Reads a file, or standard input for `-`.
pub(crate) fn read_text(path: &str) -> Result<String, Failure> {
    let read_error = |error: std::io::Error| Failure::Usage(format!("read {path}: {error}"));
    if path == "-" {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(read_error)?;
        return Ok(text);
    }
    std::fs::read_to_string(path).map_err(read_error)
}

/// Reads the bytes of a file, or of standard input for `-`.
pub(crate) fn read_bytes(path: &str) -> Result<Vec<u8>, Failure> {
    let read_error = |error: std::io::Error| Failure::Unreadable(format!("read {path}: {error}"));
    if path == "-" {
        let mut bytes = Vec::new();
        std::io::stdin()
            .read_to_end(&mut bytes)
            .map_err(read_error)?;
        return Ok(bytes);
    }
    std::fs::read(path).map_err(read_error)
}

/// Reads log files, each of which may be standard input. Invalid UTF-8 is replaced, because a node
/// may have been killed while it wrote.
pub(crate) fn read_logs(paths: &[String]) -> Result<Vec<String>, Failure> {
    let texts = paths.iter().map(|path| {
        let bytes = read_bytes(path)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    });
    texts.collect()
}

/// Parses the text of a file as JSON.
pub(crate) fn parse_json<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, Failure> {
    serde_json::from_str(text).map_err(|error| Failure::Usage(format!("parse {path}: {error}")))
}

/// Reads and validates a configuration document. Returns its text and the parsed document.
pub(crate) fn read_document(path: &str) -> Result<(String, ConfigDocument), Failure> {
    let text = read_text(path)?;
    let document: ConfigDocument = parse_json(path, &text)?;
    let check = document.validate();
    check.map_err(|problem| Failure::Usage(format!("{path}: {problem}")))?;
    Ok((text, document))
}
