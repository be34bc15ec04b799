//! Requests without an outcome: who waits for them, and what they hold.

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

/// Pool and idempotency key of a request that others may join.
pub(crate) type JoinKey = (String, String);

/// An attempt in progress.
pub(crate) struct RequestAttempt {
    /// Ends the task at once, whatever the endpoint does.
    pub(crate) task: AbortHandle,
    /// Closes the connection to the endpoint; the task ends when the endpoint has noticed.
    pub(crate) cancel: Option<oneshot::Sender<()>>,
}

/// A request without an outcome.
pub(crate) struct PendingRequest {
    pub(crate) request: Arc<ForwardRequest>,
    pub(crate) idempotent: bool,
    /// Set for keyed non-idempotent requests.
    pub(crate) join: Option<JoinKey>,
    /// Set for keyed non-idempotent requests.
    pub(crate) fingerprint: Option<RequestFingerprint>,
    pub(crate) waiting: Vec<(ReplyId, OutcomeSender)>,
    pub(crate) claim: Option<ClaimGrant>,
    /// Whether an attempt began.
    pub(crate) sent: bool,
    /// The attempt in progress.
    pub(crate) attempt: Option<RequestAttempt>,
    /// All callers have left, and the attempt in progress was told so.
    pub(crate) cancelled: bool,
    /// Outcome of the newest attempt or claim that left one.
    pub(crate) outcome: Option<RequestOutcome>,
}

/// All requests without an outcome.
#[derive(Default)]
pub(crate) struct PendingTable {
    /// Not a `SecondaryMap`: a submission first ends expired requests and may reuse the slot of one
    /// whose final action is still to be executed, and both keys must be present until then.
    requests: HashMap<RequestKey, PendingRequest>,
    replies: HashMap<ReplyId, RequestKey>,
    joins: HashMap<JoinKey, RequestKey>,
}

impl PendingTable {
    /// Adds a request.
    pub(crate) fn insert(&mut self, key: RequestKey, pending: PendingRequest) {
        for (id, _) in &pending.waiting {
            self.replies.insert(*id, key);
        }
        if let Some(join) = &pending.join {
            self.joins.insert(join.clone(), key);
        }
        self.requests.insert(key, pending);
    }

    /// Returns a request.
    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&key)
    }

    /// Finds the request in progress with the same idempotency key.
    pub(crate) fn find_join(
        &mut self,
        join: &JoinKey,
    ) -> Option<(RequestKey, &mut PendingRequest)> {
        let key = *self.joins.get(join)?;
        self.requests.get_mut(&key).map(|pending| (key, pending))
    }

    /// Adds a caller that waits for a request in progress.
    pub(crate) fn wait(&mut self, key: RequestKey, id: ReplyId, reply: OutcomeSender) {
        if let Some(pending) = self.requests.get_mut(&key) {
            pending.waiting.push((id, reply));
            self.replies.insert(id, key);
        }
    }

    /// Removes a caller; returns its request if nobody else waits for it.
    pub(crate) fn leave(&mut self, id: ReplyId) -> Option<(RequestKey, &mut PendingRequest)> {
        let key = self.replies.remove(&id)?;
        let pending = self.requests.get_mut(&key)?;
        pending.waiting.retain(|(waiting, _)| *waiting != id);
        pending.waiting.is_empty().then_some((key, pending))
    }

    /// Removes a request that has its outcome.
    pub(crate) fn remove(&mut self, key: RequestKey) -> Option<PendingRequest> {
        let pending = self.requests.remove(&key)?;
        for (id, _) in &pending.waiting {
            self.replies.remove(id);
        }
        if let Some(join) = &pending.join {
            self.joins.remove(join);
        }
        Some(pending)
    }

    /// Keys of all requests.
    pub(crate) fn keys(&self) -> Vec<RequestKey> {
        self.requests.keys().copied().collect()
    }

    /// Number of requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}
