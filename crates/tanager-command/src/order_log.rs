//! Reads the log lines of job service nodes that tell of orders to VMs.

use crate::log_fields::LogFields;
use crate::log_fields::log_lines;

/// An order to a VM that a node sent, failed to send or withheld.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct OrderLine {
    /// Wall clock of the node when it wrote the line, in milliseconds since 1970.
    pub time_ms: u64,
    /// VM.
    pub vm: String,
    /// What the VM was ordered to do.
    pub order: String,
    /// Sender.
    pub holder: OrderHolder,
    /// Fencing token.
    pub token: u64,
    /// Whether the ownership had ended when the line was written.
    pub closed: bool,
    /// Age of each piece of evidence that the line has, by the name of its field.
    pub evidence: Vec<(&'static str, String)>,
    /// Times and answer; `None` if the order was withheld.
    pub call: Option<OrderCall>,
}

/// A process that sends orders.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct OrderHolder {
    /// Node.
    pub node: String,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// The call of the platform with an order. Times are in milliseconds since 1970 on the wall clock of
/// the node.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct OrderCall {
    /// When the right to order was checked.
    pub checked_ms: u64,
    /// Last permitted write; 0 if none was made, `None` if the line does not tell.
    pub sent_ms: Option<u64>,
    /// When the call ended.
    pub answered_ms: u64,
    /// Answer of the platform, or error, as logged.
    pub answer: String,
}

impl OrderCall {
    /// Returns the earliest time at which the order may have reached the platform; `None` if it
    /// certainly did not.
    pub fn start_ms(&self) -> Option<u64> {
        if self.error_kind() == Some("NotSent") {
            return None;
        }
        match self.sent_ms {
            Some(0) if self.answer.starts_with("Err(") => None,
            // The platform's answer shows that it was sent.
            Some(0) | None => Some(self.checked_ms),
            Some(sent) => Some(sent),
        }
    }

    /// Returns whether it may reach the platform after the call ended.
    pub fn is_unanswered(&self) -> bool {
        let is_unknown = matches!(self.error_kind(), Some("Unknown" | "Timeout"));
        is_unknown && self.start_ms().is_some()
    }

    fn error_kind(&self) -> Option<&str> {
        let error = self.answer.strip_prefix("Err(")?;
        let (_, kind) = error.split_once("kind: ")?;
        kind.split([',', ' ']).next()
    }
}

/// Content of logs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OrderLog {
    /// Lines about orders, ordered by time.
    pub lines: Vec<OrderLine>,
    /// Number of lines that the nodes dropped because nobody read their output.
    pub dropped: u64,
    /// Number of lines about orders that lack a field.
    pub unreadable: u64,
}

/// Fields with the age of some evidence that the sender is the coordinator.
const EVIDENCE: [&str; 3] = ["lease_age", "heartbeat_age", "owner_read_age"];

/// Reads the lines of all nodes, in any order. Other lines, and text before the fields of a line,
/// are skipped. A line that occurs twice counts once.
pub fn read_log<'a>(texts: impl IntoIterator<Item = &'a str>) -> OrderLog {
    let mut log = OrderLog::default();
    for text in texts.into_iter().flat_map(log_lines) {
        let fields = LogFields::parse(text);
        log.dropped += fields.number("dropped_lines").unwrap_or(0);
        let line = match fields.get("event") {
            Some("vm_ordered") => read_call(text, &fields).and_then(|call| {
                let line = read_line(text, &fields)?;
                let call = Some(call);
                Some(OrderLine { call, ..line })
            }),
            Some("vm_order_withheld") => read_line(text, &fields),
            _ => continue,
        };
        match line {
            Some(line) => log.lines.push(line),
            None => log.unreadable += 1,
        }
    }
    log.lines.sort();
    log.lines.dedup();
    log
}

fn read_line(text: &str, fields: &LogFields<'_>) -> Option<OrderLine> {
    let (_, order) = text.split_once(" order=")?;
    let (order, _) = order.split_once(" holder=")?;
    let evidence = EVIDENCE.into_iter();
    Some(OrderLine {
        time_ms: fields.millis("time")?,
        vm: fields.owned("vm")?,
        order: order.to_owned(),
        holder: OrderHolder {
            node: fields.owned("holder")?,
            incarnation: fields.number("incarnation")?,
        },
        token: fields.number("token")?,
        closed: fields.get("closed")?.parse().ok()?,
        evidence: evidence
            .filter_map(|name| Some((name, fields.owned(name)?)))
            .collect(),
        call: None,
    })
}

fn read_call(text: &str, fields: &LogFields<'_>) -> Option<OrderCall> {
    let (_, answer) = text.split_once(" answer=")?;
    // The logger appends this field to lines of any kind.
    let answer = match answer.rsplit_once(" dropped_lines=") {
        Some((answer, _)) => answer,
        None => answer,
    };
    Some(OrderCall {
        checked_ms: fields.number("checked_ms")?,
        sent_ms: match fields.get("sent_ms") {
            Some(sent) => Some(sent.parse().ok()?),
            None => None,
        },
        answered_ms: fields.number("answered_ms")?,
        answer: answer.trim_end().to_owned(),
    })
}
