//! Reads of the operator's rows from peers that have them, and the answers to such reads.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tanager_http::HttpResponse;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_site::fleet::OPERATOR_TABLE;
use tanager_site::store::RowVersion;
use tokio::time;

use crate::context::NodeContext;
use crate::operator_copy::CopiedRead;
use crate::operator_copy::MAX_AWAITED_AGE;
use crate::operator_copy::prefers_copies;
use crate::peers::MAX_RESPONSE;
use crate::peers::PeerClient;
use crate::peers::decode_request;
use crate::peers::encode_call;

/// Path of reads of the operator's rows.
pub(crate) const COPY_PATH: &str = "/operator";
/// Time limit of a call to a peer, which answers from memory.
const COPY_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of peers that are asked for one read.
const MAX_SOURCES: usize = 3;
/// Time after which peers are asked for what a read of the store has not returned yet, and again.
const OVERTAKE_PERIOD: Duration = Duration::from_millis(400);
/// Time for which the store is read after none of them had a current copy.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct CopyRequest {
    /// Version of the store up to which the reader has all rows; 0 if it has none.
    after: RowVersion,
}

/// Reads rows from peers where that is preferred to reads of the store.
#[derive(Debug, Default)]
pub(crate) struct CopyReader {
    /// Peer that had a current copy last.
    source: Option<SocketAddr>,
    /// Number of peers that had none since then. The next ones are asked first.
    outdated_sources: usize,
    paused_until: Duration,
}

/// Rows that a peer has read.
#[derive(Debug)]
pub(crate) struct PeerRead {
    /// The rows.
    pub(crate) copy: CopiedRead,
    /// Latest time on the clock of this node as of which the rows are complete for certain.
    pub(crate) complete_at: Duration,
    /// What remains to be done for a current state.
    pub(crate) next: NextRead,
}

/// How a read goes on after a peer has answered it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NextRead {
    /// The copy is current.
    None,
    /// The store is read for what is newer than the copy.
    Store,
    /// The peer is reading the store, which takes long; a read that it relayed would delay its own.
    Peer,
}

impl CopyReader {
    /// Returns the rows that are newer than `after` at the peer that has the newest ones; `None` if only the
    /// store is to be read.
    pub(crate) async fn read(
        &mut self,
        context: &NodeContext,
        after: RowVersion,
    ) -> Option<PeerRead> {
        let largest_row = context.operator_copy().largest_row();
        let is_relaying = context.store_access.is_relaying();
        let is_preferred = prefers_copies(is_relaying, context.settings.link_rate, largest_row);
        let is_paused = !is_relaying && context.clock.now() < self.paused_until;
        if !is_preferred || is_paused {
            return None;
        }
        self.ask_peers(context, after, is_relaying).await
    }

    /// Returns rows that are newer than `after` as soon as a peer has some, while a read of the store for
    /// them is under way. A read that ends soon is not overtaken.
    pub(crate) async fn overtake(&mut self, context: &NodeContext, after: RowVersion) -> PeerRead {
        loop {
            time::sleep(OVERTAKE_PERIOD).await;
            let read = self.ask_peers(context, after, false).await;
            if let Some(read) = read.filter(|read| !read.copy.rows.is_empty()) {
                return read;
            }
        }
    }

    /// Asks peers for rows that are newer than `after`.
    async fn ask_peers(
        &mut self,
        context: &NodeContext,
        after: RowVersion,
        is_relaying: bool,
    ) -> Option<PeerRead> {
        let mut newest: Option<PeerRead> = None;
        for peer in self.choose_sources(context.store_access.usable_peers()) {
            let sent_at = context.clock.now();
            let copy = match request_copy(&context.peers, peer, after).await {
                Ok(copy) => copy,
                Err(error) => {
                    log::debug!("event=copy_not_read peer={peer} error={error:?}");
                    continue;
                }
            };
            if copy.version < after {
                continue;
            }
            let is_current = copy.is_current();
            let next = match is_current {
                true => NextRead::None,
                false if is_relaying && copy.age <= MAX_AWAITED_AGE => NextRead::Peer,
                false => NextRead::Store,
            };
            let read = PeerRead {
                complete_at: sent_at.saturating_sub(copy.age),
                copy,
                next,
            };
            if is_current {
                context.metrics.copies_read.increment();
                self.source = Some(peer);
                self.outdated_sources = 0;
                return Some(read);
            }
            log::debug!(
                "event=copy_outdated peer={peer} row={} age={:?} after={after}",
                read.copy.version,
                read.copy.age
            );
            let newest_version = newest.as_ref().map(|other| other.copy.version);
            if newest_version < Some(read.copy.version) {
                newest = Some(read);
            }
        }
        self.source = None;
        self.outdated_sources += MAX_SOURCES;
        if !is_relaying {
            self.paused_until = context.clock.now() + FAILURE_PAUSE;
        }
        newest
    }

    /// Returns the peers to ask, the one that had a current copy last first.
    fn choose_sources(&self, mut peers: Vec<SocketAddr>) -> Vec<SocketAddr> {
        if !peers.is_empty() {
            let offset = self.outdated_sources % peers.len();
            peers.rotate_left(offset);
        }
        peers.sort_by_key(|peer| Some(*peer) != self.source);
        peers.truncate(MAX_SOURCES);
        peers
    }
}

async fn request_copy(
    peers: &PeerClient,
    peer: SocketAddr,
    after: RowVersion,
) -> TanagerResult<CopiedRead> {
    let call = encode_call(peer, COPY_PATH, &CopyRequest { after })?;
    let response = peers.exchange(peer, &call, COPY_TIMEOUT).await?;
    let failure = |message: String| {
        TanagerError::new(ErrorKind::Unknown, "read copy", peer.to_string(), message)
    };
    if response.status != StatusCode::OK {
        return Err(failure(response.status.to_string()));
    }
    CopiedRead::decode(&response.body, OPERATOR_TABLE, MAX_RESPONSE).map_err(failure)
}

/// Answers a read of another node.
///
/// # Errors
///
/// [`ErrorKind::Invalid`] if the request is malformed.
pub(crate) fn answer(context: &NodeContext, body: &[u8]) -> TanagerResult<HttpResponse> {
    let request: CopyRequest = decode_request(body)?;
    let encoded = (context.operator_copy()).encode_since(request.after, context.clock.now());
    Ok(match encoded {
        Ok(Some(body)) => HttpResponse::new(StatusCode::OK, body),
        Ok(None) => HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "no current copy"),
        Err(error) => {
            log::error!("event=copy_not_encoded error={error:?}");
            HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
        }
    })
}
