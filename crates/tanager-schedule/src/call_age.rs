//! How long ago a call between nodes was sent, at most.
//!
//! Answers the load of calls that are sent right after a standstill of their receiver. The lag of the
//! receiver's loop bounds how long any call has waited in its socket, but does not tell those that
//! waited from those that did not. So each response carries the time on the clock of the node that
//! sends it, and the next call to that node returns the time that its clock must have reached when
//! the call was sent.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Least time that passes on the clock of another node while one second passes on the own one: clocks
/// of VMs deviate by up to 2%.
const SLOWEST_CLOCK: f64 = 0.98 / 1.02;

/// Time on the clock of a process of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeTime {
    /// Identifies the process: a later one counts from zero again.
    pub process: u64,
    /// Time since the start of its clock, in whole milliseconds.
    pub time: Duration,
}

impl NodeTime {
    /// Creates a time, without the fraction of a millisecond.
    pub fn new(process: u64, time: Duration) -> Self {
        let time = Duration::from_millis(time.as_millis() as u64);
        Self { process, time }
    }
}

impl fmt::Display for NodeTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.process, self.time.as_millis())
    }
}

impl FromStr for NodeTime {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parse = || {
            let (process, millis) = text.split_once('.')?;
            Some(Self {
                process: process.parse().ok()?,
                time: Duration::from_millis(millis.parse().ok()?),
            })
        };
        parse().ok_or_else(|| format!("invalid time of a node {text:?}"))
    }
}

/// Time that a response of another node carried.
#[derive(Clone, Copy, Debug)]
pub struct PeerTime {
    /// Time when the response was sent.
    pub sent: NodeTime,
    /// Time on the own clock when it was read.
    pub read_at: Duration,
}

impl PeerTime {
    /// Returns a time that the clock of the other node has reached at `now`, if its process still runs.
    pub fn reached(&self, now: Duration) -> NodeTime {
        let elapsed = now.saturating_sub(self.read_at).mul_f64(SLOWEST_CLOCK);
        NodeTime::new(self.sent.process, self.sent.time + elapsed)
    }
}

/// Returns how long ago a call was sent, at most, that its receiver has just read.
///
/// `sent_after` is the time that the call says the receiver's clock had reached, `own` the time there
/// now, and `lag` the largest lag of the receiver's loop in the time in which the call may have waited.
pub fn largest_age(sent_after: Option<NodeTime>, own: NodeTime, lag: Duration) -> Duration {
    match sent_after {
        Some(sent) if sent.process == own.process => lag.min(own.time.saturating_sub(sent.time)),
        _ => lag,
    }
}
