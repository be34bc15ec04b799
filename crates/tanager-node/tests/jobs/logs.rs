//! Logs whose reader stops reading.

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
use crate::harness::new_id;
use crate::harness::pool;
use crate::harness::send;
use crate::harness::steps;

/// Questions about unknown jobs; each gives a line. They exceed the pipe (64 KiB) and the queue of
/// lines (2,048) by far.
const QUESTIONS: usize = 6_000;
/// Questions at the same time.
const PARALLEL: usize = 30;
/// Without a reader an answer takes no longer than this; with one it takes some 20 ms.
const SLOWEST: Duration = Duration::from_secs(2);

/// Guards against decisions that wait for a reader of the log, and against lines that are dropped
/// without a word.
#[tokio::test(flavor = "multi_thread")]
async fn node_serves_while_nobody_reads_its_log() {
    let pools = [pool(POOL, 4)];
    let mut site = JobSite::start(1, &pools).await;
    let pipe = site.nodes[0].restart_piped();
    site.wait_until_owned(&pools).await;
    let address = site.nodes[0].ports.client_address();
    let mut asked = 0;
    while asked < QUESTIONS {
        let mut batch = JoinSet::new();
        for _ in 0..PARALLEL {
            asked += 1;
            let path = format!("/{POOL}/{}", new_id());
            batch.spawn(async move {
                let begin = Instant::now();
                let response = send(address, Method::GET, &path, "").await;
                (
                    response.expect("an answer").status.as_u16(),
                    begin.elapsed(),
                )
            });
        }
        for (status, took) in batch.join_all().await {
            assert_eq!(status, 410);
            assert!(took < SLOWEST, "{took:?} after {asked} questions");
        }
    }
    let id = new_id();
    assert!(site.submit(0, POOL, &id, &steps(&[2], "ms=50")).await);
    site.wait_for(POOL, &id, "completed").await;
    // The lines that did not fit are counted in the next one that does.
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let lines = BufReader::new(pipe).lines().map_while(Result::ok);
        let counted = lines.filter(|line| line.contains(" dropped_lines="));
        for line in counted {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    let end = Instant::now() + Duration::from_secs(20);
    let line = loop {
        assert!(Instant::now() < end, "no line tells of dropped ones");
        site.state(0, POOL, &new_id()).await;
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
