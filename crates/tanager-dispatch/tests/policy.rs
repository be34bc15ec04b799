//! A small version of the policy benchmark with fixed seeds. The aims are bounds on counts of
//! simulated events; no wall-clock time decides.
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
use crate::report::measure;
use crate::site::SITES;
use crate::site::Site;
use crate::site::Timeline;

fn figures(site: &Site, policy: Policy, seed: u64) -> PolicyFigures {
    let timeline = Timeline {
        end: 105.0,
        load_end: 75.0,
        floods: [(25.0, 8.0), (45.0, 8.0)],
        turn: 5.0,
        surge: 4.0,
        failing: (60.0, 70.0),
        cancels: vec![15.0, 58.0, 75.0],
        waves: [2.0, 2.0],
        rack_lost: (20.0, 35.0),
        lasting: None,
    };
    let coincident = Timeline {
        floods: [(20.0, 8.0), (40.0, 8.0)],
        ..timeline.clone()
    };
    let lasting = Timeline {
        lasting: Some((5.0, 5.0)),
        ..timeline.clone()
    };
    measure(site, &timeline, &coincident, &lasting, policy, seed)
}

/// Names each case: site, seed.
macro_rules! sites {
    ($($(#[doc = $guard:literal])+ $name:ident: $site:expr, seed $seed:literal;)*) => {
        $($(#[doc = $guard])+ #[test] fn $name() {
            let figures = figures(&SITES[$site], Policy::Ours, $seed);
            for (aim, met) in figures.aims() {
                assert!(met, "{aim}: {:?} {:?} {}", figures.kept, figures.kept_surge, figures.urgent_late);
            }
            assert!(figures.moves.1 > 0, "a lasting load must cause a move");
            assert!(figures.failed <= 40, "{} requests lost to failing workers", figures.failed);
            assert!(figures.waves[1].is_some(), "the wave must survive the loss of a rack");
        })*
    };
}

sites! {
    /// A change of the policy that misses an aim at the site that weights flood protection.
    hallein_meets_the_aims: 0, seed 5;
    /// A change of the policy that misses an aim at the site that weights buffer cost and moves.
    nilebite_meets_the_aims: 1, seed 6;
}

/// A benchmark whose floods harm nobody, so that every policy would pass.
#[test]
fn floods_harm_an_unprotected_pool() {
    let figures = figures(&SITES[0], Policy::NoProtection, 5);
    let least = |kept: &[(f64, String); 2]| kept.iter().all(|(share, _)| *share < 0.8);
    assert!(least(&figures.kept), "{:?}", figures.kept);
}
