//! Tests of sites of several node processes under faults. Each test compares the requests that the
//! endpoints ran with the outcomes that the callers received.

#![allow(missing_docs, unreachable_pub, reason = "test code")]

mod caller;
mod combined_faults;
mod fleet;
mod floods;
mod harness;
mod moves;
mod nodes;
mod process;
mod proxy;
mod rebalance;
mod refusals;
mod requests;
mod shutdown;
mod stalled_connections;
mod store;
mod watch;
mod waves;
