//! Finds ends that a worker has forgotten although no owner read them: gaps in the numbers that
//! were read from one incarnation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::log_fields::seconds;
use crate::log_report::FindingLevel;
use crate::run_history::Finding;
use crate::run_history::FindingKind;
use crate::run_history::MAX_EXECUTION_DELAY_MS;
use crate::run_history::RunHistory;
use crate::run_history::WorkerIncarnation;

impl RunHistory {
    pub(crate) fn find_unread_ends(&self, findings: &mut BTreeSet<Finding>) {
        let incarnations: BTreeSet<&WorkerIncarnation> =
            self.ends.keys().chain(self.acknowledged.keys()).collect();
        for incarnation in incarnations {
            let read = self.ends.get(incarnation);
            let numbers: Vec<u64> = read.into_iter().flat_map(BTreeMap::keys).copied().collect();
            let acknowledged = (self.acknowledged.get(incarnation).into_iter().flatten())
                .map(|(_, number, _)| *number)
                .max();
            let last = (numbers.iter().copied().chain(acknowledged)).max();
            let mut expected = 1;
            for number in numbers.into_iter().chain(last.map(|last| last + 1)) {
                if number > expected {
                    findings.insert(self.unread(incarnation, expected, number - 1));
                }
                expected = expected.max(number + 1);
            }
        }
    }

    fn unread(&self, incarnation: &WorkerIncarnation, from: u64, to: u64) -> Finding {
        let (worker, born) = incarnation;
        let reason = self.reason_of_loss(incarnation, from, to);
        let level = match reason {
            Some(_) => FindingLevel::Fault,
            None => FindingLevel::NearMiss,
        };
        // A node that is killed loses its last lines, so its readings may be missing.
        let reason = reason.unwrap_or_else(|| "they may be in lost lines of another owner".into());
        Finding {
            level,
            kind: FindingKind::UnreadEnds,
            task: None,
            text: format!(
                "no owner read the ends {from} to {to} of {worker} born {born}: {reason}"
            ),
        }
    }

    /// Returns what shows that ends are lost; `None` if an owner whose lines are missing may have
    /// read them.
    fn reason_of_loss(
        &self,
        incarnation: &WorkerIncarnation,
        from: u64,
        to: u64,
    ) -> Option<String> {
        let (worker, born) = incarnation;
        let read = self.ends.get(incarnation);
        let before = read.and_then(|ends| ends.get(&(from - 1)));
        let next = read.and_then(|ends| ends.get(&(to + 1)));
        // The lines of a node are in order: one that logged an acknowledgement before anybody read a
        // higher end has logged what it read until then.
        let acknowledgement = (self.acknowledgement(worker, *born, to))
            .filter(|(time, _, _)| next.is_none_or(|(next, _)| time < next));
        if let Some((time, number, token)) = acknowledgement {
            let time = seconds(time);
            return Some(format!(
                "a renewal of token {token} at {time} acknowledged up to {number}"
            ));
        }
        if let (Some((_, before)), Some((_, next))) = (before, next)
            && before == next
        {
            return Some(format!(
                "the owner with token {next} read the ones around them"
            ));
        }
        // A renewal without a response that was meant for the former incarnation acknowledges the
        // ends of this one.
        let (next_read, _) = next?;
        (self.acknowledged.iter())
            .filter(|((other, former), _)| other == worker && former < born)
            .flat_map(|((_, former), entries)| entries.iter().map(move |entry| (former, entry)))
            .filter(|(_, (time, number, _))| {
                *number >= from && *next_read < time + MAX_EXECUTION_DELAY_MS
            })
            .max_by_key(|(_, (time, _, _))| *time)
            .map(|(former, (time, number, token))| {
                let time = seconds(*time);
                format!(
                    "a renewal of token {token} at {time} for the incarnation {former} \
                     acknowledged up to {number}"
                )
            })
    }
}
