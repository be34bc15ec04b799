//! Requests about jobs while the owner of their cell stands still for a moment, and right after.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use http::HeaderValue;
use http::Method;
use nix::sys::signal::Signal;
use serde_json::Value;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tokio::net::TcpStream;
use tokio::time;

use crate::CELL;
use crate::POOL;
use crate::harness::JobSite;
use crate::harness::eventually;
use crate::harness::exchange;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::late_calls::counter;
use crate::small_site;

/// A site with completed jobs.
struct AskedSite {
    site: JobSite,
    /// Owner of the cell.
    owner: usize,
    /// Another node.
    entry: usize,
    jobs: Vec<String>,
}

impl AskedSite {
    async fn start(jobs: usize) -> Self {
        let site = small_site(2).await;
        let owner = site.owner(CELL).await.expect("owner");
        let entry = 1 - owner;
        let mut ids = Vec::new();
        for _ in 0..jobs {
            let id = new_job_id();
            assert!(
                site.submit(entry, POOL, &id, &job_of_steps(&[1], "ms=20"))
                    .await
            );
            ids.push(id);
        }
        for id in &ids {
            site.wait_for_state(POOL, id, "completed").await;
        }
        Self {
            site,
            owner,
            entry,
            jobs: ids,
        }
    }

    /// Stops the owner for some time.
    async fn freeze_owner(&self, length: Duration) {
        self.site.nodes[self.owner].signal(Signal::SIGSTOP);
        time::sleep(length).await;
        self.site.nodes[self.owner].signal(Signal::SIGCONT);
    }

    /// Asks the other node for a job, as a client that waits for 3 s.
    async fn ask(&self, id: &str) -> Option<HttpResponse> {
        self.ask_within(id, "3000").await
    }

    /// Asks the other node for a job, as a client that waits for a time in milliseconds.
    async fn ask_within(&self, id: &str, milliseconds: &'static str) -> Option<HttpResponse> {
        let address = self.site.nodes[self.entry].ports.client_address();
        let mut request = HttpRequest::new(Method::GET, format!("/{POOL}/{id}"), "");
        let deadline = HeaderValue::from_static(milliseconds);
        request.headers.insert("x-deadline-milliseconds", deadline);
        exchange(address, request).await
    }

    async fn dropped_calls(&self) -> u64 {
        counter(&self.site, self.owner, "tanager_calls_dropped_total").await
    }

    async fn assert_completed(&self, id: &str) {
        let response = self.ask(id).await;
        let text = describe(response.as_ref());
        assert!(text.contains("completed"), "job {id}: {text}");
    }
}

fn describe(response: Option<&HttpResponse>) -> String {
    response.map_or("no answer".to_owned(), |response| {
        let body = String::from_utf8_lossy(&response.body);
        format!("{} {body}", response.status)
    })
}

/// Guards against a GET that is answered 503 because the owner of the cell does not answer for a part
/// of the time for which the client waits.
#[tokio::test(flavor = "multi_thread")]
async fn status_is_returned_when_the_owner_resumes() {
    let asked = AskedSite::start(1).await;
    for milliseconds in [1_900, 2_400] {
        let freeze = asked.freeze_owner(Duration::from_millis(milliseconds));
        tokio::join!(freeze, asked.assert_completed(&asked.jobs[0]));
        // The next case begins in calm.
        time::sleep(Duration::from_secs(1)).await;
    }
}

/// Guards against concurrent GETs that are refused because each one that waits for a silent owner
/// lowers the number of calls to it.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_questions_wait_for_the_owner_to_resume() {
    let asked = AskedSite::start(40).await;
    let questions = join_all(asked.jobs.iter().map(|id| asked.assert_completed(id)));
    tokio::join!(asked.freeze_owner(Duration::from_millis(2_000)), questions);
    join_all(asked.jobs.iter().map(|id| asked.assert_completed(id))).await;
}

/// Guards against GETs that an owner refuses as too late although they were sent after it resumed.
#[tokio::test(flavor = "multi_thread")]
async fn questions_are_answered_right_after_a_standstill() {
    let asked = AskedSite::start(1).await;
    for _ in 0..3 {
        asked.freeze_owner(Duration::from_millis(2_000)).await;
        let resumed = Instant::now();
        while resumed.elapsed() < Duration::from_millis(300) {
            let response = asked.ask_within(&asked.jobs[0], "1000").await;
            let text = describe(response.as_ref());
            assert!(
                text.contains("completed"),
                "{:?}: {text}",
                resumed.elapsed()
            );
        }
    }
    assert_eq!(asked.dropped_calls().await, 0);
}

/// Guards against submissions that an owner refuses as too late although they were sent after it resumed.
#[tokio::test(flavor = "multi_thread")]
async fn submissions_are_accepted_right_after_a_standstill() {
    let asked = AskedSite::start(1).await;
    let body = job_of_steps(&[1], "ms=20").to_string();
    for _ in 0..3 {
        asked.freeze_owner(Duration::from_millis(2_000)).await;
        let resumed = Instant::now();
        while resumed.elapsed() < Duration::from_millis(300) {
            let path = format!("/{POOL}/{}", new_job_id());
            let response = (asked.site)
                .request(asked.entry, Method::POST, &path, &body)
                .await;
            let text = describe(response.as_ref());
            assert!(text.starts_with("200"), "{:?}: {text}", resumed.elapsed());
        }
    }
    assert_eq!(asked.dropped_calls().await, 0);
}

/// Guards against a count of waiting jobs that is answered 503 because the owner stands still for a part of
/// the time for which the client waits.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_jobs_are_counted_when_the_owner_resumes() {
    let asked = AskedSite::start(0).await;
    let count = async {
        let response = asked.ask("").await;
        let text = describe(response.as_ref());
        let body: Value = response
            .and_then(|response| serde_json::from_slice(&response.body).ok())
            .unwrap_or_default();
        assert_eq!(body["waiting"], 0, "{text}");
    };
    tokio::join!(asked.freeze_owner(Duration::from_millis(2_000)), count);
}

/// Guards against a DELETE that is answered 503 although the owner confirms it within the time for
/// which the client waits.
#[tokio::test(flavor = "multi_thread")]
async fn cancellation_is_confirmed_when_the_owner_resumes() {
    let asked = AskedSite::start(0).await;
    let id = new_job_id();
    let job = job_of_steps(&[1], "ms=60000");
    assert!(asked.site.submit(asked.entry, POOL, &id, &job).await);
    let cancel = async {
        let path = format!("/{POOL}/{id}");
        let response = (asked.site)
            .request(asked.entry, Method::DELETE, &path, "")
            .await;
        let text = describe(response.as_ref());
        assert!(text.starts_with("200"), "{text}");
    };
    tokio::join!(asked.freeze_owner(Duration::from_millis(2_000)), cancel);
}

/// Guards against a GET that gets no answer for as long as its client waits because the owner is away until
/// another node acquires the cell.
#[tokio::test(flavor = "multi_thread")]
async fn status_is_returned_while_the_owner_is_away() {
    let mut asked = AskedSite::start(1).await;
    let running = new_job_id();
    let job = job_of_steps(&[1], "ms=60000");
    assert!(asked.site.submit(asked.entry, POOL, &running, &job).await);
    let unknown = new_job_id();
    asked.site.nodes[asked.owner].kill();
    // Another node acquires the cell 2.6 s after the last heartbeat at the earliest.
    let (completed, open, missing) = tokio::join!(
        asked.ask_within(&asked.jobs[0], "1800"),
        asked.ask_within(&running, "1800"),
        asked.ask_within(&unknown, "1800")
    );
    let text = describe(completed.as_ref());
    assert!(text.contains("completed"), "{text}");
    let text = describe(open.as_ref());
    assert!(
        text.contains("running") || text.contains("queued"),
        "{text}"
    );
    // The rows do not show that a job does not exist: it may be about to be stored.
    let status = missing.map(|response| response.status.as_u16());
    assert_eq!(status, Some(503));
}

/// Guards against a GET that is refused because its node has just started and has not read the configuration,
/// the pools or the owners yet.
#[tokio::test(flavor = "multi_thread")]
async fn question_waits_for_the_first_reads_of_its_node() {
    let mut asked = AskedSite::start(1).await;
    asked.site.nodes[asked.entry].kill();
    (asked.site.standin).set_faults(|faults| faults.store_refuses = true);
    asked.site.nodes[asked.entry].restart();
    let address = asked.site.nodes[asked.entry].ports.client_address();
    eventually("the node accepts connections", async || {
        TcpStream::connect(address).await.is_ok()
    })
    .await;
    let end_outage = async {
        time::sleep(Duration::from_millis(700)).await;
        (asked.site.standin).set_faults(|faults| faults.store_refuses = false);
    };
    tokio::join!(end_outage, asked.assert_completed(&asked.jobs[0]));
}
