//! Guards against invalid settings that are accepted silently, and against errors that do not name
//! their location.

use std::time::Duration;

use tanager_settings::NodeSettings;

const VALID: &str = "\
[node]
name = entry-1
region = salzach
zone = hallein-a
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
admin_address = 127.0.0.1:0

[platform]
address = 127.0.0.1:7000

[admin]
root_token = 0123456789abcdef
";

#[test]
fn defaults_apply() {
    let settings = NodeSettings::parse("node.ini", VALID).expect("valid");
    assert_eq!(settings.max_body, 4 << 20);
    assert_eq!(settings.claim_retention, Duration::from_secs(12 * 3_600));
    assert_eq!(settings.stop_delay, Duration::from_secs(5));
    assert!(settings.seeds.is_empty());
    assert!(!settings.rebalance);
    assert_eq!(settings.move_cost, Duration::from_secs(30));
}

#[test]
fn all_values_are_read() {
    let text = format!(
        "{VALID}\n[peers]\nseeds = 127.0.0.1:1, 127.0.0.1:2\n[limits]\nmax_body = 64KiB\n\
         default_timeout = 2m\nprobe_interval = 250ms\n\
         [control]\nrebalance = on\nmove_cost = 10s\n"
    );
    let settings = NodeSettings::parse("node.ini", &text).expect("valid");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.max_body, 65_536);
    assert_eq!(settings.default_timeout, Duration::from_secs(120));
    assert_eq!(settings.probe_interval, Duration::from_millis(250));
    assert!(settings.rebalance);
    assert_eq!(settings.move_cost, Duration::from_secs(10));
}

macro_rules! error_cases {
    ($($case:ident: replace $from:expr, with $to:expr => $location:expr, $problem:expr;)*) => {
        $(#[test]
        fn $case() {
            let text = VALID.replace($from, $to);
            assert_ne!(text, VALID, "the replacement must change the text");
            let error = NodeSettings::parse("node.ini", &text).expect_err("invalid");
            let message = error.to_string();
            assert!(message.contains("node.ini"), "{message}");
            assert!(message.contains($location), "{message}");
            assert!(message.contains($problem), "{message}");
            assert!(!message.contains('\n'), "one line: {message}");
        })*
    };
}

error_cases! {
    unknown_key: replace "zone =", with "colour = red\nzone =" => "[node] colour", "unknown key";
    unknown_section: replace "[admin]", with "[extra]\n[admin]" => "[extra]", "unknown section";
    key_outside_sections: replace "[node]", with "x = 1\n[node]" => "[] x", "unknown key";
    duplicate_key: replace "zone =", with "zone = other\nzone =" => "[node] zone", "duplicate key";
    duplicate_across_sections: replace "[admin]", with "[node]\nzone = b\n[admin]"
        => "[node] zone", "duplicate key";
    missing_value: replace "zone = hallein-a\n", with "" => "[node] zone", "missing value";
    empty_value: replace "zone = hallein-a", with "zone =" => "[node] zone", "empty value";
    bad_address: replace "127.0.0.1:7000", with "localhost:7000" => "[platform] address", "10.0.0.1";
    missing_unit: replace "[platform]", with "[platform]\ntimeout = 500"
        => "[platform] timeout", "ms, s or m";
    unknown_unit: replace "[platform]", with "[platform]\ntimeout = 5h"
        => "[platform] timeout", "ms, s or m";
    negative_time: replace "[platform]", with "[platform]\ntimeout = -5s"
        => "[platform] timeout", "whole number";
    overflowing_time: replace "[platform]", with "[platform]\ntimeout = 99999999999999999999s"
        => "[platform] timeout", "whole number";
    zero_timeout: replace "[admin]", with "[limits]\ndefault_timeout = 0s\n[admin]"
        => "[limits] default_timeout", "above 0";
    bad_size_unit: replace "[admin]", with "[limits]\nmax_body = 4MB\n[admin]"
        => "[limits] max_body", "KiB or MiB";
    body_too_large: replace "[admin]", with "[limits]\nmax_body = 65MiB\n[admin]"
        => "[limits] max_body", "64MiB";
    short_retention: replace "[admin]", with "[limits]\nclaim_retention = 119m\n[admin]"
        => "[limits] claim_retention", "120m";
    short_token: replace "0123456789abcdef", with "secret" => "[admin] root_token", "16 visible";
    switch_with_unknown_value: replace "[admin]", with "[control]\nrebalance = true\n[admin]"
        => "[control] rebalance", "on or off";
    zero_move_cost: replace "[admin]", with "[control]\nmove_cost = 0s\n[admin]"
        => "[control] move_cost", "above 0";
    misspelt_control_key: replace "[admin]", with "[control]\nrebalanse = on\n[admin]"
        => "[control] rebalanse", "unknown key";
    bad_name: replace "entry-1", with "Entry 1" => "[node] name", "a-z";
}

#[test]
fn missing_file_names_the_path() {
    let error = NodeSettings::open("/nonexistent/node.ini".as_ref()).expect_err("missing");
    assert!(error.to_string().contains("/nonexistent/node.ini"));
}
