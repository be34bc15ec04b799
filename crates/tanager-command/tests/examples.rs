//! Guards against documents printed by the Python library that the nodes reject.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;

use tanager_protocol::config::ConfigDocument;

fn check_example(name: &str, zones: usize) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../library/python/examples");
    let output = Command::new("python3")
        .arg("-B")
        .arg(folder.join(name))
        .output()
        .expect("python3 runs");
    let problem = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{problem}");
    let document: ConfigDocument = serde_json::from_slice(&output.stdout).unwrap();
    document.validate().unwrap();
    assert_eq!((document.pools.len(), document.vms.len()), (5, 50));
    let used: BTreeSet<_> = document.vms.values().map(|vm| &vm.zone).collect();
    assert_eq!(used.len(), zones);
    // The printed document is complete: the parser fills in no default value.
    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(serde_json::to_value(document).unwrap(), printed);
}

macro_rules! example_cases {
    ($($case:ident: $zones:literal;)*) => {
        $(#[test]
        fn $case() {
            check_example(concat!(stringify!($case), ".py"), $zones);
        })*
    };
}

example_cases! {
    hallein: 3;
    nilebite: 4;
}
