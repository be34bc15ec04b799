//! A small version of the policy benchmark with fixed seeds. The targets bound counts of simulated
//! events, so the result does not depend on wall-clock time.
#![allow(dead_code, missing_docs)]

#[path = "../examples/policy_bench/control.rs"]
mod control;
#[path = "../examples/policy_bench/dispatcher.rs"]
mod dispatcher;
#[path = "../examples/policy_bench/report.rs"]
mod report;
#[path = "../examples/policy_bench/run.rs"]
mod run;
#[path = "../examples/policy_bench/site.rs"]
mod site;
#[path = "../examples/policy_bench/worker.rs"]
mod worker;

use crate::dispatcher::Policy;
use crate::report::PolicyFigures;
use crate::report::measure_policy;
use crate::site::SITES;
use crate::site::Site;
use crate::site::Timeline;

fn figures(site: &Site, policy: Policy, seed: u64) -> PolicyFigures {
    let timeline = Timeline {
        end: 105.0,
        arrivals_end: 75.0,
        floods: [(25.0, 8.0), (45.0, 8.0)],
        surge_interval: 5.0,
        surge_length: 4.0,
        failing_period: (60.0, 70.0),
        cancel_times: vec![15.0, 58.0, 75.0],
        waves: [2.0, 2.0],
        rack_outage: (20.0, 35.0),
        lasting_load: None,
    };
    let coinciding_floods = Timeline {
        floods: [(20.0, 8.0), (40.0, 8.0)],
        ..timeline.clone()
    };
    let lasting_load = Timeline {
        lasting_load: Some((5.0, 5.0)),
        ..timeline.clone()
    };
    measure_policy(
        site,
        &timeline,
        &coinciding_floods,
        &lasting_load,
        policy,
        seed,
    )
}

/// Defines one test per site and seed.
macro_rules! sites {
    ($($(#[doc = $guard:literal])+ $name:ident: $site:expr, seed $seed:literal;)*) => {
        $($(#[doc = $guard])+ #[test] fn $name() {
            let figures = figures(&SITES[$site], Policy::Tanagerladder, $seed);
            for (target, met) in figures.check_targets() {
                assert!(met, "{target}: {:?} {:?} {}",
                    figures.kept, figures.kept_in_own_surge, figures.late_urgent_count);
            }
            assert!(figures.moves.1 > 0, "a lasting load must cause a move");
            assert!(figures.failed_requests <= 40,
                "{} requests lost to failing workers", figures.failed_requests);
            assert!(figures.wave_ratios[1].is_some(), "the wave must survive the loss of a rack");
        })*
    };
}

sites! {
    /// Guards against a policy change that misses a target at the site that weights flood
    /// protection.
    hallein_meets_the_aims: 0, seed 5;
    /// Guards against a policy change that misses a target at the site that weights buffer cost and
    /// moves.
    nilebite_meets_the_aims: 1, seed 6;
}

/// Guards against a benchmark whose floods are harmless, so that every policy would pass.
#[test]
fn floods_harm_an_unprotected_pool() {
    let figures = figures(&SITES[0], Policy::NoProtection, 5);
    let least = |kept: &[(f64, String); 2]| kept.iter().all(|(share, _)| *share < 0.8);
    assert!(least(&figures.kept), "{:?}", figures.kept);
}
