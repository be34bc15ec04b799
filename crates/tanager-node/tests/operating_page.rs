//! Tests that docs/operating.md lists exactly the settings and metrics of a node, and that a node
//! that cannot start reports the reason.

use std::collections::BTreeMap;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use tanager_settings::NodeSettings;

const SETTINGS_SOURCE: &str = include_str!("../../tanager-settings/src/lib.rs");
const SETTINGS: &str = "\
[node]
name = node-1
region = region-1
zone = zone-1
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
admin_address = 127.0.0.1:0
[platform]
address = 127.0.0.1:1
[admin]
root_token = 0123456789abcdef
";

/// Returns the cells of the table rows below the given header line, without back quotes.
fn table(header: &str) -> Vec<Vec<String>> {
    let page = fs::read_to_string("../../docs/operating.md").unwrap();
    let lines = page.lines().skip_while(|line| !line.starts_with(header));
    let rows = lines.skip(2).take_while(|line| line.starts_with('|'));
    let cells = |line: &str| {
        let inner = line.trim_matches('|').split('|');
        inner.map(|cell| cell.trim().replace('`', "")).collect()
    };
    rows.map(cells).collect()
}

/// Starts a node and returns its standard error and exit code. If it starts, calls `check` with its
/// administration address, then kills it.
fn run_node(arguments: &[&str], check: impl FnOnce(SocketAddr)) -> (String, Option<i32>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tanagerladderd"))
        .args(arguments)
        .env("RUST_LOG", "off")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let output = child.stdout.take().unwrap();
    BufReader::new(output).read_line(&mut line).unwrap();
    if let Some((_, admin)) = line.trim().rsplit_once("admin=") {
        check(admin.parse().unwrap());
        child.kill().unwrap();
    }
    let output = child.wait_with_output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    (text, output.status.code())
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}-{}.ini", std::process::id()));
    fs::write(&path, text).unwrap();
    path
}

/// Guards against a key or default that only the page or only the settings crate has.
#[test]
fn settings_table_matches_the_crate() {
    let mut section = String::new();
    let mut documented = BTreeMap::new();
    for row in table("| section | key |") {
        if !row[0].is_empty() {
            section = row[0].trim_matches(['[', ']']).to_owned();
        }
        let default = row[3].replace("none", "");
        if default != "required" {
            let line = format!("[{section}]\n{} = {default}\n", row[1]);
            let text = match default.is_empty() {
                true => SETTINGS.to_owned(),
                false => format!("{SETTINGS}{line}"),
            };
            let parsed = NodeSettings::parse("page", &text).unwrap();
            assert_eq!(
                parsed,
                NodeSettings::parse("page", SETTINGS).unwrap(),
                "{line}"
            );
        }
        documented.insert((section.clone(), row[1].clone()), default);
    }
    let mut defined = BTreeMap::new();
    for line in SETTINGS_SOURCE
        .lines()
        .filter(|line| line.contains("reader."))
    {
        let text: Vec<&str> = line.split('"').collect();
        if let [_, section, _, key, rest @ ..] = text.as_slice() {
            let default = rest.get(1).unwrap_or(&"required");
            let key = ((*section).to_owned(), (*key).to_owned());
            defined.insert(key, (*default).to_owned());
        }
    }
    assert_eq!(documented, defined);
}

/// Guards against alarms on metrics that a node does not export, and against undocumented metrics.
#[test]
fn metrics_table_matches_a_node() {
    let path = settings_file("metrics", SETTINGS);
    let mut page = String::new();
    run_node(&["--config", path.to_str().unwrap()], |admin| {
        let mut stream = TcpStream::connect(admin).unwrap();
        let request = "GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).unwrap();
        stream.read_to_string(&mut page).unwrap();
    });
    let comments_of_kind = |kind: &str| -> BTreeMap<String, String> {
        let lines = page.lines().filter_map(|line| line.strip_prefix(kind));
        let pairs = lines.filter_map(|line| line.split_once(' '));
        pairs
            .map(|(name, text)| (name.to_owned(), text.to_owned()))
            .collect()
    };
    let types = comments_of_kind("# TYPE ");
    let mut exported = Vec::new();
    for (name, help) in comments_of_kind("# HELP ") {
        let kind = types[&name].clone();
        let suffix = if kind == "counter" { "_total" } else { "" };
        let help = help.trim_end_matches('.').to_owned();
        exported.push(vec![format!("{name}{suffix}"), kind, help]);
    }
    let mut documented = Vec::new();
    for row in table("| metric | type |") {
        assert!(!row[2].is_empty(), "no unit: {row:?}");
        documented.push(vec![row[0].clone(), row[1].clone(), row[3].clone()]);
    }
    let names: Vec<&str> = documented.iter().map(|row| row[0].as_str()).collect();
    for alarm in table("| value | what it means |") {
        let words = alarm[0].split(' ');
        let used: Vec<&str> = words.filter(|word| word.starts_with("tanager_")).collect();
        assert!(!used.is_empty(), "{alarm:?}");
        assert!(used.iter().all(|name| names.contains(name)), "{alarm:?}");
    }
    documented.sort();
    exported.sort();
    assert_eq!(documented, exported);
}

macro_rules! settings_cases {
    ($($case:ident: $from:literal => $to:literal, $text:literal;)*) => {
        $(#[test]
        fn $case() {
            let path = settings_file(stringify!($case), &SETTINGS.replace($from, $to));
            let path = path.to_str().unwrap();
            let (text, code) = run_node(&["--config", path], |_| {});
            assert_eq!((code, text.lines().count()), (Some(2), 1), "{text}");
            assert!(text.contains(path) && text.contains($text), "{text}");
        })*
    };
}

// Guards against a node that starts with invalid settings, or does not name the invalid setting.
settings_cases! {
    unknown_key: "zone = " => "colour = red\nzone = ", "[node] colour: unknown key";
    unknown_section: "[admin]" => "[extra]\nkey = 1\n[admin]", "[extra] key: unknown key";
    duplicate_key: "zone = " => "zone = zone-2\nzone = ", "[node] zone: duplicate key";
    bad_unit: "zone = " => "stop_delay = 5\nzone = ", "[node] stop_delay: \"5\" is not valid";
    missing_value: "zone = zone-1\n" => "", "[node] zone: missing value";
    empty_value: "zone = zone-1\n" => "zone =\n", "[node] zone: empty value";
    bad_address: "127.0.0.1:1" => "localhost:1", "[platform] address: \"localhost:1\"";
    short_token: "0123456789abcdef" => "short", "[admin] root_token: \"short\" is not valid";
}

macro_rules! argument_cases {
    ($($case:ident: $arguments:expr => $text:literal;)*) => {
        $(#[test]
        fn $case() {
            let (text, code) = run_node(&$arguments, |_| {});
            assert_eq!((code, text.lines().count()), (Some(2), 1), "{text}");
            assert!(text.contains($text), "{text}");
        })*
    };
}

// Guards against usage errors with the exit code of a crash, which a start script handles
// differently.
argument_cases! {
    unreadable_file: ["--config", "/nonexistent"] => "/nonexistent: No such file";
    unknown_option: ["--confg", "x"] => "invalid option '--confg'";
    no_config: [] => "--config FILE is required";
    config_without_value: ["--config"] => "missing argument for option '--config'";
}

/// Guards against a second node on the same address that does not report the conflict.
#[test]
fn address_in_use() {
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = occupied.local_addr().unwrap();
    for listener in ["caller_address", "peer_address", "admin_address"] {
        let free = format!("{listener} = 127.0.0.1:0");
        let text = SETTINGS.replace(&free, &format!("{listener} = {address}"));
        let path = settings_file(listener, &text);
        let (text, code) = run_node(&["--config", path.to_str().unwrap()], |_| {});
        assert_eq!((code, text.lines().count()), (Some(1), 1), "{text}");
        assert!(text.contains(&address.to_string()), "{text}");
    }
}
