//! Orders of a cell to its workers and requests to the advice service: executes the actions that
//! `CellCore` decided and passes the results back to it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
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
use tanager_schedule::order_queue::OrderQueue;
use tanager_schedule::orders::OrderResult;
use tanager_site::worker::OrderReply;
use tanager_site::worker::StartOrder;

use crate::cell::CellHandle;
use crate::cell::WorkerConnection;
use crate::run_log::SentStart;

/// Time limit of an order to a worker; workers reply within a few milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of a request for advice: many times what the service needs for 30 workers.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// An order that waits for a connection to its worker.
#[derive(Clone, Debug)]
pub(crate) enum WorkerOrder {
    Start(QueuedStart),
    Stop {
        task: TaskKey,
        run: RunNumber,
    },
    Pace {
        task: TaskKey,
        run: RunNumber,
        percent: u32,
    },
}

/// A start that waits for a connection. The job's specification is added when it is sent, since thousands
/// of tasks of one job may wait.
#[derive(Clone, Debug)]
pub(crate) struct QueuedStart {
    task: TaskKey,
    run: RunNumber,
    lease_until_ms: u64,
    checkpoint: String,
    ticket: Option<String>,
    queued_at: Duration,
}

/// Orders to one worker that its senders share.
#[derive(Clone, Debug)]
pub(crate) struct SharedOrders(Arc<Mutex<OrderQueue<WorkerOrder>>>);

impl SharedOrders {
    pub(crate) fn new(max_senders: usize) -> Self {
        Self(Arc::new(Mutex::new(OrderQueue::new(max_senders))))
    }

    fn lock(&self) -> MutexGuard<'_, OrderQueue<WorkerOrder>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, order: WorkerOrder) -> bool {
        self.lock().push(order)
    }

    fn take(&self) -> Option<WorkerOrder> {
        self.lock().take()
    }
}

impl CellHandle {
    pub(crate) fn execute(self: &Arc<Self>, action: CellAction) {
        match action {
            CellAction::Start {
                worker,
                task,
                run,
                lease_until_ms,
                checkpoint,
                ticket,
            } => {
                let start = QueuedStart {
                    task,
                    run,
                    lease_until_ms,
                    checkpoint,
                    ticket,
                    queued_at: self.context.clock.now(),
                };
                self.enqueue(worker, WorkerOrder::Start(start));
            }
            CellAction::Stop { worker, task, run } => {
                self.enqueue(worker, WorkerOrder::Stop { task, run });
            }
            CellAction::Pace {
                worker,
                task,
                run,
                percent,
            } => self.enqueue(worker, WorkerOrder::Pace { task, run, percent }),
            CellAction::RequestAdvice {
                job,
                occurrence,
                step,
                workers,
            } => {
                let cell = Arc::clone(self);
                let key = (job, occurrence, step);
                self.spawn_task("advice", async move {
                    cell.request_advice(key, workers).await;
                });
            }
            CellAction::CellLost => self.close("a worker knows a higher token"),
        }
    }

    /// Lets an order wait for a connection to its worker, and starts a sender if there are too few.
    fn enqueue(self: &Arc<Self>, worker: WorkerKey, order: WorkerOrder) {
        let Some(connection) = self.connection(worker) else {
            self.record_unsent(worker, &order);
            return;
        };
        let orders = match order {
            WorkerOrder::Start(_) | WorkerOrder::Stop { .. } => connection.orders.clone(),
            WorkerOrder::Pace { .. } => connection.paces.clone(),
        };
        if orders.push(order) {
            let cell = Arc::clone(self);
            self.spawn_task("orders", async move {
                while let Some(order) = orders.take() {
                    if cell.is_closed() {
                        return;
                    }
                    cell.send(worker, &connection, order).await;
                }
            });
        }
    }

    /// Records that an order was not sent because its worker was just replaced and is not connected yet.
    /// Stops and changes of pace will be repeated.
    fn record_unsent(&self, worker: WorkerKey, order: &WorkerOrder) {
        let (now, result) = (self.context.clock.now(), OrderResult::NotSent);
        match order {
            WorkerOrder::Start(start) => {
                let (task, run) = (start.task, start.run);
                (self.core()).apply_start_result(worker, task, run, result, now);
            }
            WorkerOrder::Stop { task, run } => {
                (self.core()).apply_stop_result(worker, *task, *run, result, now);
            }
            WorkerOrder::Pace { .. } => {}
        }
    }

    async fn send(&self, worker: WorkerKey, connection: &WorkerConnection, order: WorkerOrder) {
        match order {
            WorkerOrder::Start(start) => self.start(worker, connection, start).await,
            WorkerOrder::Stop { task, run } => self.stop(worker, connection, task, run).await,
            WorkerOrder::Pace { task, run, percent } => {
                self.pace(worker, connection, (task, run), percent).await;
            }
        }
    }

    async fn start(&self, worker: WorkerKey, connection: &WorkerConnection, start: QueuedStart) {
        let (task, run) = (start.task, start.run);
        let may_start = self.context.may_start_runs(self.context.clock.now());
        let (order, started_ms) = {
            let mut core = self.core();
            if !core.confirm_start(worker, task, run, may_start) {
                return;
            }
            let specification =
                (core.record(task.job)).map(|record| record.spec.specification.clone());
            // Without a record or a worker, nothing waits for the result.
            let (Some(specification), Some(token)) =
                (specification, core.order_token(worker, self.token))
            else {
                return;
            };
            let started_ms = core.worker(worker).map_or(0, |slot| slot.entry.started_ms);
            let order = StartOrder {
                task,
                run,
                specification,
                lease_until_ms: start.lease_until_ms,
                token,
                checkpoint: start.checkpoint,
                ticket: start.ticket,
            };
            (order, started_ms)
        };
        let sent_at = self.context.clock.now();
        self.context.metrics.runs_started.increment();
        self.load.add_starts(1);
        let result = connection.link.start(&order, ORDER_TIMEOUT).await;
        let result = self.order_result(result, sent_at);
        let now = self.context.clock.now();
        (self.context.metrics.start_seconds).observe(now.saturating_sub(start.queued_at));
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

    async fn stop(
        &self,
        worker: WorkerKey,
        connection: &WorkerConnection,
        task: TaskKey,
        run: RunNumber,
    ) {
        // A worker that was replaced meanwhile needs no order.
        let Some(token) = self.core().order_token(worker, self.token) else {
            return;
        };
        let started_ms = self.started_ms(worker);
        let sent_at = self.context.clock.now();
        let result = connection.link.stop(task, run, token, ORDER_TIMEOUT).await;
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

    async fn pace(
        &self,
        worker: WorkerKey,
        connection: &WorkerConnection,
        (task, run): (TaskKey, RunNumber),
        percent: u32,
    ) {
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
