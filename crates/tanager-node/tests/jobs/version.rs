//! The version that a node reports.

use std::process::Command;

use crate::small_site;

/// Guards against a log from which it cannot be told which commit ran.
#[tokio::test(flavor = "multi_thread")]
async fn log_names_the_commit_of_the_program() {
    let output = Command::new(env!("CARGO_BIN_EXE_tanagerladderd"))
        .arg("--version")
        .output()
        .expect("the program");
    let text = String::from_utf8(output.stdout).expect("text");
    let version = (text.trim().strip_prefix("tanagerladderd ")).expect("the name and a version");
    let (_, commit) = version.split_once('+').expect("a commit");
    let is_commit = commit.len() == 12 && commit.bytes().all(|digit| digit.is_ascii_hexdigit());
    // A source archive has no repository.
    assert!(is_commit || commit == "unknown", "{version}");
    let site = small_site(1).await;
    crate::harness::eventually("the start is logged", async || {
        let log = std::fs::read_to_string(&site.nodes[0].log).unwrap_or_default();
        log.contains("event=started ") && log.contains(&format!("version={version}\n"))
    })
    .await;
}
