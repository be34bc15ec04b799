//! Admission decisions of a cell: carries them out, counts them and logs why they were taken.

use std::time::Duration;

use tanager_jobs::JobRecord;
use tanager_schedule::AdmissionDecision;
use tanager_schedule::AdmissionReport;
use tanager_schedule::overload::PlanOutcome;

use crate::cell::CellHandle;
use crate::cpu_time;
use crate::cpu_time::Duty;

impl CellHandle {
    /// Decides whether a job is admitted, and refuses the jobs that it displaces. Jobs that were
    /// passed to a transaction are never displaced, because they may be stored.
    pub(crate) fn decide_admission(
        &self,
        record: &mut JobRecord,
        now: Duration,
    ) -> AdmissionDecision {
        let unsent = match self.context.settings.features.plans_overload {
            true => self.ledger.unsent_jobs(),
            false => Vec::new(),
        };
        let report = cpu_time::measured(Duty::Admission, || {
            self.core().admit_record(record, &unsent, now)
        });
        let metrics = &self.context.metrics;
        match report.decision {
            AdmissionDecision::Accept => match report.outcome {
                Some(PlanOutcome::Planned) => metrics.jobs_planned.increment(),
                Some(PlanOutcome::Delayed) => metrics.jobs_delayed.increment(),
                Some(PlanOutcome::Rejected(_)) | None => {}
            },
            AdmissionDecision::Overloaded(_) if report.exceeds_rate => {
                metrics.refused_excess.increment();
            }
            AdmissionDecision::Overloaded(_) => metrics.refused_late.increment(),
            AdmissionDecision::ExceedsCap => metrics.refused_cap.increment(),
            AdmissionDecision::NoWorker(_) => metrics.refused_no_worker.increment(),
            AdmissionDecision::NoRoom(_) => metrics.refused_no_room.increment(),
        }
        if report.outcome.is_some() {
            self.log_admission(record, &report);
        }
        for &(id, after) in &report.displaced {
            if self.ledger.displace(id, after) {
                metrics.refused_displaced.increment();
                log::info!(
                    "event=job_displaced job={id} by={} cell={} retry_after={after:?} waiting={} \
                     cores={:.0}",
                    record.id,
                    self.name,
                    report.waiting,
                    report.cores
                );
            }
        }
        report.decision
    }

    fn log_admission(&self, record: &JobRecord, report: &AdmissionReport) {
        log::info!(
            "event=job_planned job={} workspace={} queue={} cell={} outcome={:?} \
             exceeds_rate={} work={:.1} wait={:.3?} deadline={:.3?} waiting={} cores={:.0} \
             displaced={}",
            record.id,
            record.workspace.as_deref().unwrap_or("-"),
            record.queue,
            self.name,
            report.outcome,
            report.exceeds_rate,
            report.work,
            report.wait,
            report.target,
            report.waiting,
            report.cores,
            report.displaced.len()
        );
    }
}
