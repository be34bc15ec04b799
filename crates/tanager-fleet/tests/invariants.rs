//! Random proposals from several proposers, checked and applied as by the change log. R1: planned
//! work never takes a pool below its floor. R2: every VM belongs to exactly one pool, which changes
//! only by a move.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

use tanager_fleet::CheckContext;
use tanager_fleet::apply_entry;
use tanager_fleet::available_vms;
use tanager_fleet::check_change;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::config::ConfigDocument;
use tanager_protocol::config::PoolConfig;
use tanager_protocol::config::VmConfig;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::fleet::WaveStatus;
use tanager_protocol::fleet::WaveStep;

const POOLS: u8 = 3;
const VMS: u8 = 9;

/// A proposed change, with the lag of the proposer's replica in entries and the VMs that it
/// suspects.
#[derive(Clone, Debug)]
struct ProposedChange {
    lag: usize,
    suspects: BTreeSet<String>,
    change: FleetChange,
}

fn document(floors: &[u32], pools: &[u8], present: u16) -> ConfigDocument {
    let mut document = ConfigDocument {
        site: "hallein".to_owned(),
        ..ConfigDocument::default()
    };
    for (index, floor) in floors.iter().enumerate() {
        let config = PoolConfig {
            floor: *floor,
            ..PoolConfig::default()
        };
        document.pools.insert(format!("p{index}"), config);
    }
    for (index, pool) in (0..VMS).zip(pools) {
        if present & (1 << index) == 0 || usize::from(*pool) >= floors.len() {
            continue;
        }
        let config = VmConfig {
            address: ([10, 0, 0, index], 80).into(),
            pool: format!("p{pool}"),
            zone: format!("z{}", index % 2),
            rack: format!("r{}", index / 4),
            slots: 8,
        };
        document.vms.insert(format!("v{index}"), config);
    }
    document
}

fn any_change() -> impl Strategy<Value = FleetChange> {
    let vm = || (0..VMS).prop_map(|index| format!("v{index}"));
    let pool = || (0..POOLS).prop_map(|index| format!("p{index}"));
    let wave = || (0..3u8).prop_map(|index| format!("w{index}"));
    let health = prop_oneof![
        4 => Just(VmHealth::Up),
        1 => Just(VmHealth::Down),
        1 => Just(VmHealth::Leaving),
        1 => Just(VmHealth::Gone),
    ];
    let step = prop_oneof![
        Just(WaveStep::Drain),
        Just(WaveStep::Reboot),
        Just(WaveStep::Return)
    ];
    let floors = proptest::collection::vec(0..3u32, 2..=usize::from(POOLS));
    let pools = proptest::collection::vec(0..POOLS, usize::from(VMS));
    let present = prop_oneof![3 => Just(u16::MAX), 1 => any::<u16>()];
    prop_oneof![
        2 => (floors, pools, present).prop_map(|(floors, pools, present)| {
            FleetChange::Configure { document: document(&floors, &pools, present) }
        }),
        2 => (vm(), health).prop_map(|(vm, health)| FleetChange::ReportVm { vm, health }),
        4 => (vm(), pool()).prop_map(|(vm, to)| FleetChange::StartMove { vm, to }),
        3 => vm().prop_map(|vm| FleetChange::CommitMove { vm }),
        1 => vm().prop_map(|vm| FleetChange::AbortMove { vm }),
        2 => vm().prop_map(|vm| FleetChange::StartDrain { vm, reason: "test".to_owned() }),
        2 => vm().prop_map(|vm| FleetChange::EndDrain { vm }),
        2 => (wave(), pool()).prop_map(|(wave, pool)| FleetChange::StartWave { wave, pool }),
        1 => wave().prop_map(|wave| FleetChange::PauseWave { wave, reason: "test".to_owned() }),
        1 => wave().prop_map(|wave| FleetChange::ResumeWave { wave }),
        1 => wave().prop_map(|wave| FleetChange::AbortWave { wave }),
        6 => (wave(), vm(), step)
            .prop_map(|(wave, vm, step)| FleetChange::StepWave { wave, vm, step }),
        2 => wave().prop_map(|wave| FleetChange::FinishWave { wave }),
    ]
}

fn any_proposal() -> impl Strategy<Value = ProposedChange> {
    let suspects = proptest::collection::btree_set((0..VMS).prop_map(|vm| format!("v{vm}")), 0..2);
    (0..3usize, suspects, any_change()).prop_map(|(lag, suspects, change)| ProposedChange {
        lag,
        suspects,
        change,
    })
}

/// Updates the pool of each VM from an accepted change alone, independently of the VM records.
fn record_assignment(
    assigned_pools: &mut BTreeMap<String, String>,
    before: &FleetState,
    change: &FleetChange,
) {
    match change {
        FleetChange::Configure { document } => {
            assigned_pools.retain(|vm, _| document.vms.contains_key(vm));
            for (vm, config) in &document.vms {
                assigned_pools
                    .entry(vm.clone())
                    .or_insert_with(|| config.pool.clone());
            }
        }
        FleetChange::CommitMove { vm } => {
            if let VmActivity::Moving { to, .. } = &before.vms[vm].activity {
                assigned_pools.insert(vm.clone(), to.clone());
            }
        }
        _ => {}
    }
}

fn assert_floor(before: &FleetState, after: &FleetState, change: &FleetChange) {
    if matches!(change, FleetChange::ReportVm { .. }) {
        // A failure may reduce a pool below its floor.
        return;
    }
    let no_suspects = BTreeSet::new();
    for (pool, config) in &after.document.pools {
        let available = available_vms(after, pool, &no_suspects);
        let reduced = available < available_vms(before, pool, &no_suspects);
        assert!(
            !reduced || available >= config.floor,
            "R1: {change:?} leaves {available} of floor {} in {pool}",
            config.floor
        );
        let has_planned_work = after
            .vms
            .values()
            .any(|record| record.pool == *pool && record.activity != VmActivity::Active);
        let floor_raised =
            before.document.pools.get(pool).map_or(0, |pool| pool.floor) < config.floor;
        assert!(
            !(has_planned_work && floor_raised) || available >= config.floor,
            "R1: raised floor of {pool}"
        );
    }
}

fn assert_assignment(state: &FleetState, assigned_pools: &BTreeMap<String, String>) {
    let recorded: BTreeMap<String, String> = state
        .vms
        .iter()
        .map(|(vm, record)| (vm.clone(), record.pool.clone()))
        .collect();
    assert_eq!(
        &recorded, assigned_pools,
        "R2: pools differ from the accepted changes"
    );
    assert!(state.vms.keys().eq(state.document.vms.keys()));
    for (vm, record) in &state.vms {
        assert!(
            state.document.pools.contains_key(&record.pool),
            "R2: {vm} has no pool"
        );
        if let VmActivity::Moving { to, .. } = &record.activity {
            assert!(
                state.document.pools.contains_key(to),
                "R2: {vm} moves to no pool"
            );
        }
    }
    for wave in state.waves.values() {
        if wave.status == WaveStatus::Aborted {
            let mut steps = wave.running.iter().map(|(_, step)| *step);
            assert!(steps.all(|step| step == WaveStep::Reboot));
        }
        if wave.status == WaveStatus::Finished {
            assert!(wave.running.is_empty());
        }
        for (vm, _) in &wave.running {
            assert!(
                matches!(state.vms[vm].activity, VmActivity::Draining { .. }),
                "{vm}"
            );
        }
    }
}

/// Runs the proposals and returns the number of accepted ones.
fn run_proposals(proposals: &[ProposedChange]) -> usize {
    let mut states = vec![FleetState::default()];
    let mut assigned_pools = BTreeMap::new();
    let start = ProposedChange {
        lag: 0,
        suspects: BTreeSet::new(),
        change: FleetChange::Configure {
            document: document(&[1, 1, 0], &[0, 0, 0, 1, 1, 1, 2, 2, 2], u16::MAX),
        },
    };
    for proposal in std::iter::once(&start).chain(proposals) {
        let context = CheckContext {
            expected_version: None,
            suspects: proposal.suspects.clone(),
        };
        // A lagging proposer fails to append its entry, catches up and checks the change again.
        let lagging = &states[states.len().saturating_sub(1 + proposal.lag)];
        let _ = check_change(lagging, &proposal.change, &context);
        let newest = states.last().expect("never empty");
        if check_change(newest, &proposal.change, &context).is_err() {
            continue;
        }
        let entry = ChangeEntry {
            version: newest.version + 1,
            author: "test".to_owned(),
            token: String::new(),
            change: proposal.change.clone(),
        };
        let mut after = newest.clone();
        apply_entry(&mut after, &entry).expect("consecutive");
        let mut ignored = newest.clone();
        ignored.version += 1;
        assert_ne!(
            after, ignored,
            "an accepted change was ignored: {:?}",
            entry.change
        );
        record_assignment(&mut assigned_pools, newest, &entry.change);
        assert_floor(newest, &after, &entry.change);
        assert_assignment(&after, &assigned_pools);
        states.push(after);
    }
    states.len() - 1
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(seed),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(20_261_204))]

    /// Guards against races of proposers and wrong suspicions that violate R1 or R2.
    #[test]
    fn accepted_changes_keep_floor_and_ownership(
        proposals in proptest::collection::vec(any_proposal(), 150)
    ) {
        prop_assert!(run_proposals(&proposals) > 5,
            "too few proposals were accepted to test anything");
    }

    /// Guards against entries of a faulty proposer: entries that are not allowed must neither panic
    /// nor violate R1.
    #[test]
    fn unchecked_entries_are_harmless(
        changes in proptest::collection::vec(any_change(), 150)
    ) {
        let mut state = FleetState::default();
        for (version, change) in (1..).zip(changes) {
            let before = state.clone();
            let entry = ChangeEntry {
                version,
                author: "test".to_owned(),
                token: String::new(),
                change,
            };
            apply_entry(&mut state, &entry).expect("consecutive");
            assert_floor(&before, &state, &entry.change);
        }
    }
}
