//! Workers of the stand-in. The specification of a job gives the duration of its tasks and whether
//! they fail: `ms=300`, `ms=300 fail`, or `lasts` for tasks that run until they are stopped; `cpu=10` gives the
//! thousandths of a core that a task uses instead of a whole one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tokio::time;

use super::SharedSite;
use super::SiteState;
use super::SiteTable;
use super::advice;
use super::faults::should_trigger;
use super::json_response;
use super::lock;
use super::parse_body;

/// Longest lease that a worker grants.
const MAX_LEASE_MS: u64 = 6_000;
/// Duration of a task whose specification has none.
const DEFAULT_TASK_DURATION: Duration = Duration::from_millis(200);
/// Thousandths of a core that a task uses whose specification has none.
const DEFAULT_TASK_CPU: u64 = 1_000;
/// Capacity of a worker: thousandths of a core, and memory in MB.
const CPU_MILLICORES: u64 = 16_000;
const MEMORY_MB: u64 = 65_536;
/// Maximum number of ends in a response.
const MAX_LISTED_ENDS: usize = 500;
/// Period of checks for ended runs while a lease renewal waits for one.
const RENEWAL_POLL_PERIOD: Duration = Duration::from_millis(5);

/// Run of a task as its worker recorded it.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedRun {
    /// Task, under the name that the owner gave it.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Index of the worker.
    pub worker: usize,
    /// Start, as time since the start of the stand-in.
    pub started_at: Duration,
    /// Time and cause of the end; `None` while it runs. Runs of a crashed worker end as `lost`.
    pub ended: Option<(Duration, &'static str)>,
    /// Whether an owner acknowledged the end.
    pub acknowledged: bool,
}

/// Log of all runs.
#[derive(Debug, Default)]
pub struct RunLog {
    /// Runs in the order of their starts.
    pub runs: Vec<ObservedRun>,
}

#[derive(Debug)]
struct RunState {
    run: u64,
    started_at: Duration,
    /// `None` for a task that runs until it is stopped.
    duration: Option<Duration>,
    should_fail: bool,
    cpu: u64,
    /// Position in the log.
    logged_at: usize,
}

#[derive(Debug)]
struct RunEnd {
    number: u64,
    task: String,
    run: u64,
    cause: &'static str,
    /// Position of the run in the log.
    logged_at: usize,
}

/// One worker, across all its incarnations.
#[derive(Debug)]
pub struct SiteWorker {
    index: usize,
    /// Name of its VM.
    pub vm: String,
    /// Pool of its VM.
    pub pool: String,
    /// State of its VM that the machine API lists while the worker is down.
    pub state: &'static str,
    rack: String,
    address: SocketAddr,
    incarnation: u32,
    started_ms: u64,
    /// Time from which the worker is up; `None` while its VM is down.
    up_from: Option<Duration>,
    incarnation_start: Duration,
    /// Time of the last renewal of its entry in the store.
    pub last_heartbeat: Duration,
    sequence: u64,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, RunState>,
    unacknowledged_ends: Vec<RunEnd>,
    next_end_number: u64,
    /// Newest run of each task that ended or was stopped; it and older runs cannot start.
    closed_runs: BTreeMap<String, u64>,
    /// Ids of former incarnations with the time of their ends.
    former_ids: Vec<(String, Duration)>,
}

impl SiteWorker {
    pub(crate) fn new(
        index: usize,
        pool: &str,
        number: usize,
        address: SocketAddr,
        is_down: bool,
    ) -> Self {
        Self {
            index,
            vm: format!("m-{index:03}"),
            pool: pool.to_owned(),
            state: if is_down { "down" } else { "up" },
            rack: format!("r-{pool}-{}", number / 4),
            address,
            incarnation: 0,
            started_ms: 1,
            up_from: (!is_down).then_some(Duration::ZERO),
            incarnation_start: Duration::ZERO,
            last_heartbeat: Duration::ZERO,
            sequence: 0,
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            unacknowledged_ends: Vec::new(),
            next_end_number: 1,
            closed_runs: BTreeMap::new(),
            former_ids: Vec::new(),
        }
    }

    /// Id of the current incarnation.
    pub fn id(&self) -> String {
        format!("i-{}-{}", self.index, self.incarnation)
    }

    pub(crate) fn is_up(&self, now: Duration) -> bool {
        self.up_from.is_some_and(|from| now >= from)
    }

    fn clock_ms(&self, now: Duration) -> u64 {
        now.saturating_sub(self.incarnation_start).as_millis() as u64
    }

    pub(crate) fn write_heartbeat(&mut self, table: &mut SiteTable, now: Duration) {
        self.state = "up";
        self.last_heartbeat = now;
        self.sequence += 1;
        let entry = json!({
            "service": self.pool, "address": self.address.to_string(), "zone": "zone-1",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": CPU_MILLICORES, "memory_request_mb": MEMORY_MB, "gpu": 0},
            "labels": ["a", self.rack], "clock_ms": self.clock_ms(now),
            "sequence": self.sequence, "born": self.started_ms,
        });
        table.put("servers", "", &self.id(), entry.to_string().as_bytes());
    }

    pub(crate) fn remove_entry(&self, table: &mut SiteTable) {
        table.remove("servers", "", &self.id());
    }

    /// Removes the entries of incarnations that ended `age` ago or earlier.
    pub(crate) fn remove_former_entries(
        &mut self,
        table: &mut SiteTable,
        now: Duration,
        age: Duration,
    ) {
        let is_old = |ended: Duration| now.saturating_sub(ended) > age;
        for (id, _) in self.former_ids.extract_if(.., |(_, ended)| is_old(*ended)) {
            table.remove("servers", "", &id);
        }
    }

    /// Ends the current incarnation; the next one, with another id, starts at `restart_time`.
    pub(crate) fn crash(&mut self, now: Duration, restart_time: Duration, log: &mut RunLog) {
        self.advance(now, log);
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            self.end_run(&task, "lost", now, log);
        }
        self.former_ids.push((self.id(), now));
        self.incarnation += 1;
        self.started_ms += 1_000;
        self.up_from = Some(restart_time);
        self.incarnation_start = restart_time;
        self.token = 0;
        self.lease_until_ms = 0;
        self.unacknowledged_ends.clear();
        self.next_end_number = 1;
        self.closed_runs.clear();
    }

    pub(crate) fn advance(&mut self, now: Duration, log: &mut RunLog) {
        let clock_ms = self.clock_ms(now);
        let ends: Vec<(String, &'static str)> = (self.running.iter())
            .filter_map(|(task, run)| {
                let end = run.started_at + run.duration?;
                (now >= end).then(|| {
                    (
                        task.clone(),
                        if run.should_fail { "failed" } else { "done" },
                    )
                })
            })
            .collect();
        for (task, cause) in ends {
            self.end_run(&task, cause, now, log);
        }
        if clock_ms > self.lease_until_ms {
            let expired: Vec<String> = self.running.keys().cloned().collect();
            for task in expired {
                self.end_run(&task, "lapsed", now, log);
            }
        }
    }

    fn end_run(&mut self, task: &str, cause: &'static str, now: Duration, log: &mut RunLog) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.closed_runs.insert(task.to_owned(), run.run);
        self.unacknowledged_ends.push(RunEnd {
            number: self.next_end_number,
            task: task.to_owned(),
            run: run.run,
            cause,
            logged_at: run.logged_at,
        });
        self.next_end_number += 1;
        log.runs[run.logged_at].ended = Some((now, cause));
    }

    /// Records the ends up to `cursor` as acknowledged and stops reporting them.
    fn acknowledge(&mut self, cursor: u64, log: &mut RunLog) {
        for end in &self.unacknowledged_ends {
            if end.number <= cursor {
                log.runs[end.logged_at].acknowledged = true;
            }
        }
        self.unacknowledged_ends.retain(|end| end.number > cursor);
    }

    fn extend_lease(&mut self, until_ms: Option<u64>, now: Duration) {
        let max_lease_ms = self.clock_ms(now) + MAX_LEASE_MS;
        if let Some(until_ms) = until_ms {
            self.lease_until_ms = self.lease_until_ms.max(until_ms.min(max_lease_ms));
        }
    }

    fn has_valid_ticket(&self, body: &Value, now: Duration) -> bool {
        let ticket = body["ticket"].as_str().unwrap_or_default();
        let task = body["task"].as_str().unwrap_or_default();
        advice::is_ticket_valid(ticket, &self.id(), task, now)
    }

    fn start_run(
        &mut self,
        body: &Value,
        now: Duration,
        should_fail: bool,
        log: &mut RunLog,
    ) -> (u16, &'static str) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let until_ms = body["deadline_ms"].as_u64();
        if until_ms.unwrap_or(0) <= self.clock_ms(now) {
            return (409, "late");
        }
        self.extend_lease(until_ms, now);
        if self
            .running
            .get(&task)
            .is_some_and(|current_run| current_run.run == number)
        {
            return (200, "");
        }
        let newest_closed = self.closed_runs.get(&task).copied().unwrap_or(0);
        if number <= newest_closed || self.running.contains_key(&task) {
            return (409, "old");
        }
        let specification = body["specification"].as_str().unwrap_or_default();
        let number_of = |prefix| {
            (specification.split_whitespace())
                .find_map(|word| word.strip_prefix(prefix))
                .and_then(|number| number.parse().ok())
        };
        let cpu = number_of("cpu=").unwrap_or(DEFAULT_TASK_CPU);
        let used: u64 = self.running.values().map(|run| run.cpu).sum();
        if used + cpu > CPU_MILLICORES {
            return (409, "room");
        }
        let duration = number_of("ms=").map_or(DEFAULT_TASK_DURATION, Duration::from_millis);
        let run_state = RunState {
            run: number,
            started_at: now,
            duration: (!specification.contains("lasts")).then_some(duration),
            should_fail: should_fail || specification.contains("fail"),
            cpu,
            logged_at: log.runs.len(),
        };
        self.running.insert(task.clone(), run_state);
        log.runs.push(ObservedRun {
            task,
            run: number,
            worker: self.index,
            started_at: now,
            ended: None,
            acknowledged: false,
        });
        (200, "")
    }

    fn stop_run(&mut self, body: &Value, now: Duration, log: &mut RunLog) -> (u16, &'static str) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let newest_closed = self.closed_runs.entry(task.clone()).or_default();
        *newest_closed = (*newest_closed).max(number);
        if self
            .running
            .get(&task)
            .is_some_and(|current_run| current_run.run <= number)
        {
            self.end_run(&task, "stopped", now, log);
        }
        (200, "")
    }

    fn status_report(&self, now: Duration, has_odd_entries: bool) -> Value {
        let mut running: Vec<Value> = (self.running.iter())
            .map(|(task, run)| {
                let percent = match run.duration {
                    None => 100,
                    Some(duration) => {
                        let elapsed = now.saturating_sub(run.started_at).as_secs_f64();
                        (elapsed / duration.as_secs_f64().max(0.001) * 100.0).min(99.0) as u32
                    }
                };
                json!([task, run.run, "", percent, run.cpu])
            })
            .collect();
        let mut ended: Vec<Value> = (self.unacknowledged_ends.iter().take(MAX_LISTED_ENDS))
            .map(|end| json!([end.number, end.task, end.run, end.cause, ""]))
            .collect();
        if has_odd_entries {
            let task = "00000000000000ff.0.0.0";
            running.insert(0, json!(["no task", 1, "", 0, 0]));
            running.push(json!([task, u64::MAX, "", -1, 1e300]));
            running.push(json!({"task": [[[[]]]]}));
            ended.insert(0, json!([0, task, "one", "done", ""]));
            ended.push(json!([u64::MAX, task, 1, "done", ""]));
            ended.push(json!([1_000_000, task, 1, "vanished", ""]));
        }
        json!({"clock_ms": self.clock_ms(now), "born": self.started_ms,
               "running": running, "ended": ended})
    }
}

/// Serves a request to a worker.
pub(crate) async fn handle(state: SharedSite, index: usize, request: HttpRequest) -> HttpResponse {
    let body = parse_body(&request);
    let (response, is_response_lost) = {
        let mut state = lock(&state);
        let is_response_lost =
            request.path != "/hold" && should_trigger(state.faults.order_response_loss_rate);
        (
            execute_order(&mut state, index, &request, &body),
            is_response_lost,
        )
    };
    let Some(response) = response.filter(|_| !is_response_lost) else {
        return std::future::pending().await;
    };
    let is_renewal = request.path == "/hold" && response.status == StatusCode::OK;
    if !is_renewal {
        return response;
    }
    let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
    wait_for_ended_runs(&state, index, wait).await
}

async fn wait_for_ended_runs(state: &SharedSite, index: usize, wait: Duration) -> HttpResponse {
    let (wait_start, incarnation) = {
        let state = lock(state);
        (state.start.elapsed(), state.workers[index].incarnation)
    };
    loop {
        if lock(state).workers[index].incarnation != incarnation {
            // The worker crashed meanwhile.
            return std::future::pending().await;
        }
        {
            let mut state = lock(state);
            let now = state.start.elapsed();
            let has_odd_entries = state.faults.lists_odd_entries;
            let SiteState { workers, log, .. } = &mut *state;
            let worker = &mut workers[index];
            worker.advance(now, log);
            if !worker.unacknowledged_ends.is_empty() || now.saturating_sub(wait_start) >= wait {
                return json_response(200, &worker.status_report(now, has_odd_entries));
            }
        }
        time::sleep(RENEWAL_POLL_PERIOD).await;
    }
}

/// Executes an order; `None` when the worker is down.
fn execute_order(
    state: &mut SiteState,
    index: usize,
    request: &HttpRequest,
    body: &Value,
) -> Option<HttpResponse> {
    let now = state.start.elapsed();
    let should_fail = should_trigger(state.faults.run_failure_rate);
    let SiteState {
        workers,
        log,
        ticket_pools,
        ..
    } = state;
    let worker = &mut workers[index];
    if !worker.is_up(now) {
        return None;
    }
    worker.advance(now, log);
    if request.header("x-expected-instance") != Some(worker.id().as_str()) {
        return Some(json_response(421, &json!({})));
    }
    let token = body["fencing_token"].as_u64().unwrap_or(0);
    if token < worker.token {
        let clock_ms = worker.clock_ms(now);
        return Some(json_response(
            409,
            &json!({"clock_ms": clock_ms, "reason": "fence"}),
        ));
    }
    worker.token = token;
    let (status, reason) = match request.path.as_str() {
        "/run-start"
            if ticket_pools.contains(&worker.pool) && !worker.has_valid_ticket(body, now) =>
        {
            (409, "ticket")
        }
        "/run-start" => worker.start_run(body, now, should_fail, log),
        "/run-stop" => worker.stop_run(body, now, log),
        "/hold" => {
            worker.extend_lease(body["deadline_ms"].as_u64(), now);
            let cursor = body["ack_cursor"].as_u64().unwrap_or(0);
            worker.acknowledge(cursor, log);
            (200, "")
        }
        "/pace" => (200, ""),
        _ => (404, ""),
    };
    let clock_ms = worker.clock_ms(now);
    Some(json_response(
        status,
        &json!({"clock_ms": clock_ms, "reason": reason}),
    ))
}
