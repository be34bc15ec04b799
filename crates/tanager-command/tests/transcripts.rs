//! Guards against a page for operators whose transcripts differ from the output of the command.
//!
//! With `UPDATE_TRANSCRIPTS=1`, the output is written to the page instead of compared with it.

use std::fs;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;

use tokio::runtime::Runtime;

use tanager_node::node::NodeHandle;
use tanager_settings::NodeSettings;
use tanager_standin::EndpointOptions;
use tanager_standin::EndpointStandin;
use tanager_standin::PlatformOptions;
use tanager_standin::PlatformStandin;

const PAGE: &str = "../../docs/operating.md";
const TOKEN: &str = "0123456789abcdef-root";
/// Address on which nothing listens (tcpmux).
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

/// Two sites and the addresses that the page shows for them.
struct TranscriptSite {
    runtime: Runtime,
    directory: PathBuf,
    /// Pairs of an address on the page and the address in this run.
    addresses: Vec<(String, String)>,
    nodes: Vec<NodeHandle>,
    background: Option<Child>,
    _standins: (EndpointStandin, [PlatformStandin; 2]),
}

impl TranscriptSite {
    fn start() -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("transcripts-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let runtime = Runtime::new().unwrap();
        let guard = runtime.enter();
        let platforms = [0, 1].map(|_| PlatformStandin::bind(PlatformOptions::default()).unwrap());
        let options = EndpointOptions {
            count: 6,
            ..EndpointOptions::default()
        };
        let endpoint = EndpointStandin::bind(&options).unwrap();
        drop(guard);
        let mut addresses = vec![("10.0.0.19:7003".to_owned(), CLOSED_ADDRESS.to_owned())];
        for (number, (_, address)) in (21..).zip(endpoint.endpoints()) {
            addresses.push((format!("10.0.0.{number}:8080"), address.to_string()));
        }
        let mut nodes = Vec::new();
        let sites = [("node-1", 11, 0), ("node-2", 12, 0), ("node-1", 31, 1)];
        for (name, number, site) in sites {
            let node = spawn_node(&runtime, name, platforms[site].address());
            let bound = node.addresses();
            for (port, address) in [
                (7001, bound.caller),
                (7002, bound.peer),
                (7003, bound.admin),
            ] {
                addresses.push((format!("10.0.0.{number}:{port}"), address.to_string()));
            }
            nodes.push(node);
        }
        Self {
            runtime,
            directory,
            addresses,
            nodes,
            background: None,
            _standins: (endpoint, platforms),
        }
    }

    /// Replaces addresses of the page by those of this run.
    fn to_run_addresses(&self, text: &str) -> String {
        let pairs = self.addresses.iter();
        pairs.fold(text.to_owned(), |text, (page, run)| text.replace(page, run))
    }

    /// Replaces the parts of the output that vary between runs by their form on the page.
    fn to_page_text(&self, text: &str) -> String {
        let mut result = text.to_owned();
        // Longer addresses first, because one may be a prefix of another.
        let mut pairs = self.addresses.clone();
        pairs.sort_by_key(|(_, run)| std::cmp::Reverse(run.len()));
        for (page, run) in pairs {
            result = result.replace(&run, &page);
        }
        result = replace_digits(&result, "ana#", "RUN");
        result = replace_digits(&result, "ben#", "RUN");
        result = replace_digits(&result, "\"incarnation\":", "N");
        let progress = ["; waiting for ", " leaves ", "the node asked is behind"];
        let lines = result.lines().map(str::trim_end);
        let lines = lines.filter(|line| !progress.iter().any(|part| line.contains(part)));
        lines.map(|line| format!("{line}\n")).collect()
    }

    /// Runs one command line of the page in a shell and returns its output.
    fn run(&mut self, line: &str) -> String {
        if line == "wait" {
            let mut child = self.background.take().expect("a command in the background");
            child.wait().unwrap();
            return self
                .to_page_text(&fs::read_to_string(self.directory.join("background")).unwrap());
        }
        let (line, background) = match line.strip_suffix(" &") {
            Some(line) => (line, true),
            None => (line, false),
        };
        let path = self
            .directory
            .join(if background { "background" } else { "output" });
        let output = File::create(&path).unwrap();
        let binary = Path::new(env!("CARGO_BIN_EXE_tanagerladder"));
        let search_path = std::env::var("PATH").unwrap_or_default();
        let search_path = format!("{}:{search_path}", binary.parent().unwrap().display());
        let mut child = Command::new("bash")
            .args(["-c", &self.to_run_addresses(line)])
            .current_dir(&self.directory)
            .env("PATH", search_path)
            .env(
                "TANAGERLADDER_NODES",
                self.to_run_addresses("10.0.0.11:7003,10.0.0.12:7003"),
            )
            .env("TANAGERLADDER_TOKEN", TOKEN)
            .env("USER", "ana")
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap();
        if background {
            // A change made before the first read would not be printed.
            while !fs::read_to_string(&path).unwrap().contains("watching") {
                std::thread::sleep(Duration::from_millis(20));
            }
            self.background = Some(child);
            return String::new();
        }
        let code = child.wait().unwrap().code().unwrap();
        let mut text = self.to_page_text(&fs::read_to_string(&path).unwrap());
        if code != 0 {
            text.push_str(&format!("[exit code {code}]\n"));
        }
        text
    }

    fn stop(self) {
        for node in self.nodes {
            self.runtime.block_on(node.stop());
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Starts a node and waits until it is ready, so that the nodes join in order.
fn spawn_node(runtime: &Runtime, name: &str, platform: SocketAddr) -> NodeHandle {
    let local = "127.0.0.1:0";
    let settings = format!(
        "[node]\nname = {name}\nregion = region-1\nzone = zone-1\ncaller_address = {local}\n\
         peer_address = {local}\nadmin_address = {local}\nstop_delay = 0ms\n\
         [platform]\naddress = {platform}\n[admin]\nroot_token = {TOKEN}\n"
    );
    let settings = NodeSettings::parse("transcripts", &settings).unwrap();
    let node = runtime.block_on(NodeHandle::spawn(settings)).unwrap();
    while !get(node.addresses().admin, "/ready").starts_with("HTTP/1.1 200") {
        std::thread::sleep(Duration::from_millis(20));
    }
    node
}

fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// Replaces the hexadecimal number after each occurrence of a prefix.
fn replace_digits(text: &str, prefix: &str, name: &str) -> String {
    let mut parts = text.split(prefix);
    let mut result = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(|digit: char| digit.is_ascii_hexdigit());
        result.push_str(&format!("{prefix}{name}{rest}"));
    }
    result
}

/// Reduces the space between columns to two spaces.
fn normalize_columns(text: &str) -> String {
    let lines = text.lines().map(|line| {
        let cells = line
            .split("  ")
            .map(str::trim)
            .filter(|cell| !cell.is_empty());
        cells.collect::<Vec<_>>().join("  ")
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns the text between two markers of the page.
fn text_between<'a>(page: &'a str, start: &str, end: &str) -> &'a str {
    let (_, rest) = page.split_once(start).expect(start);
    rest.split_once(end).expect(end).0
}

/// Guards against a page whose transcripts differ from the output of the program.
#[test]
fn transcripts_match_the_program() {
    let page = fs::read_to_string(PAGE).unwrap();
    let mut site = TranscriptSite::start();
    let document = site.to_run_addresses(text_between(&page, "```json\n", "```"));
    fs::write(site.directory.join("site.json"), document).unwrap();
    let mut expected = String::new();
    let mut actual = String::new();
    let mut updated_page = String::new();
    let mut in_transcript = false;
    for line in page.lines() {
        let is_fence = line.starts_with("```");
        in_transcript = if is_fence {
            line == "```console"
        } else {
            in_transcript
        };
        if !in_transcript {
            updated_page.push_str(&format!("{line}\n"));
            continue;
        }
        expected.push_str(&format!("{line}\n"));
        let mut printed = format!("{line}\n");
        if let Some(command) = line.strip_prefix("$ ") {
            printed.push_str(&site.run(command));
        } else if !is_fence {
            continue;
        }
        actual.push_str(&printed);
        updated_page.push_str(&printed);
    }
    site.stop();
    assert!(
        expected.matches("\n$ ").count() > 30,
        "transcripts are missing"
    );
    if std::env::var_os("UPDATE_TRANSCRIPTS").is_some() {
        fs::write(PAGE, updated_page).unwrap();
    } else {
        assert_eq!(normalize_columns(&expected), normalize_columns(&actual));
    }
}
