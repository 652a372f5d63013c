//! The decision module decides without I/O, and each of its files is short enough to be read at one go.

use std::path::{Path, PathBuf};

/// The longest file, in lines.
const MAX_FILE_LINES: usize = 250;
/// The longest line, in characters.
const MAX_COLUMNS: usize = 110;
/// What no file of the module names: it is given the time and asks for its I/O by actions.
const IO_AND_CLOCKS: [&str; 5] = ["std::net", "std::time::Instant", "std::fs", "tokio", "hyper"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All files below a folder of the repository, as paths from its root.
fn files_below(folder: &str) -> Vec<String> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(root().join(folder)).expect(folder) {
        let path: PathBuf = entry.expect("an entry").path();
        let name = format!("{folder}/{}", path.file_name().expect("a name").to_string_lossy());
        if path.is_dir() {
            found.extend(files_below(&name));
        } else {
            found.push(name);
        }
    }
    found
}

/// The files that the deploy file names as the module's.
fn policy_files() -> Vec<String> {
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let deploy: toml::Table = deploy.parse().expect("TOML");
    let policy = deploy["policy"].as_array().expect("it names the policy files");
    policy.iter().map(|file| file.as_str().expect("a path").to_owned()).collect()
}

#[test]
fn every_file_of_the_module_stands_under_policy() {
    let mut named = policy_files();
    let mut found = files_below("src/balancer");
    named.sort_unstable();
    found.sort_unstable();
    assert_eq!(named, found, "every file of the module is named");
}

#[test]
fn the_module_keeps_to_its_size() {
    for file in files_below("src/balancer") {
        let text = std::fs::read_to_string(root().join(&file)).expect(&file);
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{file}: {lines} lines, over {MAX_FILE_LINES}");
        for (number, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(columns <= MAX_COLUMNS, "{file}:{}: {columns} columns", number + 1);
        }
    }
}

#[test]
fn the_module_does_no_io_and_reads_no_clock() {
    for file in files_below("src/balancer") {
        let text = std::fs::read_to_string(root().join(&file)).expect(&file);
        for word in IO_AND_CLOCKS {
            assert!(!text.contains(word), "{file} names {word}");
        }
    }
}
