//! Requests without an outcome, with their waiting callers, grants and attempts.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use tanager_dispatch::RequestKey;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::peer::ForwardRequest;

use crate::claims::ClaimGrant;
use crate::claims::fingerprint::RequestFingerprint;
use crate::dispatcher::event::OutcomeSender;
use crate::dispatcher::event::ReplyId;

/// Pool and idempotency key by which a duplicate request joins the one in progress.
pub(crate) type JoinKey = (String, String);

/// An attempt in progress.
pub(crate) struct RequestAttempt {
    /// Aborts the task immediately, regardless of the endpoint.
    pub(crate) task: AbortHandle,
    /// Closes the connection to the endpoint; the task ends once the endpoint has noticed.
    pub(crate) cancel: Option<oneshot::Sender<()>>,
}

/// A request without an outcome.
pub(crate) struct PendingRequest {
    pub(crate) request: Arc<ForwardRequest>,
    pub(crate) idempotent: bool,
    /// Set for keyed non-idempotent requests.
    pub(crate) join_key: Option<JoinKey>,
    /// Set for keyed non-idempotent requests.
    pub(crate) fingerprint: Option<RequestFingerprint>,
    /// Callers that wait for the outcome.
    pub(crate) waiters: Vec<(ReplyId, OutcomeSender)>,
    /// Permission to send the request, once its claim was granted.
    pub(crate) grant: Option<ClaimGrant>,
    /// Whether an attempt was started.
    pub(crate) sent: bool,
    /// The attempt in progress.
    pub(crate) attempt: Option<RequestAttempt>,
    /// Whether all callers have disconnected and the attempt in progress was cancelled.
    pub(crate) cancelled: bool,
    /// Last outcome of an attempt or a claim.
    pub(crate) outcome: Option<RequestOutcome>,
}

/// All requests without an outcome, indexed by request, caller and join key.
#[derive(Default)]
pub(crate) struct PendingTable {
    /// Not a `SecondaryMap`: a submission first ends expired requests and may reuse the map slot of
    /// one whose final action is not executed yet. Until then, both keys must be present.
    requests: HashMap<RequestKey, PendingRequest>,
    requests_by_reply: HashMap<ReplyId, RequestKey>,
    requests_by_join_key: HashMap<JoinKey, RequestKey>,
}

impl PendingTable {
    /// Adds a request.
    pub(crate) fn insert(&mut self, key: RequestKey, pending: PendingRequest) {
        for (id, _) in &pending.waiters {
            self.requests_by_reply.insert(*id, key);
        }
        if let Some(join_key) = &pending.join_key {
            self.requests_by_join_key.insert(join_key.clone(), key);
        }
        self.requests.insert(key, pending);
    }

    /// Returns a request.
    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&key)
    }

    /// Finds the request in progress with the same pool and idempotency key.
    pub(crate) fn find_by_join_key(
        &mut self,
        join_key: &JoinKey,
    ) -> Option<(RequestKey, &mut PendingRequest)> {
        let key = *self.requests_by_join_key.get(join_key)?;
        self.requests.get_mut(&key).map(|pending| (key, pending))
    }

    /// Adds a waiting caller to a request in progress.
    pub(crate) fn add_waiter(&mut self, key: RequestKey, id: ReplyId, reply: OutcomeSender) {
        if let Some(pending) = self.requests.get_mut(&key) {
            pending.waiters.push((id, reply));
            self.requests_by_reply.insert(id, key);
        }
    }

    /// Removes a waiting caller; returns its request if no other caller waits for it.
    pub(crate) fn remove_waiter(
        &mut self,
        id: ReplyId,
    ) -> Option<(RequestKey, &mut PendingRequest)> {
        let key = self.requests_by_reply.remove(&id)?;
        let pending = self.requests.get_mut(&key)?;
        pending.waiters.retain(|(waiter, _)| *waiter != id);
        pending.waiters.is_empty().then_some((key, pending))
    }

    /// Removes a request that has an outcome.
    pub(crate) fn remove(&mut self, key: RequestKey) -> Option<PendingRequest> {
        let pending = self.requests.remove(&key)?;
        for (id, _) in &pending.waiters {
            self.requests_by_reply.remove(id);
        }
        if let Some(join_key) = &pending.join_key {
            self.requests_by_join_key.remove(join_key);
        }
        Some(pending)
    }

    /// Returns the keys of all requests.
    pub(crate) fn keys(&self) -> Vec<RequestKey> {
        self.requests.keys().copied().collect()
    }

    /// Returns the number of requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}
