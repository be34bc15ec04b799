//! Single changes that are accepted or refused by one rule each.

use std::collections::BTreeSet;

use tanager_fleet::CheckContext;
use tanager_fleet::MAX_FINISHED_WAVES;
use tanager_fleet::apply_entry;
use tanager_fleet::check_change;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::config::ConfigDocument;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::patch::ConfigPatch;

/// Pool a: v0 to v3 in three racks, floor 2. Pool b: empty, floor 0.
fn document() -> ConfigDocument {
    let text = r#"{"site":"s","teams":{},"pools":{"a":{"floor":2},"b":{}},"vms":{
        "v0":{"address":"10.0.0.1:1","pool":"a","zone":"z1","rack":"r2","slots":8},
        "v1":{"address":"10.0.0.2:1","pool":"a","zone":"z1","rack":"r2","slots":8},
        "v2":{"address":"10.0.0.3:1","pool":"a","zone":"z1","rack":"r1","slots":8},
        "v3":{"address":"10.0.0.4:1","pool":"a","zone":"z0","rack":"r9","slots":8}}}"#;
    serde_json::from_str(text).expect("valid document")
}

fn append(state: &mut FleetState, change: FleetChange) -> TanagerResult<()> {
    check_change(state, &change, &CheckContext::default())?;
    let entry = ChangeEntry {
        version: state.version + 1,
        author: "operator".to_owned(),
        token: String::new(),
        change,
    };
    apply_entry(state, &entry)
}

/// Parses a change from its serialised form in the log.
fn parse_change(text: &str) -> FleetChange {
    serde_json::from_str(text).expect("valid change")
}

fn configured_state() -> FleetState {
    let mut state = FleetState::default();
    let document = document();
    append(&mut state, FleetChange::Configure { document }).expect("first configuration");
    state
}

macro_rules! refusal_cases {
    ($($case:ident: [$($before:expr),*], $last:expr => $kind:ident, $words:expr;)*) => {
        $(#[test]
        fn $case() {
            let mut state = configured_state();
            for before in [$($before),*] as [&str; _] {
                append(&mut state, parse_change(before)).expect(before);
            }
            let error = append(&mut state, parse_change($last)).expect_err("must be refused");
            assert_eq!(error.kind, ErrorKind::$kind, "{error}");
            assert!(error.message.contains($words), "{error}");
        })*
    };
}

const MOVE_V0: &str = r#"{"start_move":{"vm":"v0","to":"b"}}"#;
const DRAIN_V0: &str = r#"{"start_drain":{"vm":"v0","reason":"disk"}}"#;
const DRAIN_V1: &str = r#"{"start_drain":{"vm":"v1","reason":"disk"}}"#;
const DRAIN_V2: &str = r#"{"start_drain":{"vm":"v2","reason":"disk"}}"#;
const WAVE: &str = r#"{"start_wave":{"wave":"w","pool":"a"}}"#;
const WAVE_V3: &str = r#"{"step_wave":{"wave":"w","vm":"v3","step":"drain"}}"#;
const REBOOT_V3: &str = r#"{"step_wave":{"wave":"w","vm":"v3","step":"reboot"}}"#;
const ABORT: &str = r#"{"abort_wave":{"wave":"w"}}"#;
const DOWN_V3: &str = r#"{"report_vm":{"vm":"v3","health":"down"}}"#;

refusal_cases! {
    move_while_draining: [DRAIN_V0], MOVE_V0 => Refused, "draining: disk";
    drain_while_moving: [MOVE_V0], DRAIN_V0 => Refused, "moving to pool b";
    commit_without_start: [], r#"{"commit_move":{"vm":"v0"}}"# => Refused, "not moving";
    move_to_own_pool: [], r#"{"start_move":{"vm":"v0","to":"a"}}"# => Refused, "already";
    move_to_unknown_pool: [], r#"{"start_move":{"vm":"v0","to":"c"}}"# => NotFound, "pool";
    move_of_unknown_vm: [], r#"{"start_move":{"vm":"v9","to":"b"}}"# => NotFound, "VM";
    drain_below_floor: [DRAIN_V0, DRAIN_V1], DRAIN_V2 => Refused, "floor is 2";
    drain_after_failure: [DOWN_V3, DRAIN_V0], DRAIN_V1 => Refused, "floor is 2";
    wave_below_floor: [WAVE, DRAIN_V0, DRAIN_V1], WAVE_V3 => Refused, "floor is 2";
    second_wave_of_pool: [WAVE], r#"{"start_wave":{"wave":"x","pool":"a"}}"# => Refused, "wave w";
    wave_over_empty_pool: [], r#"{"start_wave":{"wave":"x","pool":"b"}}"# => Refused, "no VM";
    wave_in_second_rack: [WAVE, WAVE_V3],
        r#"{"step_wave":{"wave":"w","vm":"v2","step":"drain"}}"# => Refused, "another rack";
    wave_skips_reboot: [WAVE, WAVE_V3],
        r#"{"step_wave":{"wave":"w","vm":"v3","step":"return"}}"# => Refused, "does not follow";
    wave_step_while_paused: [WAVE, r#"{"pause_wave":{"wave":"w","reason":"x"}}"#],
        WAVE_V3 => Refused, "not running";
    undrain_of_wave_vm: [WAVE, WAVE_V3], r#"{"end_drain":{"vm":"v3"}}"# => Refused, "wave w";
    finish_before_end: [WAVE], r#"{"finish_wave":{"wave":"w"}}"# => Refused, "not maintained";
    abort_of_aborted_wave: [WAVE, ABORT], ABORT => Refused, "finished or aborted";
    step_after_abort: [WAVE, ABORT], WAVE_V3 => Refused, "not running";
    finish_after_abort: [WAVE, ABORT], r#"{"finish_wave":{"wave":"w"}}"# => Refused, "aborted";
    resume_after_abort: [WAVE, ABORT], r#"{"resume_wave":{"wave":"w"}}"# => Refused, "not paused";
    wave_while_vm_reboots: [WAVE, WAVE_V3, REBOOT_V3, ABORT],
        r#"{"start_wave":{"wave":"x","pool":"a"}}"# => Refused, "wave w";
    undrain_after_abort: [WAVE, WAVE_V3, REBOOT_V3, ABORT],
        r#"{"end_drain":{"vm":"v3"}}"# => Refused, "wave w";
    leave_of_unknown_node: [],
        r#"{"leave_node":{"node":"n","incarnation":1}}"# => NotFound, "registered";
}

macro_rules! configure_cases {
    ($($case:ident: [$($before:expr),*], $edit:expr => $result:expr;)*) => {
        $(#[test]
        fn $case() {
            let mut state = configured_state();
            for before in [$($before),*] as [&str; _] {
                append(&mut state, parse_change(before)).expect(before);
            }
            let mut document = state.document.clone();
            let edit: fn(&mut ConfigDocument) = $edit;
            edit(&mut document);
            let expected: Result<(), &str> = $result;
            match (append(&mut state, FleetChange::Configure { document }), expected) {
                (Ok(()), Ok(())) => {}
                (Err(error), Err(words)) => assert!(error.message.contains(words), "{error}"),
                (result, _) => panic!("{result:?}"),
            }
        })*
    };
}

fn reassign(document: &mut ConfigDocument, vm: &str, pool: &str) {
    document.vms.get_mut(vm).expect("configured").pool = pool.to_owned();
}

fn set_floor(document: &mut ConfigDocument, floor: u32) {
    document.pools.get_mut("a").expect("configured").floor = floor;
}

/// Configures the address of a VM under another name in pool b.
fn reassign_address(document: &mut ConfigDocument, vm: &str, name: &str) {
    let mut config = document.vms.remove(vm).expect("configured");
    config.pool = "b".to_owned();
    document.vms.insert(name.to_owned(), config);
}

const GONE_V0: &str = r#"{"report_vm":{"vm":"v0","health":"gone"}}"#;
const COMMIT_V0: &str = r#"{"commit_move":{"vm":"v0"}}"#;

configure_cases! {
    changed_pool: [], |document| reassign(document, "v0", "b") => Err("use a move");
    old_pool_after_move: [MOVE_V0, COMMIT_V0], |_| {} => Ok(());
    new_pool_after_move: [MOVE_V0, COMMIT_V0], |document| reassign(document, "v0", "b") => Ok(());
    removed_moving_vm: [MOVE_V0],
        |document| { document.vms.remove("v0"); } => Err("moving to pool b");
    removed_draining_vm: [DRAIN_V0], |document| { document.vms.remove("v0"); } => Ok(());
    removed_gone_vm: [GONE_V0], |document| { document.vms.remove("v0"); } => Ok(());
    removed_down_vm: [DOWN_V3], |document| { document.vms.remove("v3"); } => Err("drain it first");
    removed_wave_drain: [WAVE, WAVE_V3],
        |document| { document.vms.remove("v3"); } => Err("in wave w");
    reused_address: [DRAIN_V0],
        |document| reassign_address(document, "v0", "v9") => Err("belongs to vm v0");
    reused_gone_address: [GONE_V0],
        |document| reassign_address(document, "v0", "v9") => Err("belongs to vm v0");
    swapped_addresses: [], |document| {
        let (first, second) = (document.vms["v0"].address, document.vms["v1"].address);
        document.vms.get_mut("v0").expect("configured").address = second;
        document.vms.get_mut("v1").expect("configured").address = first;
    } => Err("belongs to vm");
    removed_wave_vm: [WAVE], |document| { document.vms.remove("v0"); } => Err("in wave w");
    removed_target_pool: [MOVE_V0], |document| { document.pools.remove("b"); } => Err("assigned");
    removed_moved_pool: [MOVE_V0, COMMIT_V0],
        |document| { document.pools.remove("b"); } => Err("assigned");
    removed_empty_pool: [], |document| { document.pools.remove("b"); } => Ok(());
    removed_too_many: [],
        |document| document.vms.retain(|vm, _| vm == "v0") => Err("drain it first");
    removed_idle_vm: [], |document| { document.vms.remove("v0"); } => Err("drain it first");
    floor_above_planned: [DRAIN_V0], |document| set_floor(document, 4) => Err("floor is 4");
    floor_without_planned: [], |document| set_floor(document, 9) => Ok(());
    invalid_document: [], |document| reassign(document, "v0", "nowhere") => Err("not configured");
}

/// Guards against an address that cannot be used again after its VM was removed.
#[test]
fn address_is_free_after_the_removal() {
    let mut state = configured_state();
    append(&mut state, parse_change(DRAIN_V0)).expect("drain");
    let mut renamed = state.document.clone();
    reassign_address(&mut renamed, "v0", "v9");
    let mut removed = state.document.clone();
    removed.vms.remove("v0");
    for document in [removed, renamed] {
        append(&mut state, FleetChange::Configure { document }).expect("allowed");
    }
    assert_eq!(state.vms["v9"].pool, "b");
}

/// Guards against an amendment that bypasses the rules of a whole document, or that leads to
/// another state.
#[test]
fn amendments_follow_the_rules_of_documents() {
    let edits: [fn(&mut ConfigDocument); 5] = [
        |document| set_floor(document, 1),
        |document| reassign(document, "v0", "b"),
        |document| reassign(document, "v0", "nowhere"),
        |document| document.vms.retain(|vm, _| vm == "v0"),
        |document| drop(document.pools.remove("b")),
    ];
    for edit in edits {
        let mut whole = configured_state();
        let mut amended = whole.clone();
        let mut document = whole.document.clone();
        edit(&mut document);
        let patch = ConfigPatch::between(&whole.document, &document);
        let result = append(&mut whole, FleetChange::Configure { document });
        assert_eq!(append(&mut amended, FleetChange::Amend { patch }), result);
        assert_eq!(amended, whole);
    }
    let mut state = configured_state();
    let patch = parse_change(r#"{"amend":{"patch":{"removed_pools":["c"]}}}"#);
    let error = append(&mut state, patch).expect_err("not its document");
    assert_eq!(error.kind, ErrorKind::Invalid);
}

/// Guards against accepting an operator's change that is based on an older state. The error must
/// name the author of the newer change.
#[test]
fn stale_configuration_names_the_author() {
    let state = configured_state();
    let check = |change: &FleetChange, expected: LogVersion| {
        let context = CheckContext {
            expected_version: Some(expected),
            suspects: BTreeSet::new(),
        };
        check_change(&state, change, &context)
    };
    let configure = FleetChange::Configure {
        document: document(),
    };
    let error = check(&configure, 0).expect_err("stale");
    assert_eq!(error.kind, ErrorKind::Conflict);
    assert!(error.message.contains("version 1 by operator"), "{error}");
    assert_eq!(check(&configure, 1), Ok(()));
    let amend = parse_change(r#"{"amend":{"patch":{}}}"#);
    let error = check(&amend, 0).expect_err("stale");
    assert!(error.message.contains("version 1 by operator"), "{error}");
    let error = check(&parse_change(MOVE_V0), 7).expect_err("stale");
    assert_eq!(error.kind, ErrorKind::Conflict);
}

/// Guards against VMs that the proposer suspects but that count as available.
#[test]
fn suspected_vms_count_as_unavailable() {
    let state = configured_state();
    let context = CheckContext {
        expected_version: None,
        suspects: BTreeSet::from(["v2".to_owned(), "v3".to_owned()]),
    };
    let error =
        check_change(&state, &parse_change(DRAIN_V0), &context).expect_err("below the floor");
    assert_eq!(error.kind, ErrorKind::Refused);
}

/// Guards against an entry that its proposer accepts because of its suspects, while replicas
/// without them would ignore it.
#[test]
fn suspicion_does_not_excuse_a_removal() {
    let state = configured_state();
    let suspects = ["v1", "v2", "v3"].map(str::to_owned);
    let mut document = state.document.clone();
    document.vms.retain(|vm, _| vm == "v0");
    let context = CheckContext {
        expected_version: None,
        suspects: BTreeSet::from(suspects),
    };
    let change = FleetChange::Configure { document };
    assert!(check_change(&state, &change, &context).is_err());
}

/// Guards against VMs that stay out of service after their wave was aborted, and against a VM that
/// returns to service while it is being rebooted.
#[test]
fn aborted_wave_returns_its_vms() {
    let mut state = configured_state();
    let drain_v1 = r#"{"step_wave":{"wave":"x","vm":"v1","step":"drain"}}"#;
    let return_v3 = r#"{"step_wave":{"wave":"w","vm":"v3","step":"return"}}"#;
    for text in [WAVE, WAVE_V3, ABORT] {
        append(&mut state, parse_change(text)).expect(text);
    }
    assert_eq!(state.vms["v3"].activity, VmActivity::Active);
    assert_eq!(state.waves["w"].waiting, ["v3", "v2", "v0", "v1"]);
    assert!(state.waves["w"].is_over());
    state.waves.clear();
    let pause = r#"{"pause_wave":{"wave":"w","reason":"x"}}"#;
    for text in [WAVE, WAVE_V3, REBOOT_V3, pause, ABORT] {
        append(&mut state, parse_change(text)).expect(text);
    }
    assert!(matches!(
        state.vms["v3"].activity,
        VmActivity::Draining { .. }
    ));
    assert!(!state.waves["w"].is_over());
    append(&mut state, parse_change(return_v3)).expect("it is healthy");
    assert_eq!(state.vms["v3"].activity, VmActivity::Active);
    assert!(state.waves["w"].is_over());
    append(
        &mut state,
        parse_change(r#"{"start_wave":{"wave":"x","pool":"a"}}"#),
    )
    .expect("next");
    append(&mut state, parse_change(drain_v1)).expect("any rack may be first");
}

/// Guards against a wave in the wrong order, and against finished waves that accumulate in the
/// state.
#[test]
fn waves_run_in_order_and_old_ones_are_dropped() {
    let mut state = configured_state();
    let total = MAX_FINISHED_WAVES + 5;
    for index in 0..total {
        let wave = format!("w{index}");
        let start = FleetChange::StartWave {
            wave: wave.clone(),
            pool: "a".to_owned(),
        };
        append(&mut state, start).expect("start");
        assert_eq!(state.waves[&wave].waiting, ["v3", "v2", "v0", "v1"]);
        for vm in ["v3", "v2", "v0", "v1"] {
            for step in ["drain", "reboot", "return"] {
                let text =
                    format!(r#"{{"step_wave":{{"wave":"{wave}","vm":"{vm}","step":"{step}"}}}}"#);
                append(&mut state, parse_change(&text)).expect(&text);
            }
        }
        append(&mut state, FleetChange::FinishWave { wave }).expect("finish");
    }
    assert_eq!(state.waves.len(), MAX_FINISHED_WAVES);
    assert!(state.waves.contains_key(&format!("w{}", total - 1)));
    assert!(!state.waves.contains_key("w0"));
}

/// Guards against gaps and repeated versions in the log.
#[test]
fn versions_must_be_consecutive() {
    let mut state = configured_state();
    for version in [0, 1, 3, LogVersion::MAX] {
        let entry = ChangeEntry {
            version,
            author: String::new(),
            token: String::new(),
            change: parse_change(MOVE_V0),
        };
        let before = state.clone();
        assert!(apply_entry(&mut state, &entry).is_err());
        assert_eq!(state, before);
    }
}
