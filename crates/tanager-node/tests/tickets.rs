//! Tests of tickets: idempotency keys whose requests only the issuing process runs.

use tanager_node::claims::fingerprint::RequestFingerprint;
use tanager_node::tickets::TicketEnd;
use tanager_node::tickets::TicketKey;
use tanager_node::tickets::TicketLimits;
use tanager_node::tickets::TicketStart;
use tanager_node::tickets::TicketTable;
use tanager_protocol::outcome::EndpointResponse;
use tanager_protocol::peer::ForwardRequest;

macro_rules! parse_cases {
    ($($case:ident: $key:expr => $node:expr;)*) => {
        $(#[test]
        fn $case() {
            let node: Option<&str> = $node;
            let parsed = TicketKey::parse($key);
            assert_eq!(parsed.as_ref().map(|key| key.node.as_str()), node);
            if let Some(parsed) = parsed {
                assert_eq!(parsed.format(), $key);
            }
        })*
    };
}

// Guards against two spellings of one ticket, and against ordinary keys that are parsed as tickets.
parse_cases! {
    plain: "ticket-n1-5-9" => Some("n1");
    node_with_dashes: "ticket-entry-3-zone-a-18446744073709551615-0" => Some("entry-3-zone-a");
    leading_zero: "ticket-n1-5-09" => None;
    plus_sign: "ticket-n1-+5-9" => None;
    no_node: "ticket-5-9" => None;
    empty_node: "ticket--5-9" => None;
    bad_node: "ticket-N1-5-9" => None;
    overflow: "ticket-n1-18446744073709551616-0" => None;
    other_prefix: "Ticket-n1-5-9" => None;
    ordinary_key: "ticket-for-tuesday" => None;
}

fn table(max_tickets: usize, max_bytes: usize) -> TicketTable {
    let limits = TicketLimits {
        max_tickets,
        max_bytes,
    };
    TicketTable::new("n1".to_owned(), 5, limits)
}

fn issue(table: &TicketTable) -> TicketKey {
    TicketKey::parse(&table.issue()).unwrap()
}

fn fingerprint(team: &str) -> RequestFingerprint {
    RequestFingerprint::new(&ForwardRequest {
        team: team.to_owned(),
        ..ForwardRequest::default()
    })
}

fn response(size: usize) -> EndpointResponse {
    EndpointResponse {
        status: 200,
        headers: Vec::new(),
        body: vec![7; size],
    }
}

/// Guards against a second run of a request with one ticket.
#[test]
fn ticket_starts_once() {
    let table = table(10, 1_000);
    let key = issue(&table);
    assert_eq!(
        table.begin(&key, "intake", &fingerprint("first")),
        TicketStart::Started
    );
    assert_eq!(
        table.begin(&key, "intake", &fingerprint("first")),
        TicketStart::InProgress
    );
    table.finish(&key, TicketEnd::Answered(response(3)));
    assert_eq!(
        table.begin(&key, "intake", &fingerprint("first")),
        TicketStart::Finished(response(3))
    );
    // A late report must not make the ticket usable again.
    table.finish(&key, TicketEnd::NotSent);
    assert_eq!(
        table.begin(&key, "intake", &fingerprint("first")),
        TicketStart::Finished(response(3))
    );
}

/// Guards against a ticket that stays used although its request was not sent.
#[test]
fn unsent_ticket_can_start_again() {
    let table = table(10, 1_000);
    let key = issue(&table);
    assert_eq!(
        table.begin(&key, "intake", &fingerprint("first")),
        TicketStart::Started
    );
    table.finish(&key, TicketEnd::NotSent);
    assert_eq!(
        table.begin(&key, "intake", &fingerprint("first")),
        TicketStart::Started
    );
    table.finish(&key, TicketEnd::Unknown);
    assert_eq!(
        table.begin(&key, "intake", &fingerprint("first")),
        TicketStart::Unknown
    );
}

/// Guards against running tickets that another process issued, or that no process issued.
#[test]
fn foreign_and_unissued_tickets_are_unknown() {
    let table = table(10, 1_000);
    let key = issue(&table);
    let other = TicketKey {
        incarnation: 6,
        ..key.clone()
    };
    let unissued = TicketKey {
        number: 1,
        ..key.clone()
    };
    assert_eq!(
        table.begin(&other, "intake", &fingerprint("first")),
        TicketStart::Unknown
    );
    assert_eq!(
        table.begin(&unissued, "intake", &fingerprint("first")),
        TicketStart::Unknown
    );
    assert_eq!(
        table.begin(&key, "intake", &fingerprint("first")),
        TicketStart::Started
    );
}

/// Guards against the response of one pool to a request for another pool (R3).
#[test]
fn ticket_belongs_to_one_pool() {
    let table = table(10, 1_000);
    let key = issue(&table);
    assert_eq!(
        table.begin(&key, "intake", &fingerprint("first")),
        TicketStart::Started
    );
    table.finish(&key, TicketEnd::Answered(response(3)));
    assert_eq!(
        table.begin(&key, "cases", &fingerprint("first")),
        TicketStart::Unknown
    );
}

/// Guards against returning the response or the state of a different request with the same ticket
/// (R3).
#[test]
fn ticket_belongs_to_one_request() {
    let table = table(10, 1_000);
    let key = issue(&table);
    let (first, other) = (fingerprint("first"), fingerprint("other"));
    assert_eq!(table.begin(&key, "intake", &first), TicketStart::Started);
    assert_eq!(table.begin(&key, "intake", &other), TicketStart::KeyReused);
    table.finish(&key, TicketEnd::Answered(response(3)));
    assert_eq!(table.begin(&key, "intake", &other), TicketStart::KeyReused);
    let finished = TicketStart::Finished(response(3));
    assert_eq!(table.begin(&key, "intake", &first), finished);
    let unsent = issue(&table);
    assert_eq!(table.begin(&unsent, "intake", &first), TicketStart::Started);
    table.finish(&unsent, TicketEnd::NotSent);
    assert_eq!(table.begin(&unsent, "intake", &other), TicketStart::Started);
}

/// Guards against unbounded memory, and against evicted tickets that count as new.
#[test]
fn evicted_tickets_are_unknown() {
    let by_count = table(2, 1_000);
    let keys: Vec<TicketKey> = (0..3).map(|_| issue(&by_count)).collect();
    assert_eq!(by_count.len(), 2);
    assert_eq!(
        by_count.begin(&keys[0], "intake", &fingerprint("first")),
        TicketStart::Unknown
    );
    assert_eq!(
        by_count.begin(&keys[1], "intake", &fingerprint("first")),
        TicketStart::Started
    );
    let by_bytes = table(10, 100);
    let keys: Vec<TicketKey> = (0..2).map(|_| issue(&by_bytes)).collect();
    for key in &keys {
        assert_eq!(
            by_bytes.begin(key, "intake", &fingerprint("first")),
            TicketStart::Started
        );
        by_bytes.finish(key, TicketEnd::Answered(response(60)));
    }
    assert_eq!(
        by_bytes.begin(&keys[0], "intake", &fingerprint("first")),
        TicketStart::Unknown
    );
    assert_eq!(
        by_bytes.begin(&keys[1], "intake", &fingerprint("first")),
        TicketStart::Finished(response(60))
    );
}
