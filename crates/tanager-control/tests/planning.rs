//! Tests of the coordinators' decisions with a simulated clock.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use tanager_control::health::HealthReporter;
use tanager_control::health::VmListReader;
use tanager_control::moves::FleetView;
use tanager_control::waves::RebootResult;
use tanager_control::waves::WaveAction;
use tanager_control::waves::WaveCoordinator;
use tanager_fleet::apply_entry;
use tanager_platform::VmListing;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmHealth;

use support::document;

const GRACE_PERIOD: Duration = Duration::from_secs(30);
const TIMEOUT: Duration = Duration::from_secs(600);

fn append(state: &mut FleetState, change: FleetChange) {
    let entry = ChangeEntry {
        version: state.version + 1,
        author: "test".to_owned(),
        token: String::new(),
        change,
    };
    apply_entry(state, &entry).expect("consecutive");
}

fn parse(text: &str) -> FleetChange {
    serde_json::from_str(text).expect("valid change")
}

fn report(vm: &str, health: VmHealth) -> FleetChange {
    let vm = vm.to_owned();
    FleetChange::ReportVm { vm, health }
}

/// Calls `plan` with a view in which this node is the home of every name and every VM is drained.
fn with_view<T>(
    state: &FleetState,
    suspects: &[&str],
    now: Instant,
    plan: impl FnOnce(&FleetView<'_>) -> T,
) -> T {
    let suspects: BTreeSet<String> = suspects.iter().map(|vm| (*vm).to_owned()).collect();
    plan(&FleetView {
        state,
        suspects: &suspects,
        now,
        is_home: &|_| true,
        is_drained: &|_| true,
    })
}

/// Returns a state with a wave that is to reboot VM a0 and may start no other VM.
fn rebooting() -> FleetState {
    let mut state = FleetState::default();
    let mut document = document();
    document.pools.get_mut("a").expect("configured").floor = 2;
    append(&mut state, FleetChange::Configure { document });
    append(
        &mut state,
        parse(r#"{"start_wave":{"wave":"w","pool":"a"}}"#),
    );
    for step in ["drain", "reboot"] {
        let text = format!(r#"{{"step_wave":{{"wave":"w","vm":"a0","step":"{step}"}}}}"#);
        append(&mut state, parse(&text));
    }
    state
}

fn step_return() -> Vec<WaveAction> {
    let text = r#"{"step_wave":{"wave":"w","vm":"a0","step":"return"}}"#;
    vec![WaveAction::Propose(parse(text))]
}

fn reboot() -> Vec<WaveAction> {
    vec![WaveAction::Reboot("a0".to_owned())]
}

macro_rules! reboot_cases {
    ($($(#[$doc:meta])* $case:ident: $result:ident, [$(($after:expr, $suspects:expr)),*]
        => $expected:expr;)*) => {
        $($(#[$doc])* #[test]
        fn $case() {
            let state = rebooting();
            let start = Instant::now();
            let mut waves = WaveCoordinator::new(GRACE_PERIOD, TIMEOUT);
            let mut plan = |after: u64, suspects: &[&str]| {
                let now = start + Duration::from_secs(after);
                let actions = with_view(&state, suspects, now, |view| waves.plan(view));
                if actions == reboot() {
                    waves.record_reboot("a0", RebootResult::$result, now);
                }
                actions
            };
            assert_eq!(plan(0, &[]), reboot());
            assert_eq!(plan(1, &[]), []);
            let plans = [$(plan($after, $suspects)),*];
            assert_eq!(plans.last(), Some(&$expected));
        })*
    };
}

reboot_cases! {
    /// Guards against a VM that returns to service while it is still down.
    reboot_waits_while_down: Accepted, [(5, &["a0"]), (31, &["a0"])] => Vec::new();
    /// Guards against waiting for the grace period when the VM was observed down and up again.
    reboot_ends_when_back: Accepted, [(5, &["a0"]), (9, &[])] => step_return();
    /// Guards against a wave that stalls because the VM was up again before it was observed down.
    reboot_ends_after_the_grace_period: Accepted, [(30, &[])] => step_return();
    /// Guards against a VM that returns without a reboot because the request was lost.
    lost_reboot_is_repeated: Unknown, [(30, &[])] => reboot();
    /// Guards against a second reboot of a VM in service when only the response was lost.
    observed_reboot_is_not_repeated: Unknown, [(5, &["a0"]), (9, &[])] => step_return();
    /// Guards against requests in quick succession to a platform that refuses them.
    refused_reboot_is_repeated: Failed, [(3, &[])] => reboot();
}

/// Guards against a wave that waits forever for a VM that does not come up, without a notice to the
/// operator, and against repeated pauses after the operator resumes it.
#[test]
fn overdue_reboot_pauses_once() {
    let state = rebooting();
    let start = Instant::now();
    let mut waves = WaveCoordinator::new(GRACE_PERIOD, TIMEOUT);
    let mut plan = |after| with_view(&state, &["a0"], start + after, |view| waves.plan(view));
    plan(Duration::ZERO);
    let reason = "vm a0 is not back after its reboot".to_owned();
    let wave = "w".to_owned();
    let pause = FleetChange::PauseWave { wave, reason };
    assert_eq!(plan(TIMEOUT), [WaveAction::Propose(pause.clone())]);
    assert!(!plan(TIMEOUT * 2).contains(&WaveAction::Propose(pause)));
}

/// Guards against a reboot that is requested after the wave was aborted, and against a VM that
/// returns before an earlier reboot can have ended, or never returns.
#[test]
fn aborted_wave_returns_a_healthy_vm_without_a_reboot() {
    let mut state = rebooting();
    append(&mut state, parse(r#"{"abort_wave":{"wave":"w"}}"#));
    let start = Instant::now();
    for (observations, expected) in [
        (vec![(29, vec![])], Vec::new()),
        (vec![(30, vec![])], step_return()),
        (vec![(5, vec!["a0"]), (31, vec!["a0"])], Vec::new()),
        (vec![(5, vec!["a0"]), (6, vec![])], step_return()),
    ] {
        let mut waves = WaveCoordinator::new(GRACE_PERIOD, TIMEOUT);
        let mut plan = |after, suspects: &[&str]| {
            let now = start + Duration::from_secs(after);
            with_view(&state, suspects, now, |view| waves.plan(view))
        };
        assert_eq!(plan(0, &[]), []);
        let plans: Vec<_> = observations
            .iter()
            .map(|(after, suspects)| plan(*after, suspects))
            .collect();
        assert_eq!(plans.last(), Some(&expected), "{observations:?}");
    }
}

/// Guards against a VM that no longer exists and keeps its wave from finishing.
#[test]
fn gone_vm_completes_its_wave_step() {
    let mut state = rebooting();
    append(&mut state, report("a0", VmHealth::Gone));
    let mut waves = WaveCoordinator::new(GRACE_PERIOD, TIMEOUT);
    let actions = with_view(&state, &[], Instant::now(), |view| waves.plan(view));
    assert_eq!(actions[0], step_return()[0]);
    assert!(matches!(
        &actions[1],
        WaveAction::Propose(FleetChange::PauseWave { .. })
    ));
}

/// Guards against a new coordinator that pauses a wave because of failures from before the wave, or
/// continues it in spite of a failure that its predecessor did not observe.
#[test]
fn new_coordinator_ignores_failures_before_the_wave() {
    let mut state = FleetState::default();
    let document = document();
    append(&mut state, FleetChange::Configure { document });
    append(&mut state, report("a2", VmHealth::Down));
    append(
        &mut state,
        parse(r#"{"start_wave":{"wave":"w","pool":"a"}}"#),
    );
    let first_action = |state: &FleetState| {
        let mut waves = WaveCoordinator::new(GRACE_PERIOD, TIMEOUT);
        let actions = with_view(state, &[], Instant::now(), |view| waves.plan(view));
        match &actions[0] {
            WaveAction::Propose(change) => change.kind(),
            WaveAction::Reboot(_) => "reboot",
        }
    };
    assert_eq!(first_action(&state), "step_wave");
    append(&mut state, report("a1", VmHealth::Down));
    assert_eq!(first_action(&state), "pause_wave");
}

/// Guards R1: other proposers must learn of a failure that only the home's probes observe. Guards
/// also against reports of a short suspicion.
#[test]
fn lasting_suspicion_is_reported() {
    let mut state = FleetState::default();
    let document = document();
    append(&mut state, FleetChange::Configure { document });
    let start = Instant::now();
    let mut reporter = HealthReporter::default();
    let mut plan = |state: &FleetState, after, suspects: &[&str]| {
        let now = start + Duration::from_secs(after);
        with_view(state, suspects, now, |view| reporter.plan(view))
    };
    assert_eq!(plan(&state, 0, &["a0"]), []);
    assert_eq!(plan(&state, 2, &[]), []);
    assert_eq!(plan(&state, 3, &["a0"]), []);
    assert_eq!(plan(&state, 6, &["a0"]), [report("a0", VmHealth::Down)]);
    append(&mut state, report("a0", VmHealth::Down));
    assert_eq!(plan(&state, 7, &[]), []);
    assert_eq!(plan(&state, 16, &[]), []);
    assert_eq!(plan(&state, 17, &[]), [report("a0", VmHealth::Up)]);
}

/// Guards against a list that overrules probes, and against a list that is never read again because
/// its versions were reset to a lower one.
#[test]
fn list_does_not_overrule_probes() {
    let mut state = FleetState::default();
    let document = document();
    append(&mut state, FleetChange::Configure { document });
    append(&mut state, report("a0", VmHealth::Down));
    append(&mut state, report("a1", VmHealth::Leaving));
    let listing = |text: &str| -> VmListing { serde_json::from_str(text).expect("listing") };
    let mut reader = VmListReader::default();
    reader.record(listing(
        r#"{"version":9,"vms":[{"vm":"a0","state":"live"},{"vm":"a1","state":"live"},
            {"vm":"a2","state":"gone"},{"vm":"unknown","state":"gone"}]}"#,
    ));
    assert_eq!(reader.since(), 9);
    let expected = [report("a1", VmHealth::Up), report("a2", VmHealth::Gone)];
    assert_eq!(reader.plan(&state, &|_, _| true), expected);
    reader.record(listing(r#"{"version":2,"vms":[]}"#));
    assert_eq!(reader.since(), 0);
}
