//! Forwards changes of the fleet state to the dispatch thread.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use tanager_control::ControlService;
use tanager_protocol::ids::PoolId;

use crate::dispatcher::DispatchService;
use crate::peer::PeerClient;

/// Interval at which the pools for which this node is the home are recomputed.
const HOME_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Forwards new fleet states and home pools to the dispatch thread until the control service ends.
pub(crate) async fn forward_fleet_updates(
    control: Arc<ControlService>,
    dispatch: Arc<DispatchService>,
    peers: Arc<PeerClient>,
) {
    let mut fleet_updates = control.subscribe();
    let mut home_pools: Option<BTreeSet<PoolId>> = None;
    let mut interval = time::interval(HOME_CHECK_INTERVAL);
    loop {
        tokio::select! {
            changed = fleet_updates.changed() => {
                if changed.is_err() {
                    return;
                }
                let state = Arc::clone(&fleet_updates.borrow_and_update());
                let addresses = state.nodes.values().map(|node| node.peer_address);
                peers.retain(&addresses.collect());
                dispatch.update_fleet_state(state);
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
        if home_pools.as_ref() != Some(&current) {
            dispatch.set_home_pools(current.clone());
            home_pools = Some(current);
        }
    }
}
