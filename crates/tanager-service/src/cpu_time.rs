//! Processor time of the process by duty.
//!
//! The counters belong to the process, as processor time does: all nodes in one process share them.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::registry::Unit;

/// A part of a node's work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Duty {
    /// Decisions of cells: placing, recovery, checks of all runs.
    Decisions,
    /// Decisions whether jobs are admitted.
    Admission,
    /// Reports of workers.
    Reports,
    /// Preparation of lease renewals.
    Renewals,
    /// Preparation of transactions and their effects.
    Ledger,
    /// Encoding and decoding of calls between nodes.
    PeerCalls,
    /// Formatting of log lines; also part of the duty that logs.
    LogLines,
    /// The thread that writes the log.
    LogWriter,
}

impl Duty {
    /// All duties, in the order of their declaration.
    pub const ALL: [Self; 8] = [
        Self::Decisions,
        Self::Admission,
        Self::Reports,
        Self::Renewals,
        Self::Ledger,
        Self::PeerCalls,
        Self::LogLines,
        Self::LogWriter,
    ];

    /// Returns the value of the label `duty`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Decisions => "decisions",
            Self::Admission => "admission",
            Self::Reports => "reports",
            Self::Renewals => "renewals",
            Self::Ledger => "ledger",
            Self::PeerCalls => "peer_calls",
            Self::LogLines => "log_lines",
            Self::LogWriter => "log_writer",
        }
    }
}

/// Nanoseconds by duty.
static SPENT: [AtomicU64; Duty::ALL.len()] = [const { AtomicU64::new(0) }; Duty::ALL.len()];

/// Processor time by duty since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CpuTimes {
    by_duty: [Duration; Duty::ALL.len()],
    /// Of the whole process, including what belongs to no duty.
    pub process: Duration,
}

impl CpuTimes {
    /// Reads the counters.
    pub fn read() -> Self {
        let by_duty = (SPENT.each_ref())
            .map(|nanoseconds| Duration::from_nanos(nanoseconds.load(Ordering::Relaxed)));
        Self {
            by_duty,
            process: read_clock(ClockId::CLOCK_PROCESS_CPUTIME_ID),
        }
    }

    /// Returns the time of a duty.
    pub fn of(&self, duty: Duty) -> Duration {
        self.by_duty[duty as usize]
    }
}

/// Calls a function and adds the processor time that this thread spends on it to a duty. Returns the
/// result and that time.
pub fn measure<R>(duty: Duty, work: impl FnOnce() -> R) -> (R, Duration) {
    let started = read_clock(ClockId::CLOCK_THREAD_CPUTIME_ID);
    let result = work();
    let spent = read_clock(ClockId::CLOCK_THREAD_CPUTIME_ID).saturating_sub(started);
    SPENT[duty as usize].fetch_add(spent.as_nanos() as u64, Ordering::Relaxed);
    (result, spent)
}

/// Calls a function as [`measure`] does and returns its result only.
pub fn measured<R>(duty: Duty, work: impl FnOnce() -> R) -> R {
    measure(duty, work).0
}

fn read_clock(clock: ClockId) -> Duration {
    // Both clocks exist on all versions of Linux that are supported. Zero would only lose a count.
    clock_gettime(clock).map_or(Duration::ZERO, Duration::from)
}

/// Exports the counters as metrics.
#[derive(Debug)]
pub(crate) struct CpuCollector;

impl Collector for CpuCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let times = CpuTimes::read();
        let mut by_duty = encoder.encode_descriptor(
            "cpu",
            "Processor time by duty",
            Some(&Unit::Seconds),
            MetricType::Counter,
        )?;
        for duty in Duty::ALL {
            let labels = [("duty", duty.name())];
            let counter = ConstCounter::new(times.of(duty).as_secs_f64());
            counter.encode(by_duty.encode_family(&labels)?)?;
        }
        let process = encoder.encode_descriptor(
            "process_cpu",
            "Processor time of the process",
            Some(&Unit::Seconds),
            MetricType::Counter,
        )?;
        ConstCounter::new(times.process.as_secs_f64()).encode(process)
    }
}
