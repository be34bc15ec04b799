//! Background tasks of the control service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;
use tokio::time;
use tokio::time::MissedTickBehavior;

use tanager_fleet::record_version;
use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::WaveStatus;
use tanager_protocol::fleet::WaveStep;
use tanager_protocol::ids::LogVersion;

use crate::core::ControlCore;
use crate::core::lock;
use crate::health::HealthReporter;
use crate::health::VmListReader;
use crate::home::select_home_node;
use crate::moves::FleetView;
use crate::moves::plan_moves;
use crate::rebalance::LoadView;
use crate::rebalance::REBALANCE_NAME;
use crate::rebalance::RebalanceCoordinator;
use crate::waves::RebootResult;
use crate::waves::WaveAction;
use crate::waves::WaveCoordinator;

/// Fraction of the gossip interval for which a peer's call replaces a call to that peer. Below 1,
/// so that one of two nodes with the same phase keeps calling.
const RECENT_CALL_FRACTION: f64 = 0.75;

/// Polls `head`, registers the node and writes snapshots.
pub(crate) async fn poll_store(core: Arc<ControlCore>) {
    let mut ticks = interval(core.settings.timing.poll_interval);
    loop {
        ticks.tick().await;
        let mut result = core.catch_up().await;
        if result.is_ok() {
            result = core.register().await;
        }
        if result.is_ok() {
            result = core.write_snapshot_if_due().await;
        }
        if let Err(error) = result {
            log::debug!("{}: {error}", core.settings.node);
        }
    }
}

/// Deletes old entries of the log in small transactions.
pub(crate) async fn trim_log(core: Arc<ControlCore>) {
    let mut ticks = interval(core.settings.timing.trim_pause);
    loop {
        ticks.tick().await;
        if let Err(error) = core.trim_log().await {
            log::debug!("{}: {error}", core.settings.node);
        }
    }
}

/// Exchanges statuses with every registered node and seed, and fetches entries from peers that
/// are ahead.
pub(crate) async fn gossip(core: Arc<ControlCore>) {
    let mut ticks = interval(core.settings.timing.gossip_interval);
    let mut calls = JoinSet::new();
    // Peers with a call in progress; an unresponsive peer delays only its own calls.
    let mut pending_calls = BTreeSet::new();
    let mut reported_versions: BTreeMap<SocketAddr, Option<LogVersion>> = BTreeMap::new();
    loop {
        let mut immediate = false;
        tokio::select! {
            _ = ticks.tick() => {}
            () = core.gossip_trigger.notified() => immediate = true,
            Some(ended) = calls.join_next() => {
                if let Ok((address, reported_version)) = ended {
                    pending_calls.remove(&address);
                    reported_versions.insert(address, reported_version);
                    core.mark_synced_from_peers(&reported_versions);
                }
                continue;
            }
        }
        for address in core.gossip_targets() {
            if (immediate || core.needs_gossip(address)) && pending_calls.insert(address) {
                let core = Arc::clone(&core);
                calls.spawn(async move { (address, core.gossip_with(address).await) });
            }
        }
    }
}

/// Runs the coordinators of moves and waves and the health reports.
pub(crate) async fn coordinate(core: Arc<ControlCore>) {
    let timing = core.settings.timing;
    let mut ticks = interval(timing.coordinate_interval);
    let mut reporter = HealthReporter::default();
    let mut waves = WaveCoordinator::new(timing.reboot_grace_period, timing.reboot_timeout);
    loop {
        ticks.tick().await;
        if !core.may_coordinate() {
            continue;
        }
        let state = core.state();
        let actions = core.plan(&state, &mut reporter, &mut waves);
        for action in actions {
            match action {
                WaveAction::Propose(change) => {
                    // The acknowledgements of one move must not commit a later move of the VM.
                    let expected_version = matches!(change, FleetChange::CommitMove { .. })
                        .then(|| record_version(&state, &change));
                    core.propose_as_node(change, expected_version).await;
                }
                WaveAction::Reboot(vm) => {
                    if let Some(result) = core.reboot(&vm).await {
                        waves.record_reboot(&vm, result, Instant::now());
                    }
                }
            }
        }
    }
}

/// Moves VMs to pools with a lasting overload while this node is the home of `rebalance`.
pub(crate) async fn rebalance(core: Arc<ControlCore>) {
    let settings = core.settings.rebalance;
    if !settings.enabled {
        return;
    }
    let mut ticks = interval(core.settings.timing.rebalance_interval);
    let mut coordinator = None;
    loop {
        ticks.tick().await;
        if !core.may_coordinate() || !core.is_home(REBALANCE_NAME) {
            coordinator = None;
            continue;
        }
        let coordinator = coordinator
            .get_or_insert_with(|| RebalanceCoordinator::new(Instant::now(), settings.move_cost));
        let Some((change, expected_version)) = core.plan_rebalance(coordinator) else {
            continue;
        };
        let result = core
            .propose(REBALANCE_NAME, change, Some(expected_version))
            .await;
        let mut status = core.status();
        status.counters.moves_proposed += 1;
        match result {
            Ok(entry) => log::info!("move by load accepted in version {}", entry.version),
            Err(error) => {
                status.counters.moves_refused += 1;
                log::debug!("move by load: {error}");
            }
        }
    }
}

/// Reads the platform's list of VMs while this node is the home of `vm-list`.
pub(crate) async fn read_vm_list(core: Arc<ControlCore>) {
    let mut ticks = interval(core.settings.timing.poll_interval);
    let mut reader = VmListReader::default();
    loop {
        ticks.tick().await;
        if !core.may_coordinate() || !core.is_home("vm-list") {
            reader = VmListReader::default();
            continue;
        }
        match core.backend.platform.list_vms(reader.since()).await {
            Ok(listing) => reader.record(listing),
            Err(error) => {
                log::debug!("{}: {error}", core.settings.node);
                continue;
            }
        }
        let state = core.state();
        let timeout = core.settings.timing.contact_timeout;
        let now = Instant::now();
        let changes = reader.plan(&state, &|node, record| {
            node != core.settings.node
                && lock(&core.peers).is_unresponsive(node, record, now, timeout)
        });
        for change in changes {
            core.propose_as_node(change, None).await;
        }
    }
}

impl ControlCore {
    /// Registers this incarnation of the node if the newest state allows it.
    async fn register(&self) -> TanagerResult<()> {
        let _guard = self.registration_lock.lock().await;
        let state = self.state();
        let current = state.nodes.get(&self.settings.node);
        {
            let mut status = self.status();
            if self.is_registered(&state) {
                status.joined = true;
                return Ok(());
            }
            if status.leaving || status.deregistered {
                return Ok(());
            }
            // Two incarnations of one name would otherwise replace each other forever.
            if status.joined && current.is_some() {
                if !std::mem::replace(&mut status.superseded, true) {
                    log::warn!("{} was replaced by another incarnation", self.settings.node);
                }
                return Ok(());
            }
        }
        let change = FleetChange::JoinNode {
            node: self.settings.node.clone(),
            record: self.settings.record.clone(),
        };
        let entry = self.propose(&self.settings.node, change, None).await?;
        self.status().joined = true;
        log::info!(
            "{} registered in version {}",
            self.settings.node,
            entry.version
        );
        Ok(())
    }

    fn plan(
        &self,
        state: &FleetState,
        reporter: &mut HealthReporter,
        waves: &mut WaveCoordinator,
    ) -> Vec<WaveAction> {
        let live = self.live_nodes();
        let view = FleetView {
            state,
            suspects: &(self.backend.suspects)(),
            now: Instant::now(),
            is_home: &|name| select_home_node(name, &live) == Some(&self.settings.node),
            is_drained: &|vm| self.is_drained(vm),
        };
        let changes = plan_moves(&view).into_iter().chain(reporter.plan(&view));
        let mut actions: Vec<WaveAction> = changes.map(WaveAction::Propose).collect();
        actions.extend(waves.plan(&view));
        actions
    }

    /// Returns a move to propose and the version of the VM's record on which it is based.
    fn plan_rebalance(
        &self,
        coordinator: &mut RebalanceCoordinator,
    ) -> Option<(FleetChange, LogVersion)> {
        let state = self.state();
        let mut own = self.own_status();
        self.attach_usage(&state, &mut own);
        let live = self.live_nodes();
        let suspects = (self.backend.suspects)();
        let round = {
            let mut reports = lock(&self.usage);
            let now = Instant::now();
            reports.record(&own, now);
            coordinator.plan(&LoadView {
                state: &state,
                suspects: &suspects,
                now,
                reports: &reports,
                home_of: &|pool| select_home_node(pool, &live).cloned(),
            })
        };
        self.status().counters.reports_missing += round.missing_reports;
        let change = round.change?;
        let expected_version = record_version(&state, &change);
        Some((change, expected_version))
    }

    /// Returns whether this node takes part in coordination: it reaches the store and is
    /// registered.
    fn may_coordinate(&self) -> bool {
        let reachable = {
            let status = self.status();
            !status.leaving && status.store_failed == Some(false)
        };
        reachable && self.may_dispatch()
    }

    async fn propose_as_node(&self, change: FleetChange, expected_version: Option<LogVersion>) {
        let kind = change.kind();
        match self
            .propose(&self.settings.node, change, expected_version)
            .await
        {
            Ok(entry) => log::info!("{kind} accepted in version {}", entry.version),
            // Another coordinator proposed the change first, or the plan is outdated.
            Err(error) if matches!(error.kind, ErrorKind::Refused | ErrorKind::NotFound) => {}
            Err(error) => log::debug!("{kind}: {error}"),
        }
    }

    /// Asks the platform to reboot a VM that a wave has drained. Returns `None` when the VM is no
    /// longer to be rebooted in the newest state, because another coordinator returned it to
    /// service or the wave was aborted, or when that state cannot be read.
    async fn reboot(&self, vm: &str) -> Option<RebootResult> {
        self.catch_up().await.ok()?;
        let state = self.state();
        let rebooting = state.waves.values().any(|wave| {
            let mut running = wave.running.iter();
            wave.status != WaveStatus::Aborted
                && running.any(|(other, step)| other == vm && *step == WaveStep::Reboot)
        });
        if !rebooting {
            return None;
        }
        Some(match self.backend.platform.reboot(vm).await {
            Ok(()) => RebootResult::Accepted,
            Err(error) if matches!(error.kind, ErrorKind::Unknown | ErrorKind::Timeout) => {
                RebootResult::Unknown
            }
            Err(_) => RebootResult::Failed,
        })
    }

    fn gossip_targets(&self) -> BTreeSet<SocketAddr> {
        let state = self.state();
        let own = self.settings.record.peer_address;
        let registered = state
            .nodes
            .iter()
            .filter(|(node, _)| **node != self.settings.node)
            .map(|(_, record)| record.peer_address);
        let seeds = self.settings.seeds.iter().copied();
        registered
            .chain(seeds)
            .filter(|address| *address != own)
            .collect()
    }

    /// Returns whether a peer is due for a call. A call exchanges the statuses of both nodes, so a
    /// peer that called recently is not called back: one call per pair and interval suffices. A
    /// node that is not in sync with the store needs entries or replies of its peers, and one that
    /// reports usage must send it, so both always call.
    fn needs_gossip(&self, address: SocketAddr) -> bool {
        let is_in_sync = {
            let status = self.status();
            status.synced && status.store_failed == Some(false)
        };
        if !is_in_sync || self.settings.rebalance.enabled {
            return true;
        }
        let state = self.state();
        let Some((node, record)) = state
            .nodes
            .iter()
            .find(|(_, record)| record.peer_address == address)
        else {
            return true;
        };
        let recent = self
            .settings
            .timing
            .gossip_interval
            .mul_f64(RECENT_CALL_FRACTION);
        let peers = lock(&self.peers);
        !peers.find(node, record).is_some_and(|contact| {
            contact.status.version <= state.version && contact.received_at.elapsed() < recent
        })
    }

    /// Calls one peer and returns the version that it reported, or `None` when the call failed.
    async fn gossip_with(&self, address: SocketAddr) -> Option<LogVersion> {
        let result = self.exchange_status(address).await;
        if let Err(error) = &result {
            log::debug!("{}: {error}", self.settings.node);
        }
        result.ok()
    }

    async fn exchange_status(&self, address: SocketAddr) -> TanagerResult<LogVersion> {
        let limit = self.settings.timing.peer_timeout;
        let timeout_error = |step| {
            let message = format!("no response within {limit:?}");
            TanagerError::new(ErrorKind::Timeout, step, address.to_string(), message)
        };
        let call = (self.backend.gossip)(address, self.status_for(address));
        let status = time::timeout(limit, call)
            .await
            .map_err(|_| timeout_error("gossip"))??;
        let version = status.version;
        self.record_status(status);
        let mut after = self.state().version;
        while version > after {
            let call = (self.backend.fetch)(address, after);
            let reply = time::timeout(limit, call)
                .await
                .map_err(|_| timeout_error("fetch"))??;
            self.status().counters.peer_fetches += 1;
            self.apply_reply(&reply)?;
            // The size of a reply is limited, so the loop fetches the further entries. A
            // peer whose reply has no newer entries is called again in the next interval.
            let before = std::mem::replace(&mut after, self.state().version);
            if after <= before {
                break;
            }
        }
        Ok(version)
    }

    /// Marks a node that starts during a store outage as synced once the call of every gossip
    /// target has returned or failed and the node has applied the newest version that they
    /// reported.
    fn mark_synced_from_peers(&self, reported_versions: &BTreeMap<SocketAddr, Option<LogVersion>>) {
        let complete = self
            .gossip_targets()
            .iter()
            .all(|address| reported_versions.contains_key(address));
        let newest = reported_versions.values().flatten().max().copied();
        let version = self.state().version;
        let mut status = self.status();
        if status.store_failed == Some(true)
            && complete
            && newest.is_some_and(|newest| newest > 0 && newest <= version)
        {
            status.synced = true;
        }
    }
}

fn interval(period: Duration) -> time::Interval {
    let mut ticks = time::interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
