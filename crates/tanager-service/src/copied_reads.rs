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
use crate::copy_sources::CopySources;
use crate::copy_sources::CopyStatus;
use crate::operator_copy::CopiedRead;
use crate::operator_copy::prefers_copies;
use crate::peers::MAX_RESPONSE;
use crate::peers::PeerClient;
use crate::peers::decode_request;
use crate::peers::encode_call;

/// Path of reads of the operator's rows.
pub(crate) const COPY_PATH: &str = "/operator";
/// Time limit of a call to a peer, which answers from memory.
const COPY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which peers are asked for what a read of the store has not returned yet, and again.
const OVERTAKE_PERIOD: Duration = Duration::from_millis(400);
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct CopyRequest {
    /// Version of the store up to which the reader has all rows; 0 if it has none.
    after: RowVersion,
}

/// Reads rows from peers where that is preferred to reads of the store.
#[derive(Debug, Default)]
pub(crate) struct CopyReader {
    sources: CopySources,
}

/// Rows that a peer has read.
#[derive(Debug)]
pub(crate) struct PeerRead {
    /// The rows.
    pub(crate) copy: CopiedRead,
    /// Latest time on the clock of this node as of which the rows are complete for certain.
    pub(crate) complete_at: Duration,
    /// What the copy is worth.
    pub(crate) status: CopyStatus,
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
        let is_paused = !is_relaying && self.sources.is_paused(context.clock.now());
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
        for peer in self.sources.choose(context.store_access.usable_peers()) {
            let sent_at = context.clock.now();
            let copy = match request_copy(&context.peers, peer, after).await {
                Ok(copy) => copy,
                Err(error) => {
                    log::debug!("event=copy_not_read peer={peer} error={error:?}");
                    continue;
                }
            };
            let (version, age) = (copy.version, copy.age);
            if version < after {
                continue;
            }
            let read = PeerRead {
                copy,
                complete_at: sent_at.saturating_sub(age),
                status: CopyStatus::of(age, is_relaying),
            };
            if read.status == CopyStatus::Current {
                context.metrics.copies_read.increment();
                self.sources.record_current(peer);
                return Some(read);
            }
            log::debug!("event=copy_outdated peer={peer} row={version} age={age:?} after={after}");
            let newest_version = newest.as_ref().map(|other| other.copy.version);
            if newest_version < Some(version) {
                newest = Some(read);
            }
        }
        (self.sources).record_outdated(is_relaying, context.clock.now());
        newest
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
