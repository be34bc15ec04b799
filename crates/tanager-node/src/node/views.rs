//! Follows the fleet state for the dispatch thread.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use tanager_control::ControlService;
use tanager_protocol::ids::PoolId;

use crate::dispatcher::DispatchService;
use crate::peer::PeerClient;

/// Period at which the pools that this node is home to are determined anew.
const HOME_INTERVAL: Duration = Duration::from_millis(250);

/// Passes new fleet states and homes to the dispatch thread.
pub(crate) async fn follow_views(
    control: Arc<ControlService>,
    dispatch: Arc<DispatchService>,
    peers: Arc<PeerClient>,
) {
    let mut views = control.subscribe();
    let mut homes: Option<BTreeSet<PoolId>> = None;
    let mut interval = time::interval(HOME_INTERVAL);
    loop {
        tokio::select! {
            changed = views.changed() => {
                if changed.is_err() {
                    return;
                }
                let state = Arc::clone(&views.borrow_and_update());
                let addresses = state.nodes.values().map(|node| node.peer_address);
                peers.retain(&addresses.collect());
                dispatch.update_view(state);
            }
            _ = interval.tick() => {}
        }
        let state = control.state();
        let pools = state
            .document
            .pools
            .keys()
            .filter(|pool| control.is_home(pool));
        let current: BTreeSet<PoolId> = pools.cloned().collect();
        if homes.as_ref() != Some(&current) {
            dispatch.set_home_pools(current.clone());
            homes = Some(current);
        }
    }
}
