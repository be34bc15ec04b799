//! Tests of how a node is chosen to handle a request (R4, R5, R9).

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

/// How a home reacts to the request.
#[derive(Clone, Copy, Debug)]
enum HomeBehaviour {
    Respond,
    NotRun,
    NotSent,
    LoseConnection,
    Hang,
    SlowNotSent,
}

type Calls = Arc<Mutex<Vec<(usize, ForwardRequest)>>>;

fn outcome(behaviour: HomeBehaviour) -> RequestOutcome {
    match behaviour {
        HomeBehaviour::NotRun => RequestOutcome::NotRun(NotRunOutcome {
            reason: NotRunReason::QueueFull,
            message: String::new(),
            retry_after: None,
        }),
        _ => RequestOutcome::Answered(EndpointResponse::default()),
    }
}

/// Returns a router over the homes from number `first` on, and the list of calls to them. Home 0 is
/// local; the others are remote and have their number as port. Home 1 issued all tickets of node
/// `n1`.
fn router(behaviours: &'static [HomeBehaviour], first: usize) -> (RequestRouter, Calls) {
    let calls = Calls::default();
    let (local_calls, remote_calls) = (Arc::clone(&calls), Arc::clone(&calls));
    let remote = |number: usize| HomeTarget::Remote {
        node: format!("n{number}"),
        address: ([127, 0, 0, 1], number as u16).into(),
    };
    let handlers = RouterHandlers {
        homes: Arc::new(move |_| {
            let homes = (first..behaviours.len()).map(|number| match number {
                0 => HomeTarget::Local,
                number => remote(number),
            });
            homes.collect()
        }),
        issuer: Arc::new(move |key| (key.node == "n1").then(|| remote(1))),
        local: Arc::new(move |request| {
            local_calls.lock().unwrap().push((0, request));
            Box::pin(async move {
                match behaviours[0] {
                    HomeBehaviour::Hang => std::future::pending().await,
                    behaviour => outcome(behaviour),
                }
            })
        }),
        remote: Arc::new(move |address, request, _| {
            let number = usize::from(address.port());
            remote_calls.lock().unwrap().push((number, request));
            Box::pin(async move {
                match behaviours[number] {
                    HomeBehaviour::NotSent => Err(ForwardFailure::NotSent("refused".to_owned())),
                    HomeBehaviour::LoseConnection => {
                        Err(ForwardFailure::Unknown("lost".to_owned()))
                    }
                    HomeBehaviour::Hang => std::future::pending().await,
                    HomeBehaviour::SlowNotSent => {
                        tokio::time::sleep(Duration::from_millis(60)).await;
                        Err(ForwardFailure::NotSent("late".to_owned()))
                    }
                    behaviour => Ok(outcome(behaviour)),
                }
            })
        }),
    };
    (RequestRouter::new(handlers), calls)
}

/// Formats the kind and the reason of an outcome, and whether it has a retry time.
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
    (from $first:literal; $($(#[doc = $guard:literal])+ $case:ident:
        $method:literal $key:literal $timeout:literal ms, $behaviours:expr
        => $outcome:literal, homes $homes:expr;)*) => {
        async_cases! {
            $($(#[doc = $guard])+
            $case => {
                let (router, calls) = router(&$behaviours, $first);
                let mut request = request($method, $key);
                request.timeout_ms = $timeout;
                assert_eq!(describe(&router.route(request).await), $outcome);
                let homes: Vec<usize> =
                    calls.lock().unwrap().iter().map(|(home, _)| *home).collect();
                let expected: &[usize] = &$homes;
                assert_eq!(homes, expected);
            })*
        }
    };
}

use HomeBehaviour::Hang;
use HomeBehaviour::LoseConnection;
use HomeBehaviour::NotRun;
use HomeBehaviour::NotSent;
use HomeBehaviour::Respond;
use HomeBehaviour::SlowNotSent;

route_cases! {
    from 0;

    /// Guards against forwarding a request whose home is this node.
    local_home_handles_the_request: "POST" "" 60000 ms, [Respond, Respond] => "answered", homes [0];
    /// Guards against trying a second home after the first refused the request.
    not_run_is_final: "GET" "" 60000 ms, [NotRun, Respond] => "not-run queue_full false", homes [0];
    /// Guards against a request that waits although no home is known.
    no_home_is_not_ready: "GET" "" 60000 ms, [] => "not-run not_ready true", homes [];
    /// Guards against waiting for a local home beyond the deadline.
    local_home_hangs: "POST" "" 20 ms, [Hang] => "unknown timeout false", homes [0];
}

route_cases! {
    from 1;

    /// Guards against a failure although the request was not sent and another home is reachable.
    not_sent_fails_over: "POST" "" 60000 ms, [Respond, NotSent, NotSent, Respond]
        => "answered", homes [1, 2, 3];
    /// Guards against "unknown" for a request that was never sent.
    all_unreachable: "POST" "" 60000 ms, [Respond, NotSent, NotSent]
        => "not-run not_ready true", homes [1, 2];
    /// Guards against a second run of a request without a key (R5).
    lost_is_final: "POST" "" 60000 ms, [Respond, LoseConnection, Respond]
        => "unknown home_lost false", homes [1];
    /// Guards against a second run of a request with a key; its caller may retry.
    lost_with_key: "POST" "k1" 60000 ms, [Respond, LoseConnection, Respond]
        => "unknown home_lost true", homes [1];
    /// Guards against a failure of an idempotent request that another home can run.
    idempotent_request_fails_over: "PUT" "" 60000 ms, [Respond, LoseConnection, Respond]
        => "answered", homes [1, 2];
    /// Guards against a request that is tried at all homes and makes each of them fail.
    idempotent_request_fails_over_once: "GET" "" 60000 ms,
        [Respond, LoseConnection, LoseConnection, Respond]
        => "unknown home_lost true", homes [1, 2];
    /// Guards against "not run" for a request that the first home may have run (R4).
    lost_then_not_run: "GET" "" 60000 ms, [Respond, LoseConnection, NotRun]
        => "unknown home_lost true", homes [1, 2];
    /// Guards against "not run" when no further home is reachable after one was lost (R4).
    lost_then_not_sent: "GET" "" 60000 ms, [Respond, LoseConnection, NotSent]
        => "unknown home_lost true", homes [1, 2];
    /// Guards against trying another home after the deadline.
    no_failover_after_the_deadline: "POST" "" 20 ms, [Respond, SlowNotSent, Respond]
        => "not-run queue_timeout true", homes [1];
    /// Guards against an unresponsive home that delays a request beyond its deadline.
    unresponsive_home: "GET" "" 20 ms, [Respond, Hang, Respond]
        => "unknown timeout true", homes [1];
    /// Guards against running a request with a ticket on another node than the issuer.
    ticket_goes_to_issuer: "POST" "ticket-n1-5-9" 60000 ms, [Respond, Respond, Respond]
        => "answered", homes [1];
    /// Guards against "not run" for a request that may have run at the unreachable issuer of its
    /// ticket.
    ticket_of_unreachable_issuer: "POST" "ticket-n1-5-9" 60000 ms, [Respond, NotSent, Respond]
        => "unknown key_history true", homes [1];
    /// Guards against running a request whose ticket was issued by a removed node.
    ticket_of_removed_issuer: "POST" "ticket-n2-5-9" 60000 ms, [Respond, Respond]
        => "unknown key_history true", homes [];
    /// Guards against idempotent requests that can run only on the issuer of their ticket.
    idempotent_request_ignores_its_ticket: "PUT" "ticket-n2-5-9" 60000 ms, [Respond, Respond]
        => "answered", homes [1];
}
