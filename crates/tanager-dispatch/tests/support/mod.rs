//! Builders and accessors shared by the tests.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_dispatch::DispatchAction;
use tanager_dispatch::DispatchCore;
use tanager_dispatch::DispatchSettings;
use tanager_dispatch::RequestKey;
use tanager_protocol::config::PoolConfig;
use tanager_protocol::config::VmConfig;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::fleet::VmRecord;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::request::RequestPriority;
use tanager_protocol::request::RequestSummary;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Fleet with pools of `(name, VMs, slots per VM)`; VMs are named `{pool}-{index}`.
pub fn new_fleet(pools: &[(&str, u32, u32)]) -> FleetState {
    let mut state = FleetState {
        version: 1,
        ..FleetState::default()
    };
    let mut port = 1_000;
    for (pool, vms, slots) in pools {
        let name = (*pool).to_owned();
        state
            .document
            .pools
            .insert(name.clone(), PoolConfig::default());
        for index in 0..*vms {
            port += 1;
            let vm = format!("{pool}-{index}");
            let config = VmConfig {
                address: ([10, 0, 0, 1], port).into(),
                pool: name.clone(),
                zone: format!("zone-{}", index % 3),
                rack: format!("rack-{}", index / 4),
                slots: *slots,
            };
            state.document.vms.insert(vm.clone(), config);
            let record = VmRecord {
                pool: name.clone(),
                activity: VmActivity::Active,
                health: VmHealth::Up,
                version: 1,
            };
            state.vms.insert(vm, record);
        }
    }
    state
}

pub fn new_core(state: &FleetState) -> DispatchCore {
    let mut core = DispatchCore::new(DispatchSettings::default(), 7);
    core.update_fleet_state(ms(0), state);
    core
}

pub fn request(pool: &str, team: &str, priority: RequestPriority) -> RequestSummary {
    RequestSummary {
        pool: pool.to_owned(),
        team: team.to_owned(),
        priority,
        timeout: Duration::from_secs(300),
        idempotent: true,
        needs_claim: false,
        slots: 1,
    }
}

pub fn normal_request(pool: &str) -> RequestSummary {
    request(pool, "team", RequestPriority::Normal)
}

/// VM of each `Send` action, by request.
pub fn sent_vms(actions: &[DispatchAction]) -> BTreeMap<RequestKey, String> {
    actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Send { key, vm, .. } => Some((*key, vm.clone())),
            _ => None,
        })
        .collect()
}

/// Reason for the refusal of a request, if it was refused.
pub fn refusal_reason(actions: &[DispatchAction], wanted: RequestKey) -> Option<NotRunReason> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Refuse { key, reason, .. } if *key == wanted => Some(*reason),
        _ => None,
    })
}

pub fn is_finished(actions: &[DispatchAction], wanted: RequestKey) -> bool {
    actions.contains(&DispatchAction::Finish { key: wanted })
}
