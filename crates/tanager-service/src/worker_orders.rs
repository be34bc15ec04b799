//! Orders of a cell to its workers and requests to the advice service: executes the actions that
//! `CellCore` decided and passes the results back to it.

use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::OrderAnswer;
use tanager_jobs::TaskKey;
use tanager_jobs::ids::RunNumber;
use tanager_jobs::ids::WorkerId;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::CellAction;
use tanager_schedule::WorkerKey;
use tanager_schedule::core::StepKey;
use tanager_schedule::missed_response::MissedResponse;
use tanager_schedule::orders::OrderResult;
use tanager_site::worker::OrderReply;
use tanager_site::worker::StartOrder;

use crate::cell::CellHandle;
use crate::run_log::SentStart;

/// Time limit of an order to a worker; workers reply within a few milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of a request for advice: many times what the service needs for 30 workers.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);

impl CellHandle {
    pub(crate) fn execute(self: &Arc<Self>, action: CellAction) {
        let cell = Arc::clone(self);
        match action {
            CellAction::Start {
                worker,
                task,
                run,
                lease_until_ms,
                checkpoint,
                ticket,
            } => {
                let (specification, token) = {
                    let core = self.core();
                    let specification =
                        (core.record(task.job)).map(|record| record.spec.specification.clone());
                    // Without a record or a worker, nothing waits for the result.
                    let (Some(specification), Some(token)) =
                        (specification, core.order_token(worker, self.token))
                    else {
                        return;
                    };
                    (specification, token)
                };
                let order = StartOrder {
                    task,
                    run,
                    specification,
                    lease_until_ms,
                    token,
                    checkpoint,
                    ticket,
                };
                self.spawn_task("start", async move { cell.start(worker, order).await });
            }
            CellAction::Stop { worker, task, run } => {
                self.spawn_task("stop", async move { cell.stop(worker, task, run).await });
            }
            CellAction::Pace {
                worker,
                task,
                run,
                percent,
            } => {
                self.spawn_task("pace", async move {
                    cell.pace(worker, task, run, percent).await;
                });
            }
            CellAction::RequestAdvice {
                job,
                occurrence,
                step,
                workers,
            } => {
                let key = (job, occurrence, step);
                self.spawn_task("advice", async move {
                    cell.request_advice(key, workers).await;
                });
            }
            CellAction::CellLost => self.close("a worker knows a higher token"),
        }
    }

    async fn start(self: Arc<Self>, worker: WorkerKey, order: StartOrder) {
        let (task, run) = (order.task, order.run);
        let Some(connection) = self.connection(worker) else {
            // A worker that was just replaced is not connected yet; nothing was sent.
            let now = self.context.clock.now();
            self.core()
                .apply_start_result(worker, task, run, OrderResult::NotSent, now);
            return;
        };
        let started = self.context.clock.now();
        let permit = connection.order_permits.acquire().await;
        if self.is_closed() {
            return;
        }
        let may_start = self.context.may_start_runs(self.context.clock.now());
        let started_ms = {
            let mut core = self.core();
            if !core.confirm_start(worker, task, run, may_start) {
                return;
            }
            core.worker(worker).map_or(0, |slot| slot.entry.started_ms)
        };
        let sent_at = self.context.clock.now();
        self.context.metrics.runs_started.increment();
        self.load.add_starts(1);
        let result = connection.link.start(&order, ORDER_TIMEOUT).await;
        drop(permit);
        let result = self.order_result(result, sent_at);
        let now = self.context.clock.now();
        self.context
            .metrics
            .start_seconds
            .observe(now.saturating_sub(started));
        if result != OrderResult::Answered(OrderAnswer::Accepted) {
            self.context.metrics.runs_refused.increment();
        }
        let sent = SentStart {
            task,
            run,
            worker: &connection.worker,
            started_ms,
            lease_until_ms: order.lease_until_ms,
        };
        self.log_start(&sent, result, now.saturating_sub(sent_at).as_secs_f64());
        self.core()
            .apply_start_result(worker, task, run, result, now);
        self.request_decisions();
    }

    async fn stop(self: Arc<Self>, worker: WorkerKey, task: TaskKey, run: RunNumber) {
        let Some(connection) = self.connection(worker) else {
            // A worker that was just replaced is not connected yet; the stop will be repeated.
            let now = self.context.clock.now();
            self.core()
                .apply_stop_result(worker, task, run, OrderResult::NotSent, now);
            return;
        };
        let permit = connection.order_permits.acquire().await;
        // A worker that was replaced meanwhile needs no order.
        let Some(token) = self.core().order_token(worker, self.token) else {
            return;
        };
        let started_ms = self.started_ms(worker);
        let sent_at = self.context.clock.now();
        let result = connection.link.stop(task, run, token, ORDER_TIMEOUT).await;
        drop(permit);
        let result = self.order_result(result, sent_at);
        log::info!(
            "event=run_stopped job={} task={task} run={run} worker={} born={started_ms} \
             result={result:?} cell={} token={}",
            task.job,
            connection.worker,
            self.name,
            self.token
        );
        let now = self.context.clock.now();
        self.core()
            .apply_stop_result(worker, task, run, result, now);
        self.request_decisions();
    }

    async fn pace(self: Arc<Self>, worker: WorkerKey, task: TaskKey, run: RunNumber, percent: u32) {
        let Some(connection) = self.connection(worker) else {
            return;
        };
        let Some(token) = self.core().order_token(worker, self.token) else {
            return;
        };
        let sent_at = self.context.clock.now();
        let result = connection
            .link
            .pace(task, run, percent, token, ORDER_TIMEOUT);
        let result = self.order_result(result.await, sent_at);
        log::info!(
            "event=run_paced job={} task={task} run={run} percent={percent} result={result:?}",
            task.job
        );
        self.core()
            .apply_pace_result(worker, task, (run, percent), result);
    }

    async fn request_advice(self: Arc<Self>, key: StepKey, workers: Vec<WorkerId>) {
        let (job, occurrence, step) = key;
        let name = format!("{job}.{occurrence}.{step}");
        // The service accepts one request of a node at a time. The validity of a ticket starts with
        // the request, so `requested_at` is read once the lock is held.
        let guard = self.context.advice_lock.lock().await;
        let requested_at = self.context.clock.now();
        let advice = match &self.context.advice {
            Some(client) => {
                client
                    .request_tickets(&name, &workers, ADVICE_TIMEOUT)
                    .await
            }
            None => Err(TanagerError::new(
                ErrorKind::NotReady,
                "request advice",
                "",
                "no advice service is configured",
            )),
        };
        drop(guard);
        let now = self.context.clock.now();
        let result = match advice {
            Ok(advice) => {
                log::info!(
                    "event=advice_taken job={job} step={name} asked={} good={} validity={:?} \
                     after={:?}",
                    workers.len(),
                    advice.tickets.len(),
                    advice.validity,
                    now.saturating_sub(requested_at)
                );
                Some((advice.tickets.into_iter().collect(), advice.validity))
            }
            Err(error) => {
                log::warn!("event=advice_failed job={job} step={name} error={error:?}");
                None
            }
        };
        self.core()
            .apply_advice_result(key, result, requested_at, now);
        self.request_decisions();
    }

    /// Converts the result of an order that was sent at `sent_at` into the form that `CellCore`
    /// expects.
    fn order_result(&self, result: TanagerResult<OrderReply>, sent_at: Duration) -> OrderResult {
        match result {
            Ok(reply) => OrderResult::Answered(reply.answer),
            Err(error) if error.kind == ErrorKind::NotSent => OrderResult::NotSent,
            Err(_) => {
                let lag = self.context.lag_since(sent_at);
                match MissedResponse::from_lag(lag, ORDER_TIMEOUT) {
                    MissedResponse::Unanswered => {
                        self.context.metrics.orders_unanswered.increment();
                        OrderResult::Unknown
                    }
                    MissedResponse::Unread => {
                        self.context.metrics.orders_unread.increment();
                        OrderResult::Unread
                    }
                }
            }
        }
    }
}
