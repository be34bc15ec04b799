//! Sets `TANAGER_COMMIT` to the commit of the checkout, or to `unknown` outside of one.
//!
//! Reads the files of the repository, because `git` may be missing or refuse a checkout of another
//! user.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Number of hexadecimal digits of the commit that are kept.
const COMMIT_DIGITS: usize = 12;

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    let manifest = PathBuf::from(env::var_os("CARGO_MANIFEST_DIR").unwrap_or_default());
    let commit = manifest
        .ancestors()
        .map(|directory| directory.join(".git"))
        .find(|path| path.exists())
        .and_then(|path| read_commit(&path));
    let commit = commit.as_deref().and_then(|text| text.get(..COMMIT_DIGITS));
    println!(
        "cargo::rustc-env=TANAGER_COMMIT={}",
        commit.unwrap_or("unknown")
    );
}

/// Returns the commit that a repository has checked out. `path` is its directory, or the file that
/// names the directory of a linked work tree.
fn read_commit(path: &Path) -> Option<String> {
    let directory = match path.is_dir() {
        true => path.to_owned(),
        false => {
            let link = read_watched(path)?;
            path.parent()?.join(link.strip_prefix("gitdir: ")?)
        }
    };
    let head = read_watched(&directory.join("HEAD"))?;
    let Some(reference) = head.strip_prefix("ref: ") else {
        return Some(head);
    };
    let common = read_watched(&directory.join("commondir"))
        .map_or_else(|| directory.clone(), |common| directory.join(common));
    read_watched(&common.join(reference)).or_else(|| {
        let packed = read_watched(&common.join("packed-refs"))?;
        let mut lines = packed.lines().filter_map(|line| line.split_once(' '));
        let (commit, _) = lines.find(|(_, name)| *name == reference)?;
        Some(commit.to_owned())
    })
}

/// Reads a file that decides about the commit; a change of it starts this script again.
fn read_watched(path: &Path) -> Option<String> {
    let text = fs::read_to_string(path).ok()?;
    println!("cargo::rerun-if-changed={}", path.display());
    Some(text.trim().to_owned())
}
