//! The balancer module does no I/O, and its files stay within a length that is easy to read.

use std::path::{Path, PathBuf};

/// The maximum length of a file, in lines.
const MAX_FILE_LINES: usize = 250;
/// The maximum length of a line, in characters.
const MAX_COLUMNS: usize = 110;
/// Names that no file of the module may contain: the caller passes in the time, and actions request I/O.
const IO_AND_CLOCKS: [&str; 5] = ["std::net", "std::time::Instant", "std::fs", "tokio", "hyper"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All files below a folder of the repository, as paths relative to its root.
fn files_below(folder: &str) -> Vec<String> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(root().join(folder)).expect(folder) {
        let path: PathBuf = entry.expect("the directory entry is readable").path();
        let name =
            format!("{folder}/{}", path.file_name().expect("a directory entry has a name").to_string_lossy());
        if path.is_dir() {
            found.extend(files_below(&name));
        } else {
            found.push(name);
        }
    }
    found
}

/// The files that `deploy/balancer.toml` lists as the module's.
fn policy_files() -> Vec<String> {
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml"))
        .expect("deploy/balancer.toml is readable");
    let deploy: toml::Table = deploy.parse().expect("deploy/balancer.toml is valid TOML");
    let policy = deploy["policy"].as_array().expect("policy is a list");
    policy.iter().map(|file| file.as_str().expect("a policy file is a path").to_owned()).collect()
}

#[test]
fn every_file_of_the_module_is_listed_under_policy() {
    let mut listed = policy_files();
    let mut found = files_below("src/balancer");
    listed.sort_unstable();
    found.sort_unstable();
    assert_eq!(listed, found, "deploy/balancer.toml must list every file of the module");
}

#[test]
fn files_and_lines_of_the_module_stay_within_their_limits() {
    for file in files_below("src/balancer") {
        let text = std::fs::read_to_string(root().join(&file)).expect(&file);
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{file}: {lines} lines, at most {MAX_FILE_LINES} are allowed");
        for (number, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(
                columns <= MAX_COLUMNS,
                "{file}:{}: {columns} columns, at most {MAX_COLUMNS} are allowed",
                number + 1
            );
        }
    }
}

#[test]
fn the_module_does_no_io_and_reads_no_clock() {
    for file in files_below("src/balancer") {
        let text = std::fs::read_to_string(root().join(&file)).expect(&file);
        for word in IO_AND_CLOCKS {
            assert!(!text.contains(word), "{file} must not name {word}");
        }
    }
}
