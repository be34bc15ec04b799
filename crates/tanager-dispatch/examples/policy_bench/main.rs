//! Compares flood protection, buffer cost, moves and waves of four policies on two sites with the
//! same arrivals. Prints a Markdown table per site, and the targets that each policy meets.

mod control;
mod dispatcher;
mod report;
mod run;
mod site;
mod worker;

use std::time::Duration;

use crate::dispatcher::Policy;
use crate::report::PolicyFigures;
use crate::report::measure_policy;
use crate::site::SITES;
use crate::site::Timeline;

/// Seeds of the two sites.
const SEEDS: [u64; 2] = [20_261, 20_262];

fn main() {
    let timeline = Timeline {
        end: 300.0,
        arrivals_end: 300.0,
        floods: [(50.0, 28.0), (90.0, 28.0)],
        surge_interval: 10.0,
        surge_length: 8.0,
        failing_period: (125.0, 150.0),
        cancel_times: vec![45.0, 122.0, 160.0],
        waves: [20.0, 160.0],
        rack_outage: (175.0, 195.0),
        lasting_load: None,
    };
    let coinciding_floods = Timeline {
        floods: [(40.0, 28.0), (80.0, 28.0)],
        ..timeline.clone()
    };
    let lasting_load = Timeline {
        lasting_load: Some((60.0, 5.0)),
        ..timeline.clone()
    };
    for (site, seed) in SITES.iter().zip(SEEDS) {
        println!("### {}\n", site.name);
        let figures: Vec<PolicyFigures> = Policy::ALL
            .into_iter()
            .map(|policy| {
                measure_policy(
                    site,
                    &timeline,
                    &coinciding_floods,
                    &lasting_load,
                    policy,
                    seed,
                )
            })
            .collect();
        print_table(&figures);
        for row in &figures {
            println!("\nAims, {}:\n", row.policy.name());
            for (target, met) in row.check_targets() {
                println!("- {target}: {}", if met { "met" } else { "missed" });
            }
        }
        println!();
    }
}

/// Label of a row and its text for one policy.
type TableRow = (&'static str, fn(&PolicyFigures) -> String);

fn print_table(figures: &[PolicyFigures]) {
    let rows: [TableRow; 18] = [
        ("kept in batch flood, least kind", |row| kept(&row.kept[0])),
        ("kept in urgent flood, least kind", |row| kept(&row.kept[1])),
        ("kept, batch flood during own surge", |row| {
            kept(&row.kept_in_own_surge[0])
        }),
        ("kept, urgent flood during own surge", |row| {
            kept(&row.kept_in_own_surge[1])
        }),
        ("p99 start delay, urgent", |row| {
            seconds(row.start_delays[0].0)
        }),
        ("greatest start delay, urgent", |row| {
            seconds(row.start_delays[0].1)
        }),
        ("urgent requests not started in 9.9 s", |row| {
            row.late_urgent_count.to_string()
        }),
        ("p99 start delay, normal", |row| {
            seconds(row.start_delays[1].0)
        }),
        ("p99 start delay, batch", |row| {
            seconds(row.start_delays[2].0)
        }),
        ("useful requests per slot-second", |row| {
            format!("{:.3}", row.useful_share.0)
        }),
        ("useful leased work per slot-second", |row| {
            format!("{:.3}", row.useful_share.1)
        }),
        ("idle in reserve", |row| percent(row.idle_share)),
        ("withheld by adapted limits", |row| {
            percent(row.limited_share)
        }),
        ("moves, short surges", |row| row.moves.0.to_string()),
        ("moves, lasting load", |row| row.moves.1.to_string()),
        ("full wave / shortest", |row| times(row.wave_ratios[0])),
        ("wave with lost rack / shortest", |row| {
            times(row.wave_ratios[1])
        }),
        ("floor violations", |row| row.floor_violations.to_string()),
    ];
    let names: Vec<&str> = figures.iter().map(|row| row.policy.name()).collect();
    println!("| figure | {} |", names.join(" | "));
    println!("|---|{}", "---|".repeat(names.len()));
    for (label, text) in rows {
        let cells: Vec<String> = figures.iter().map(text).collect();
        println!("| {label} | {} |", cells.join(" | "));
    }
    let failed: Vec<String> = figures
        .iter()
        .map(|row| row.failed_requests.to_string())
        .collect();
    println!(
        "| requests lost to failing workers | {} |",
        failed.join(" | ")
    );
}

fn kept((share, kind): &(f64, String)) -> String {
    format!("{} ({kind})", percent(*share))
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

fn seconds(time: Duration) -> String {
    format!("{:.2} s", time.as_secs_f64())
}

fn times(ratio: Option<f64>) -> String {
    ratio.map_or_else(|| "not finished".to_owned(), |ratio| format!("{ratio:.2}"))
}
