//! Moves cells from weak nodes to stronger ones.
//!
//! After an outage of the store, the node that is served first acquires a silent owner's cell, however weak
//! it is. It gives the cell away once a much stronger node has been there for a while.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tokio::time;

use crate::context::NodeContext;
use crate::membership::choose_cell_to_release;
use crate::takeover;
use crate::takeover::Successor;

/// Interval between two checks.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a better node must have been seen, longer than the detection of a dead one.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// Releases cells that another node can bear much better.
pub(crate) async fn run(context: Arc<NodeContext>) -> Infallible {
    let mut better_since: Option<Duration> = None;
    loop {
        time::sleep(CHECK_PERIOD).await;
        let now = context.clock.now();
        let Some((cell, successor)) = choose(&context, now) else {
            better_since = None;
            continue;
        };
        if now.saturating_sub(*better_since.get_or_insert(now)) < SETTLE_TIME {
            continue;
        }
        better_since = None;
        if let Some(cell) = context.cell(&cell) {
            log::info!(
                "event=cell_relocated cell={} token={} to={successor} cores={}",
                cell.name,
                cell.token,
                context.settings.cores
            );
            takeover::release_cell(&cell, &Successor::Any).await;
            context.notify_peers().await;
        }
    }
}

/// Returns the cell to release now, and the node that would bear it better.
fn choose(context: &NodeContext, now: Duration) -> Option<(CellName, String)> {
    let is_calm =
        !context.is_stopping() && context.owns_its_cells(now) && !context.store_access.is_failing();
    if !is_calm {
        return None;
    }
    let cells = context.cells();
    let is_settled = (cells.iter())
        .all(|cell| !cell.is_paused() && !cell.is_closed() && !cell.core().is_recovering());
    if !is_settled {
        return None;
    }
    let owned: BTreeSet<CellName> = cells.iter().map(|cell| cell.name.clone()).collect();
    choose_cell_to_release(&context.view(), &context.settings.node, &owned, now)
}
