//! Tests of whole sites of several node processes under faults. Each compares what the endpoints
//! ran with what the callers were told.

#![allow(missing_docs, unreachable_pub, reason = "test code")]

mod caller;
mod fleet;
mod floods;
mod harness;
mod leaving;
mod moves;
mod nodes;
mod pairs;
mod process;
mod proxy;
mod rebalance;
mod refusals;
mod requests;
mod silence;
mod store;
mod watch;
mod waves;
