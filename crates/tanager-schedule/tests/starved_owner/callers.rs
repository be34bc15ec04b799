//! Callers that give up after their time limit and ask again.

use std::time::Duration;

use tanager_jobs::JobRecord;

use super::owner::Answer;
use super::owner::Request;

/// Time after which an entry node gives up a call.
pub(crate) const CALL_LIMIT: Duration = Duration::from_millis(1_700);
const MAX_RETRIES: u32 = 4;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallEnd {
    Answered(Answer, Duration),
    Unanswered,
    /// The entry node was killed.
    Lost,
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) request: Request,
    record: JobRecord,
    pub(crate) sent_at: Option<Duration>,
    retries: u32,
    pub(crate) end: Option<CallEnd>,
}

#[derive(Default)]
pub(crate) struct Callers {
    pub(crate) calls: Vec<Call>,
    outstanding: usize,
    silent_since: Option<Duration>,
    /// Beginnings and lengths of the times in which calls waited and none was answered.
    pub(crate) silences: Vec<(Duration, Duration)>,
}

impl Callers {
    pub(crate) fn add(&mut self, request: Request, record: JobRecord) -> usize {
        self.add_retry(request, record, 0)
    }

    fn add_retry(&mut self, request: Request, record: JobRecord, retries: u32) -> usize {
        self.calls.push(Call {
            request,
            record,
            sent_at: None,
            retries,
            end: None,
        });
        self.calls.len() - 1
    }

    /// Sends a call.
    pub(crate) fn ask(&mut self, call: usize, now: Duration) -> (Request, JobRecord) {
        let entry = &mut self.calls[call];
        entry.sent_at = Some(now);
        self.outstanding += 1;
        self.silent_since.get_or_insert(now);
        (entry.request, entry.record.clone())
    }

    pub(crate) fn expiry(&self, call: usize) -> Duration {
        self.calls[call].sent_at.unwrap_or_default() + CALL_LIMIT
    }

    /// Applies an answer; returns the next call of the same caller with its time.
    pub(crate) fn apply_answer(
        &mut self,
        call: usize,
        answer: Answer,
        now: Duration,
    ) -> Option<(Duration, usize)> {
        self.end_silence(now);
        let entry = &mut self.calls[call];
        if entry.end.is_some() {
            return None;
        }
        let delay = now.saturating_sub(entry.sent_at.unwrap_or_default());
        entry.end = Some(CallEnd::Answered(answer, delay));
        self.outstanding -= 1;
        self.silent_since = (self.outstanding > 0).then_some(now);
        let Answer::Refused(after) = answer else {
            return None;
        };
        self.retry(call).map(|next| (now + after, next))
    }

    /// Ends a call at its time limit; returns the next call of the same caller. A submission with an
    /// unknown outcome is not repeated; the caller asks for its status instead.
    pub(crate) fn expire(&mut self, call: usize, now: Duration) -> Option<usize> {
        let entry = &mut self.calls[call];
        if entry.end.is_some() {
            return None;
        }
        entry.end = Some(CallEnd::Unanswered);
        self.outstanding -= 1;
        if self.outstanding == 0 {
            self.end_silence(now);
        }
        if self.calls[call].request == Request::Submit {
            let record = self.calls[call].record.clone();
            return Some(self.add_retry(Request::Status, record, 0));
        }
        self.retry(call)
    }

    fn retry(&mut self, call: usize) -> Option<usize> {
        let entry = self.calls[call].clone();
        (entry.retries < MAX_RETRIES)
            .then(|| self.add_retry(entry.request, entry.record, entry.retries + 1))
    }

    /// All entry nodes are killed.
    pub(crate) fn lose_all(&mut self) {
        for call in &mut self.calls {
            if call.sent_at.is_some() && call.end.is_none() {
                call.end = Some(CallEnd::Lost);
            }
        }
        self.outstanding = 0;
        self.silent_since = None;
    }

    pub(crate) fn sample(&mut self, now: Duration) {
        if let Some(since) = self.silent_since {
            self.silences.push((since, now.saturating_sub(since)));
        }
    }

    fn end_silence(&mut self, now: Duration) {
        if let Some(since) = self.silent_since.take() {
            self.silences.push((since, now.saturating_sub(since)));
        }
    }

    /// Returns the calls that were sent in this time and given up.
    pub(crate) fn unanswered(&self, begin: Duration, end: Duration) -> usize {
        self.count(begin, end, |call| call.end == Some(CallEnd::Unanswered))
    }

    pub(crate) fn sent(&self, begin: Duration, end: Duration) -> usize {
        self.count(begin, end, |_| true)
    }

    fn count(&self, begin: Duration, end: Duration, is_counted: impl Fn(&Call) -> bool) -> usize {
        let is_sent = |call: &&Call| call.sent_at.is_some_and(|at| at >= begin && at < end);
        (self.calls.iter().filter(is_sent))
            .filter(|call| is_counted(call))
            .count()
    }
}
