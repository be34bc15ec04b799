//! Workers of the stand-in. The specification of a job tells how long its tasks run and whether
//! they fail: `ms=300`, `ms=300 fail`, or `lasts`.

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
use super::answer;
use super::body_of;
use super::faults::happens;
use super::lock;

/// Longest lease that a worker grants.
const MAX_LEASE_MS: u64 = 6_000;
/// Duration of a task whose specification does not tell one.
const DEFAULT_TASK: Duration = Duration::from_millis(200);
/// Cores and memory of a worker.
const CORES: u64 = 16_000;
const MEMORY_MB: u64 = 65_536;
/// Period of looks for ends while a hold waits.
const HOLD_PERIOD: Duration = Duration::from_millis(5);

/// A run as a worker saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedRun {
    /// Task, as the owner named it.
    pub task: String,
    /// Run.
    pub run: u64,
    /// Worker.
    pub worker: usize,
    /// Start, since the start of the stand-in.
    pub started_at: Duration,
    /// End and how it ended; `None` while it runs. A lost worker's runs end as `lost`.
    pub ended: Option<(Duration, &'static str)>,
    /// Whether the end was acknowledged by an owner.
    pub acknowledged: bool,
}

/// All runs.
#[derive(Debug, Default)]
pub struct RunLog {
    /// Runs in the order of their starts.
    pub runs: Vec<ObservedRun>,
}

#[derive(Debug)]
struct RunState {
    run: u64,
    started_at: Duration,
    /// `None` for a task that lasts.
    work: Option<Duration>,
    fails: bool,
    cpu: u64,
}

/// One worker, through all its lives.
#[derive(Debug)]
pub struct SiteWorker {
    index: usize,
    /// VM.
    pub vm: String,
    /// Pool.
    pub pool: String,
    /// State as the machine API lists it.
    pub state: &'static str,
    rack: String,
    address: SocketAddr,
    life: u32,
    born_ms: u64,
    /// Up from this time on; `None` while off.
    up_from: Option<Duration>,
    life_start: Duration,
    /// Last entry in the store.
    pub last_beat: Duration,
    sequence: u64,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, RunState>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    barred: BTreeMap<String, u64>,
}

impl SiteWorker {
    pub(crate) fn new(
        index: usize,
        pool: &str,
        number: usize,
        address: SocketAddr,
        is_off: bool,
    ) -> Self {
        Self {
            index,
            vm: format!("m-{index:03}"),
            pool: pool.to_owned(),
            state: if is_off { "down" } else { "up" },
            rack: format!("r-{pool}-{}", number / 4),
            address,
            life: 0,
            born_ms: 1,
            up_from: (!is_off).then_some(Duration::ZERO),
            life_start: Duration::ZERO,
            last_beat: Duration::ZERO,
            sequence: 0,
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            barred: BTreeMap::new(),
        }
    }

    /// Id of this life.
    pub fn id(&self) -> String {
        format!("i-{}-{}", self.index, self.life)
    }

    pub(crate) fn is_up(&self, now: Duration) -> bool {
        self.up_from.is_some_and(|from| now >= from)
    }

    fn clock_ms(&self, now: Duration) -> u64 {
        now.saturating_sub(self.life_start).as_millis() as u64
    }

    pub(crate) fn beat(&mut self, table: &mut SiteTable, now: Duration) {
        self.state = "up";
        self.last_beat = now;
        self.sequence += 1;
        let entry = json!({
            "service": self.pool, "address": self.address.to_string(), "zone": "zone-1",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": CORES, "memory_request_mb": MEMORY_MB, "gpu": 0},
            "labels": ["a", self.rack], "clock_ms": self.clock_ms(now),
            "sequence": self.sequence, "born": self.born_ms,
        });
        table.put("servers", "", &self.id(), entry.to_string().as_bytes());
    }

    pub(crate) fn lapse(&self, table: &mut SiteTable) {
        table.remove("servers", "", &self.id());
    }

    /// Ends this life; the next one, with another id, begins at `back`.
    pub(crate) fn crash(&mut self, now: Duration, back: Duration, log: &mut RunLog) {
        self.advance(now, log);
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            self.end(&task, "lost", now, log);
        }
        self.life += 1;
        self.born_ms += 1_000;
        self.up_from = Some(back);
        self.life_start = back;
        self.token = 0;
        self.lease_until_ms = 0;
        self.ended.clear();
        self.next_end = 1;
        self.barred.clear();
    }

    pub(crate) fn advance(&mut self, now: Duration, log: &mut RunLog) {
        let clock_ms = self.clock_ms(now);
        let ends: Vec<(String, &'static str)> = (self.running.iter())
            .filter_map(|(task, run)| {
                let end = run.started_at + run.work?;
                (now >= end).then(|| (task.clone(), if run.fails { "failed" } else { "done" }))
            })
            .collect();
        for (task, cause) in ends {
            self.end(&task, cause, now, log);
        }
        if clock_ms > self.lease_until_ms {
            let lapsed: Vec<String> = self.running.keys().cloned().collect();
            for task in lapsed {
                self.end(&task, "lapsed", now, log);
            }
        }
    }

    fn end(&mut self, task: &str, cause: &'static str, now: Duration, log: &mut RunLog) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.barred.insert(task.to_owned(), run.run);
        self.ended
            .push((self.next_end, task.to_owned(), run.run, cause));
        self.next_end += 1;
        let seen = (log.runs.iter_mut().rev())
            .find(|seen| seen.task == task && seen.run == run.run && seen.worker == self.index);
        if let Some(seen) = seen {
            seen.ended = Some((now, cause));
        }
    }

    /// Forgets ends up to `cursor`.
    fn acknowledge(&mut self, cursor: u64, log: &mut RunLog) {
        for (_, task, run, _) in self.ended.iter().filter(|end| end.0 <= cursor) {
            let seen = (log.runs.iter_mut().rev())
                .find(|seen| seen.task == *task && seen.run == *run && seen.worker == self.index);
            if let Some(seen) = seen {
                seen.acknowledged = true;
            }
        }
        self.ended.retain(|(number, _, _, _)| *number > cursor);
    }

    fn extend(&mut self, until_ms: Option<u64>, now: Duration) {
        let most = self.clock_ms(now) + MAX_LEASE_MS;
        if let Some(until_ms) = until_ms {
            self.lease_until_ms = self.lease_until_ms.max(until_ms.min(most));
        }
    }

    fn has_ticket(&self, body: &Value, now: Duration) -> bool {
        let ticket = body["ticket"].as_str().unwrap_or_default();
        let task = body["task"].as_str().unwrap_or_default();
        advice::admits(ticket, &self.id(), task, now)
    }

    fn start(
        &mut self,
        body: &Value,
        now: Duration,
        fails: bool,
        log: &mut RunLog,
    ) -> (u16, &'static str) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let until_ms = body["deadline_ms"].as_u64();
        if until_ms.unwrap_or(0) <= self.clock_ms(now) {
            return (409, "late");
        }
        self.extend(until_ms, now);
        if self
            .running
            .get(&task)
            .is_some_and(|held| held.run == number)
        {
            return (200, "");
        }
        let barred = self.barred.get(&task).copied().unwrap_or(0);
        if number <= barred || self.running.contains_key(&task) {
            return (409, "old");
        }
        let text = body["specification"].as_str().unwrap_or_default();
        let cpu = 1_000;
        let used: u64 = self.running.values().map(|run| run.cpu).sum();
        if used + cpu > CORES {
            return (409, "room");
        }
        let work = (text.split_whitespace())
            .find_map(|word| word.strip_prefix("ms="))
            .and_then(|ms| ms.parse().ok())
            .map_or(DEFAULT_TASK, Duration::from_millis);
        let state = RunState {
            run: number,
            started_at: now,
            work: (!text.contains("lasts")).then_some(work),
            fails: fails || text.contains("fail"),
            cpu,
        };
        self.running.insert(task.clone(), state);
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

    fn stop(&mut self, body: &Value, now: Duration, log: &mut RunLog) -> (u16, &'static str) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let barred = self.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(number);
        if self
            .running
            .get(&task)
            .is_some_and(|held| held.run <= number)
        {
            self.end(&task, "stopped", now, log);
        }
        (200, "")
    }

    fn report(&self, now: Duration) -> Value {
        let running: Vec<Value> = (self.running.iter())
            .map(|(task, run)| {
                let percent = match run.work {
                    None => 100,
                    Some(work) => {
                        let passed = now.saturating_sub(run.started_at).as_secs_f64();
                        (passed / work.as_secs_f64().max(0.001) * 100.0).min(99.0) as u32
                    }
                };
                json!([task, run.run, "", percent, run.cpu])
            })
            .collect();
        let ended: Vec<Value> = (self.ended.iter())
            .map(|(number, task, run, cause)| json!([number, task, run, cause, ""]))
            .collect();
        json!({"clock_ms": self.clock_ms(now), "born": self.born_ms,
               "running": running, "ended": ended})
    }
}

/// Serves a call to a worker.
pub(crate) async fn handle(state: SharedSite, index: usize, request: HttpRequest) -> HttpResponse {
    let body = body_of(&request);
    let (response, is_lost) = {
        let mut state = lock(&state);
        let is_lost = request.path != "/hold" && happens(state.faults.order_response_loss_rate);
        (serve(&mut state, index, &request, &body), is_lost)
    };
    let Some(response) = response.filter(|_| !is_lost) else {
        return std::future::pending().await;
    };
    let is_hold = request.path == "/hold" && response.status == StatusCode::OK;
    if !is_hold {
        return response;
    }
    let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
    wait_for_end(&state, index, wait).await
}

async fn wait_for_end(state: &SharedSite, index: usize, wait: Duration) -> HttpResponse {
    let begin = lock(state).start.elapsed();
    loop {
        {
            let mut state = lock(state);
            let now = state.start.elapsed();
            let SiteState { workers, log, .. } = &mut *state;
            let worker = &mut workers[index];
            worker.advance(now, log);
            if !worker.ended.is_empty() || now.saturating_sub(begin) >= wait {
                return answer(200, &worker.report(now));
            }
        }
        time::sleep(HOLD_PERIOD).await;
    }
}

/// Carries out an order; `None` when the worker is down.
fn serve(
    state: &mut SiteState,
    index: usize,
    request: &HttpRequest,
    body: &Value,
) -> Option<HttpResponse> {
    let now = state.start.elapsed();
    let fails = happens(state.faults.run_failure_rate);
    let SiteState {
        workers,
        log,
        requires_ticket,
        ..
    } = state;
    let worker = &mut workers[index];
    if !worker.is_up(now) {
        return None;
    }
    worker.advance(now, log);
    if request.header("x-expected-instance") != Some(worker.id().as_str()) {
        return Some(answer(421, &json!({})));
    }
    let token = body["fencing_token"].as_u64().unwrap_or(0);
    if token < worker.token {
        let clock_ms = worker.clock_ms(now);
        return Some(answer(
            409,
            &json!({"clock_ms": clock_ms, "reason": "fence"}),
        ));
    }
    worker.token = token;
    let (status, reason) = match request.path.as_str() {
        "/run-start" if requires_ticket.contains(&worker.pool) && !worker.has_ticket(body, now) => {
            (409, "ticket")
        }
        "/run-start" => worker.start(body, now, fails, log),
        "/run-stop" => worker.stop(body, now, log),
        "/hold" => {
            worker.extend(body["deadline_ms"].as_u64(), now);
            let cursor = body["ack_cursor"].as_u64().unwrap_or(0);
            worker.acknowledge(cursor, log);
            (200, "")
        }
        "/pace" => (200, ""),
        _ => (404, ""),
    };
    let clock_ms = worker.clock_ms(now);
    Some(answer(
        status,
        &json!({"clock_ms": clock_ms, "reason": reason}),
    ))
}
