//! Fields of the log lines of nodes.

use std::collections::HashMap;

/// The `name=value` pairs of a log line. Words before them, such as the name of a machine, are
/// skipped.
#[derive(Clone, Debug)]
pub(crate) struct LogFields<'a> {
    values: HashMap<&'a str, &'a str>,
}

impl<'a> LogFields<'a> {
    pub(crate) fn parse(line: &'a str) -> Self {
        let mut values = HashMap::new();
        for (name, value) in line
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
        {
            // The fields of the line itself come first; later ones may be parts of quoted text.
            values.entry(name).or_insert(value);
        }
        Self { values }
    }

    /// Returns a value without spaces.
    pub(crate) fn get(&self, name: &str) -> Option<&'a str> {
        self.values.get(name).copied()
    }

    pub(crate) fn owned(&self, name: &str) -> Option<String> {
        self.get(name).map(str::to_owned)
    }

    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }

    /// Converts seconds, with or without the unit, to milliseconds.
    pub(crate) fn millis(&self, name: &str) -> Option<u64> {
        let seconds: f64 = self.get(name)?.trim_end_matches('s').parse().ok()?;
        (seconds.is_finite() && seconds >= 0.0).then(|| (seconds * 1e3).round() as u64)
    }
}

/// Returns the log lines of a text. The last line of a node that was killed may end anywhere, and the
/// next line of the file then follows it without a line break.
pub(crate) fn log_lines(text: &str) -> impl Iterator<Item = &str> {
    text.lines().flat_map(|line| {
        let mut starts: Vec<usize> = (line.match_indices("time="))
            .map(|(start, _)| start)
            .filter(|start| is_line_start(&line[*start..]))
            .collect();
        // What precedes the first fields may be the rest of a cut line, with its time.
        if starts.is_empty() {
            starts.push(0);
        }
        let ends: Vec<usize> = starts[1..].iter().copied().chain([line.len()]).collect();
        let ranges = starts.into_iter().zip(ends);
        ranges.map(move |(start, end)| &line[start..end])
    })
}

/// Returns whether a text starts with `time=` and `level=`, the first fields of each line.
fn is_line_start(text: &str) -> bool {
    let mut words = text.split(' ');
    let time = words.next().and_then(|word| word.strip_prefix("time="));
    let is_time = time.is_some_and(|time| time.parse::<f64>().is_ok());
    is_time && words.next().is_some_and(|word| word.starts_with("level="))
}

/// Formats a time as in the logs, in seconds.
pub(crate) fn seconds(time_ms: u64) -> String {
    format!("{}.{:03}", time_ms / 1000, time_ms % 1000)
}
