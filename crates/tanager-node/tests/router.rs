//! Guards the choice of the node that handles a request (R4, R5, R9).

mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tanager_node::peer::ForwardFailure;
use tanager_node::router::HomeTarget;
use tanager_node::router::RequestRouter;
use tanager_node::router::RouterHandlers;
use tanager_protocol::outcome::EndpointResponse;
use tanager_protocol::outcome::NotRunOutcome;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::outcome::UnknownOutcome;
use tanager_protocol::peer::ForwardRequest;

use common::request;

/// How a node treats the request.
#[derive(Clone, Copy, Debug)]
enum Step {
    Answer,
    NotRun,
    NotSent,
    Lost,
    Hang,
    SlowNotSent,
}

type Calls = Arc<Mutex<Vec<(usize, ForwardRequest)>>>;

fn outcome(step: Step) -> RequestOutcome {
    match step {
        Step::NotRun => RequestOutcome::NotRun(NotRunOutcome {
            reason: NotRunReason::QueueFull,
            message: String::new(),
            retry_after: None,
        }),
        _ => RequestOutcome::Answered(EndpointResponse::default()),
    }
}

/// Router with the homes from `first` on. Home 0 is local, the others are remote and have their
/// number as port. Home 1 issued all tickets of node `n1`.
fn router(steps: &'static [Step], first: usize) -> (RequestRouter, Calls) {
    let calls = Calls::default();
    let (local_calls, remote_calls) = (Arc::clone(&calls), Arc::clone(&calls));
    let remote = |number: usize| HomeTarget::Remote {
        node: format!("n{number}"),
        address: ([127, 0, 0, 1], number as u16).into(),
    };
    let handlers = RouterHandlers {
        homes: Arc::new(move |_| {
            let homes = (first..steps.len()).map(|number| match number {
                0 => HomeTarget::Local,
                number => remote(number),
            });
            homes.collect()
        }),
        issuer: Arc::new(move |key| (key.node == "n1").then(|| remote(1))),
        local: Arc::new(move |request| {
            local_calls.lock().unwrap().push((0, request));
            Box::pin(async move {
                match steps[0] {
                    Step::Hang => std::future::pending().await,
                    step => outcome(step),
                }
            })
        }),
        remote: Arc::new(move |address, request, _| {
            let number = usize::from(address.port());
            remote_calls.lock().unwrap().push((number, request));
            Box::pin(async move {
                match steps[number] {
                    Step::NotSent => Err(ForwardFailure::NotSent("refused".to_owned())),
                    Step::Lost => Err(ForwardFailure::Unknown("lost".to_owned())),
                    Step::Hang => std::future::pending().await,
                    Step::SlowNotSent => {
                        tokio::time::sleep(Duration::from_millis(60)).await;
                        Err(ForwardFailure::NotSent("late".to_owned()))
                    }
                    step => Ok(outcome(step)),
                }
            })
        }),
    };
    (RequestRouter::new(handlers), calls)
}

/// Names the kind, the reason and whether a time to retry after is given.
fn describe(outcome: &RequestOutcome) -> String {
    match outcome {
        RequestOutcome::Answered(_) => "answered".to_owned(),
        RequestOutcome::NotRun(NotRunOutcome {
            reason,
            retry_after,
            ..
        }) => {
            format!("not-run {} {}", reason.as_str(), retry_after.is_some())
        }
        RequestOutcome::Unknown(UnknownOutcome {
            reason,
            retry_after,
            ..
        }) => {
            format!("unknown {} {}", reason.as_str(), retry_after.is_some())
        }
    }
}

macro_rules! route_cases {
    (from $first:literal; $($(#[doc = $guard:literal])+ $case:ident: $method:literal $key:literal $timeout:literal ms, $steps:expr
        => $outcome:literal, homes $homes:expr;)*) => {
        async_cases! {
            $($(#[doc = $guard])+
            $case => {
                let (router, calls) = router(&$steps, $first);
                let mut request = request($method, $key);
                request.timeout_ms = $timeout;
                assert_eq!(describe(&router.route(request).await), $outcome);
                let homes: Vec<usize> = calls.lock().unwrap().iter().map(|(home, _)| *home).collect();
                let expected: &[usize] = &$homes;
                assert_eq!(homes, expected);
            })*
        }
    };
}

use Step::Answer;
use Step::Hang;
use Step::Lost;
use Step::NotRun;
use Step::NotSent;
use Step::SlowNotSent;

route_cases! {
    from 0;

    /// Guards against a forward of a request whose home is this node.
    local_home: "POST" "" 60000 ms, [Answer, Answer] => "answered", homes [0];
    /// Guards against a second home after the first decided.
    not_run_is_final: "GET" "" 60000 ms, [NotRun, Answer] => "not-run queue_full false", homes [0];
    /// Guards against a request that waits for a node without homes.
    no_home: "GET" "" 60000 ms, [] => "not-run not_ready true", homes [];
    /// Guards against a local home that never decides.
    local_home_hangs: "POST" "" 20 ms, [Hang] => "unknown timeout false", homes [0];
}

route_cases! {
    from 1;

    /// Guards against a failure although the request was not sent and another home is live.
    not_sent_goes_on: "POST" "" 60000 ms, [Answer, NotSent, NotSent, Answer] => "answered", homes [1, 2, 3];
    /// Guards against "unknown" for a request that was never sent.
    all_unreachable: "POST" "" 60000 ms, [Answer, NotSent, NotSent] => "not-run not_ready true", homes [1, 2];
    /// Guards against a second run of a request without a key (R5).
    lost_is_final: "POST" "" 60000 ms, [Answer, Lost, Answer] => "unknown home_lost false", homes [1];
    /// Guards against a second run of a keyed request; its caller may retry.
    lost_with_key: "POST" "k1" 60000 ms, [Answer, Lost, Answer] => "unknown home_lost true", homes [1];
    /// Guards against a failure of an idempotent request that another home can run.
    idempotent_goes_on: "PUT" "" 60000 ms, [Answer, Lost, Answer] => "answered", homes [1, 2];
    /// Guards against a request that travels through all homes and stalls each.
    idempotent_goes_on_once: "GET" "" 60000 ms, [Answer, Lost, Lost, Answer]
        => "unknown home_lost true", homes [1, 2];
    /// Guards against "not run" for a request that the first home may have run (R4).
    lost_then_not_run: "GET" "" 60000 ms, [Answer, Lost, NotRun] => "unknown home_lost true", homes [1, 2];
    /// Guards against "not run" when no further home is reachable after one was lost (R4).
    lost_then_not_sent: "GET" "" 60000 ms, [Answer, Lost, NotSent] => "unknown home_lost true", homes [1, 2];
    /// Guards against attempts after the deadline.
    deadline_before_sending: "POST" "" 20 ms, [Answer, SlowNotSent, Answer]
        => "not-run queue_timeout true", homes [1];
    /// Guards against a frozen home that holds a request beyond its deadline.
    frozen_home: "GET" "" 20 ms, [Answer, Hang, Answer] => "unknown timeout true", homes [1];
    /// Guards against a ticketed request on another node than its issuer.
    ticket_goes_to_issuer: "POST" "ticket-n1-5-9" 60000 ms, [Answer, Answer, Answer] => "answered", homes [1];
    /// Guards against "not run" for a ticket that may have run at an unreachable issuer.
    ticket_of_unreachable_issuer: "POST" "ticket-n1-5-9" 60000 ms, [Answer, NotSent, Answer]
        => "unknown key_history true", homes [1];
    /// Guards against a run of a ticket whose issuer is gone.
    ticket_of_gone_issuer: "POST" "ticket-n2-5-9" 60000 ms, [Answer, Answer] => "unknown key_history true", homes [];
    /// Guards against idempotent requests that depend on one node.
    idempotent_ticket: "PUT" "ticket-n2-5-9" 60000 ms, [Answer, Answer] => "answered", homes [1];
}
