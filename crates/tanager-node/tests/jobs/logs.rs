//! A node whose log is not read.

use std::io::BufRead;
use std::io::BufReader;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use tokio::task::JoinSet;

use crate::POOL;
use crate::harness::JobSite;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;
use crate::harness::send_request;

/// Requests for unknown jobs, each of which logs a line: far more than the pipe (64 KiB) and the
/// queue of lines (2,048) can store.
const REQUESTS: usize = 6_000;
/// Requests sent at the same time.
const CONCURRENT_REQUESTS: usize = 30;
/// Longest response time without a reader of the log; with one, a response takes about 20 ms.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(2);

/// Guards against requests that wait for a reader of the log, and against log lines that are
/// dropped without being counted.
#[tokio::test(flavor = "multi_thread")]
async fn unread_log_does_not_delay_requests() {
    let pools = [pool(POOL, 4)];
    let mut site = JobSite::start(1, &pools).await;
    let pipe = site.nodes[0].restart_piped();
    site.wait_until_owned(&pools).await;
    let address = site.nodes[0].ports.client_address();
    let mut sent_requests = 0;
    while sent_requests < REQUESTS {
        let mut batch = JoinSet::new();
        for _ in 0..CONCURRENT_REQUESTS {
            sent_requests += 1;
            let path = format!("/{POOL}/{}", new_job_id());
            batch.spawn(async move {
                let sent_at = Instant::now();
                let response = send_request(address, Method::GET, &path, "").await;
                (
                    response.expect("a response").status.as_u16(),
                    sent_at.elapsed(),
                )
            });
        }
        for (status, elapsed) in batch.join_all().await {
            assert_eq!(status, 410);
            assert!(
                elapsed < MAX_RESPONSE_TIME,
                "{elapsed:?} after {sent_requests} requests"
            );
        }
    }
    let id = new_job_id();
    assert!(
        site.submit(0, POOL, &id, &job_of_steps(&[2], "ms=50"))
            .await
    );
    site.wait_for_state(POOL, &id, "completed").await;
    // The next line that fits into the queue has the number of lines dropped before it.
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let lines = BufReader::new(pipe).lines().map_while(Result::ok);
        let drop_reports = lines.filter(|line| line.contains(" dropped_lines="));
        for line in drop_reports {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    let end = Instant::now() + Duration::from_secs(20);
    let line = loop {
        assert!(Instant::now() < end, "no line reports dropped lines");
        site.job_state(0, POOL, &new_job_id()).await;
        match receiver.recv_timeout(Duration::from_millis(300)) {
            Ok(line) => break line,
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(mpsc::RecvTimeoutError::Disconnected) => panic!("the log ended"),
        }
    };
    let count = line.rsplit_once("dropped_lines=").map(|(_, count)| count);
    let count: u64 = count.and_then(|text| text.parse().ok()).expect("a number");
    assert!(count > 0, "{line}");
}
