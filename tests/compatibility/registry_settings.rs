//! The registry's command line and configuration file: service units, deploy files and operators' scripts name these
//! keys and flags, and a file that a build refuses keeps the registry from starting.

use crate::registry_golden::{compare, start, text};
use crate::registry_rig::{Registry, data_dir};
use crate::waits::within_deadline;
use rstest::rstest;
use std::process::Stdio;
use tokio::process::Command;

/// Runs it to its end: the status, and what it says on both streams.
async fn run(args: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_registry"));
    command.args(args).stdin(Stdio::null()).kill_on_drop(true);
    let done = within_deadline(command.output()).await.expect("it runs");
    let said = [done.stdout, done.stderr].concat();
    format!("status {}\n{}", done.status.code().expect("a status"), String::from_utf8_lossy(&said))
}

#[tokio::test]
async fn flags_are_those_of_the_service_units() {
    compare("help.txt", &run(&["--help"]).await);
}

#[tokio::test]
async fn every_flag_is_taken() {
    let data = data_dir("compatibility-flags");
    let flags =
        ["--sync", "group", "--snapshot-every", "5", "--max-tombstones", "6", "--max-connections", "7"];
    Registry::start(&data, &[&flags[..], &["--header-timeout-ms", "8000"]].concat()).await.kill().await;
}

#[rstest]
#[case("every_key", &text("every_key.toml"))]
#[case("deployed", include_str!("../../deploy/registry.toml"))]
#[tokio::test]
async fn a_file_of_an_earlier_build_is_taken(#[case] name: &str, #[case] config: &str) {
    start(&data_dir(&format!("compatibility-{name}")), config, &[]).await.kill().await;
}

/// A key that is unknown, or out of range, ends the start and is named; where it is unknown all others are named too.
#[tokio::test]
async fn keys_that_are_not_known_or_out_of_range_end_the_start_with_their_names() {
    let data = data_dir("compatibility-refused");
    std::fs::create_dir_all(&data).expect("made");
    let (file, whole, mut said) = (data.join("registry.toml"), text("every_key.toml"), String::new());
    let mut refused = async |config: &str| {
        std::fs::write(&file, config).expect("written");
        let path = file.display().to_string();
        said += &run(&["--config", &path]).await.replace(&path, "FILE");
        said += "\n";
    };
    for header in ["", "[routes]\n", "[routes.bounds]\n"] {
        refused(&format!("{header}colour = 1\n")).await;
    }
    refused("sync = \"never\"\n").await;
    // Each key with a value of another kind.
    let mut table = String::new();
    for line in whole.lines() {
        match line.split_once(" = ") {
            Some((key, _)) => refused(&format!("{table}{key} = []\n")).await,
            None if line.starts_with('[') => table = format!("{line}\n"),
            None => {}
        }
    }
    for out_of_range in ["ring_bytes = 1", "judge_seeds = 0", "step = 0.5", "chance = 1.0", "raise = 0"] {
        refused(&format!("[routes]\n{out_of_range}\n")).await;
    }
    compare("refused_settings.txt", &said);
}
