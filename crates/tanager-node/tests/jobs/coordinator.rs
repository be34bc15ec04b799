//! Orders of two coordinators to the same VMs, with node processes and a machine API that checks no
//! fencing tokens. A machine API that neither responds to orders nor carries them out makes each
//! coordinator repeat its orders, so both order the same VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use tanager_jobs::record::decode_record;
use tanager_jobs::record::encode_record;
use tanager_schedule::order_lease::ORDER_LEASE;
use tanager_service::records::CELL_TABLE;
use tanager_service::records::COORDINATOR_CELL;
use tanager_service::records::OWNER_KEY;
use tanager_service::records::OwnerRecord;
use tanager_standin::site::ObservedOrder;
use tanager_standin::site::SiteStandin;
use tokio::time;

use crate::POOL;
use crate::harness::JobSite;
use crate::harness::NodeProcess;
use crate::harness::eventually;
use crate::harness::pool;
use crate::link::LinkMode;
use crate::link::NetworkLink;

/// The coordinator's lease in the stand-in's settings.
const LEASE: Duration = Duration::from_millis(1_000);
/// Delay of a machine API that responds to no order during a test.
const NO_RESPONSE: Duration = Duration::from_secs(300);
/// Time in which both coordinators repeat orders that get no response.
const OBSERVATION: Duration = Duration::from_secs(3);

/// A site with a link from each node to the store and one to the machine API.
struct LinkedSite {
    site: JobSite,
    stores: Vec<NetworkLink>,
    machines: Vec<NetworkLink>,
}

impl LinkedSite {
    async fn start(nodes: usize, workers: usize) -> Self {
        let pools = [pool(POOL, workers)];
        let standin = SiteStandin::spawn(&pools).await.expect("stand-in");
        standin.put_config(1, &pools);
        let (mut stores, mut machines, mut processes) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..nodes {
            let store = NetworkLink::bind(standin.store_address()).await;
            let machine = NetworkLink::bind(standin.machines_address()).await;
            let name = node_name(number);
            let (store_address, machine_address) = (store.address, machine.address);
            processes.push(NodeProcess::spawn_with_addresses(
                &standin,
                &name,
                store_address,
                machine_address,
                "",
            ));
            stores.push(store);
            machines.push(machine);
        }
        let nodes = processes;
        let site = JobSite { standin, nodes };
        site.wait_until_owned(&pools).await;
        Self {
            site,
            stores,
            machines,
        }
    }

    fn set_order_delay(&self, delay: Duration) {
        (self.site.standin).set_faults(|faults| faults.machine_order_delay = delay);
    }

    /// Requests a wave over all VMs, of which `cap` may be down at the same time.
    fn request_wave(&self, cap: usize) {
        let vms = self.site.standin.vms(POOL);
        let wave = json!({"wave": 1, "machines": vms, "duration_s": 60, "cap": cap});
        (self.site.standin).put_row("op", "wave/1", wave.to_string().as_bytes());
    }

    /// Returns the number of the node that is the coordinator.
    async fn coordinator(&self) -> usize {
        let mut coordinator = None;
        eventually("a node is the coordinator", async || {
            coordinator = self.site.owner(COORDINATOR_CELL).await;
            coordinator.is_some()
        })
        .await;
        coordinator.expect("a coordinator")
    }

    fn orders(&self) -> Vec<ObservedOrder> {
        self.site.standin.received_orders()
    }

    /// Returns the orders that a node sent.
    fn orders_of(&self, node: usize) -> Vec<ObservedOrder> {
        let mut orders = self.orders();
        orders.retain(|order| order.holder == node_name(node));
        orders
    }

    /// Waits until a node has sent at least `count` orders.
    async fn wait_for_orders_of(&self, node: usize, count: usize) {
        eventually("the coordinator has sent orders", async || {
            self.orders_of(node).len() >= count
        })
        .await;
    }

    /// Waits until other nodes have sent at least `count` orders.
    async fn wait_for_successor_of(&self, node: usize, count: usize) {
        eventually("the successor has sent orders", async || {
            let orders = self.orders();
            let others = orders
                .iter()
                .filter(|order| order.holder != node_name(node));
            others.count() >= count
        })
        .await;
    }

    fn owner_record(&self) -> OwnerRecord {
        let row = (self.site.standin).part_row(CELL_TABLE, COORDINATOR_CELL, OWNER_KEY);
        decode_record(COORDINATOR_CELL, &row.expect("owner row")).expect("owner record")
    }
}

fn node_name(number: usize) -> String {
    format!("node-{number}")
}

/// Checks for each VM that no order has a lower token than an earlier one, that no token has two
/// holders, and that the orders of two holders are a lease apart.
fn assert_one_coordinator(orders: &[ObservedOrder]) {
    let mut by_vm: BTreeMap<&str, Vec<&ObservedOrder>> = BTreeMap::new();
    for order in orders {
        by_vm.entry(&order.vm).or_default().push(order);
    }
    for (vm, orders) in by_vm {
        for (number, order) in orders.iter().enumerate() {
            for earlier in &orders[..number] {
                assert!(
                    earlier.token <= order.token,
                    "{vm}: {order:?} under a lower token than {earlier:?}: {orders:?}"
                );
                if earlier.holder == order.holder {
                    continue;
                }
                assert_ne!(earlier.token, order.token, "{vm}: {earlier:?} {order:?}");
                let gap = order.received_at.saturating_sub(earlier.received_at);
                assert!(
                    gap >= LEASE,
                    "{vm}: {order:?} {gap:?} after {earlier:?}: {orders:?}"
                );
            }
        }
    }
}

/// Freezes the coordinator until a successor has ordered its VMs, and continues it while its link to
/// the store is in a mode.
async fn resume_beside_successor(workers: usize, mode: LinkMode) {
    let linked = LinkedSite::start(3, workers).await;
    linked.set_order_delay(NO_RESPONSE);
    let former = linked.coordinator().await;
    linked.request_wave(workers);
    linked.wait_for_orders_of(former, 1).await;
    linked.site.nodes[former].signal(Signal::SIGSTOP);
    linked.wait_for_successor_of(former, workers / 2).await;
    linked.stores[former].set_mode(mode);
    linked.site.nodes[former].signal(Signal::SIGCONT);
    time::sleep(OBSERVATION).await;
    linked.stores[former].set_mode(LinkMode::Forward);
    time::sleep(OBSERVATION).await;
    assert_one_coordinator(&linked.orders());
}

/// Guards against orders of a coordinator that resumes after its replacement, writes heartbeats and
/// cannot read the owner rows yet (ONE).
#[tokio::test(flavor = "multi_thread")]
async fn resumed_coordinator_that_reads_no_owner_rows_sends_no_orders() {
    resume_beside_successor(3, LinkMode::HoldReads).await;
}

/// Guards against orders of a coordinator that resumes after its replacement (ONE).
#[tokio::test(flavor = "multi_thread")]
async fn coordinator_resumed_after_its_replacement_sends_no_orders() {
    resume_beside_successor(3, LinkMode::Forward).await;
}

/// Guards against orders that a coordinator has checked before a pause and writes after it (ONE).
#[tokio::test(flavor = "multi_thread")]
async fn order_checked_before_a_pause_is_not_sent_after_it() {
    let linked = LinkedSite::start(3, 64).await;
    linked.set_order_delay(NO_RESPONSE);
    let former = linked.coordinator().await;
    let connections = linked.machines[former].connections();
    linked.request_wave(64);
    linked.machines[former]
        .wait_for_connections(connections + 1)
        .await;
    linked.site.nodes[former].signal(Signal::SIGSTOP);
    linked.wait_for_successor_of(former, 32).await;
    linked.site.nodes[former].signal(Signal::SIGCONT);
    time::sleep(OBSERVATION).await;
    assert_one_coordinator(&linked.orders());
}

/// Guards against orders to the rest of a batch that a coordinator had begun before its replacement
/// (ONE).
#[tokio::test(flavor = "multi_thread")]
async fn coordinator_resumed_amid_a_batch_sends_no_orders() {
    resume_beside_successor(64, LinkMode::Forward).await;
}

/// Guards against orders of a coordinator to which the store has answered that its owner row changed
/// (ONE).
#[tokio::test(flavor = "multi_thread")]
async fn coordinator_whose_owner_row_changed_sends_no_orders_after_the_conflict() {
    let linked = LinkedSite::start(3, 12).await;
    let former = linked.coordinator().await;
    linked.request_wave(1);
    linked.wait_for_orders_of(former, 2).await;
    linked.stores[former].set_mode(LinkMode::HoldReads);
    let record = OwnerRecord {
        node: node_name((former + 1) % 3),
        ..OwnerRecord::default()
    };
    let value = encode_record(&record).expect("owner record");
    (linked.site.standin).put_part_row(CELL_TABLE, COORDINATOR_CELL, OWNER_KEY, &value);
    let lease_end = linked.site.standin.elapsed() + ORDER_LEASE;
    linked.wait_for_successor_of(former, 3).await;
    linked.stores[former].set_mode(LinkMode::Forward);
    let conflicts = linked.site.standin.conflicts("wave");
    // The lease may expire before the coordinator has anything to write.
    let end = (conflicts.first()).map_or(lease_end, |conflict| lease_end.min(*conflict));
    let late: Vec<_> = (linked.orders_of(former).into_iter())
        .filter(|order| order.received_at > end)
        .collect();
    assert!(late.is_empty(), "{late:?} after {end:?}: {conflicts:?}");
    assert_one_coordinator(&linked.orders());
}

/// Guards against an order that waits in the network and arrives after those of the successor, long
/// after its sender has given up (ONE).
#[tokio::test(flavor = "multi_thread")]
async fn order_held_in_the_network_does_not_arrive_after_its_time_limit() {
    let mut linked = LinkedSite::start(3, 3).await;
    linked.set_order_delay(NO_RESPONSE);
    let former = linked.coordinator().await;
    linked.machines[former].set_mode(LinkMode::HoldWrites);
    linked.request_wave(3);
    eventually("orders are held", async || {
        linked.machines[former].waiting_writes() > 0
    })
    .await;
    // Without a list the coordinator sends no further orders.
    linked.machines[former].set_mode(LinkMode::HoldRequests);
    eventually("the coordinator has given up", async || {
        linked.machines[former].waiting_writes() == 0
    })
    .await;
    linked.site.nodes[former].kill();
    linked.wait_for_successor_of(former, 1).await;
    linked.machines[former].set_mode(LinkMode::Forward);
    time::sleep(OBSERVATION).await;
    assert_one_coordinator(&linked.orders());
}

/// Guards against a successor that orders within the lease of a coordinator that was told to stop
/// (ONE).
#[tokio::test(flavor = "multi_thread")]
async fn stopped_coordinator_and_its_successor_order_a_lease_apart() {
    let linked = LinkedSite::start(2, 6).await;
    linked.set_order_delay(Duration::from_millis(800));
    let former = linked.coordinator().await;
    linked.request_wave(6);
    linked.wait_for_orders_of(former, 1).await;
    linked.site.nodes[former].signal(Signal::SIGTERM);
    let released_at = wait_for_release(&linked, former).await;
    linked.wait_for_successor_of(former, 1).await;
    assert_no_late_orders(&linked, former, released_at);
}

/// Guards against orders of a coordinator whose release is stored while it waits for the store's
/// response (ONE).
#[tokio::test(flavor = "multi_thread")]
async fn coordinator_that_awaits_the_response_to_its_release_sends_no_orders() {
    let linked = LinkedSite::start(2, 64).await;
    linked.set_order_delay(Duration::from_millis(400));
    let former = linked.coordinator().await;
    linked.request_wave(64);
    linked.wait_for_orders_of(former, 1).await;
    linked.stores[former].set_mode(LinkMode::HoldResponses);
    linked.site.nodes[former].signal(Signal::SIGTERM);
    let released_at = wait_for_release(&linked, former).await;
    linked.wait_for_successor_of(former, 1).await;
    assert_no_late_orders(&linked, former, released_at);
}

/// Waits until a node has released the coordinator's cell, and returns the time.
async fn wait_for_release(linked: &LinkedSite, former: usize) -> Duration {
    let end = linked.site.standin.elapsed() + Duration::from_secs(10);
    while linked.owner_record().node == node_name(former) {
        assert!(linked.site.standin.elapsed() < end, "no release");
        time::sleep(Duration::from_millis(5)).await;
    }
    linked.site.standin.elapsed()
}

/// Checks the orders of a coordinator that released its cell, over all VMs.
fn assert_no_late_orders(linked: &LinkedSite, former: usize, released_at: Duration) {
    let last = linked.orders_of(former).pop().expect("an order");
    let mut orders = linked.orders();
    orders.retain(|order| order.holder != last.holder);
    let first = orders.first().expect("an order of the successor");
    let gap = first.received_at.saturating_sub(last.received_at);
    assert!(
        last.received_at <= released_at,
        "{last:?} after the release at {released_at:?}, {gap:?} before {first:?}"
    );
    assert!(gap >= LEASE, "{first:?} {gap:?} after {last:?}");
    assert_one_coordinator(&linked.orders());
}

/// Guards against orders of two processes of a node under tokens out of order (ONE).
#[tokio::test(flavor = "multi_thread")]
async fn restarted_coordinator_orders_under_higher_tokens() {
    let mut linked = LinkedSite::start(3, 3).await;
    linked.set_order_delay(NO_RESPONSE);
    let former = linked.coordinator().await;
    linked.request_wave(3);
    linked.wait_for_orders_of(former, 1).await;
    let token = linked.orders()[0].token;
    linked.site.nodes[former].kill();
    linked.site.nodes[former].restart();
    eventually("orders are sent under a higher token", async || {
        linked.orders().iter().any(|order| order.token > token)
    })
    .await;
    time::sleep(OBSERVATION).await;
    assert_one_coordinator(&linked.orders());
}

/// Guards against orders of a coordinator that reaches the platform and not the store, beside those
/// of a successor (ONE).
#[tokio::test(flavor = "multi_thread")]
async fn coordinator_cut_off_from_the_store_is_the_only_one_to_order() {
    let linked = LinkedSite::start(3, 3).await;
    linked.set_order_delay(NO_RESPONSE);
    let former = linked.coordinator().await;
    linked.request_wave(3);
    linked.wait_for_orders_of(former, 1).await;
    linked.stores[former].set_mode(LinkMode::HoldRequests);
    time::sleep(OBSERVATION * 2).await;
    linked.stores[former].set_mode(LinkMode::Forward);
    let count = linked.orders().len();
    eventually("orders are sent", async || linked.orders().len() > count).await;
    time::sleep(OBSERVATION).await;
    assert_one_coordinator(&linked.orders());
}
