//! Fencing tokens of orders to workers.
//!
//! A worker ignores orders with a lower token than the highest that it has seen, but a restarted one
//! has seen none. An order to the former incarnation that had no response could therefore act on the
//! next one, seconds later: start a task that runs elsewhere, acknowledge ends that were not read, or
//! extend leases beyond what the owner accounts for. Orders to a later incarnation have a higher
//! token, so the first of them to arrive puts an end to that.

use tanager_jobs::ids::FencingToken;

/// Number of incarnations of one worker that an ownership can tell apart. Tokens stay below 2^53, which JSON
/// readers that use floating point represent exactly, up to an ownership of 2^37.
const INCARNATIONS: u64 = 1 << 16;

/// Position of an incarnation among those with the same id that an owner has met.
pub type IncarnationNumber = u16;

/// Returns the token of orders to an incarnation. Tokens of a later ownership are higher than all of
/// an earlier one.
pub fn order_token(ownership: FencingToken, incarnation: IncarnationNumber) -> FencingToken {
    ownership
        .saturating_mul(INCARNATIONS)
        .saturating_add(u64::from(incarnation))
}
