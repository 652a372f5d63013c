//! The proxy's own TOML file, the one that is embedded as `deploy/local.toml`, and the command line.
//!
//! Operators keep their files and their start commands over a roll-out: each key and flag must be taken as before, and
//! a slip of the pen must be refused with the same text, which lists the keys that there are.

use crate::proxy_golden::{golden, same};
use crate::proxy_program::{Running, file, proxy, refusal};
use crate::rig::TestDiscovery;
use crate::waits::within_deadline;
use serde_json::json;
use std::fmt::Write;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_file_with_every_key_starts() {
    let path = file("every_key.toml", &golden("every_key.toml")).display().to_string();
    let mut running = Running::start(proxy(&["--config", &path], &[]));
    running.says_address("membership on ").await;
    running.says_address("ops on ").await;
    running.says_address("listening on ").await;
}

/// Those of the recorded build and those of today, by the file and by the flag.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_file_for_this_machine_starts_as_it_was_and_as_it_is() {
    let now = include_str!("../../deploy/local.toml");
    for (name, text) in [("local-recorded.toml", golden("local.toml").as_str()), ("local-now.toml", now)] {
        let path = file(name, text).display().to_string();
        let flags = [
            "--config",
            &path,
            "--listen",
            "127.0.0.1:0",
            "--ops",
            "127.0.0.1:0",
            "--discovery",
            "127.0.0.1:9",
        ];
        let mut running = Running::start(proxy(&flags, &[]));
        running.says_address("ops on ").await;
        running.says_address("listening on ").await;
    }
    let mut running = Running::start(proxy(
        &["--local"],
        &[("RELAY_LISTEN", "127.0.0.1:0"), ("RELAY_DISCOVERY", "127.0.0.1:9")],
    ));
    running.says_address("listening on ").await;
}

/// A misspelt key in each section, and each section and top key without a place of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_that_is_not_known_is_refused_with_this_text() {
    let whole = golden("every_key.toml");
    let mut all = String::new();
    let sections = [
        "[list_guard]",
        "[discovery_backoff]",
        "[membership]",
        "[membership.timing]",
        "[routes]",
        "[record]",
    ];
    let cases =
        sections.iter().map(|section| (*section, whole.replace(section, &format!("{section}\nodd = 1"))));
    for (what, text) in cases.chain([("top", format!("odd = 1\n{whole}"))]) {
        let path = file("unknown-key.toml", &text).display().to_string();
        writeln!(all, "{what}: {}", refusal(proxy(&["--config", &path], &[]), &path).await).expect("text");
    }
    for section in ["limits", "settings"] {
        let text = whole.replace(&format!("[{section}]"), &format!("[odd_{section}]"));
        let path = file("no-section.toml", &text).display().to_string();
        writeln!(all, "no {section}: {}", refusal(proxy(&["--config", &path], &[]), &path).await)
            .expect("text");
    }
    same("toml_unknown_keys.txt", &all);
}

/// The flags, and what they are called in a call without a value; the words that explain them are free.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_command_line_has_these_flags() {
    let out = within_deadline(proxy(&["--help"], &[]).output()).await.expect("it starts");
    let help = String::from_utf8(out.stdout).expect("text");
    assert!(out.status.success(), "{help}");
    let flag = |line: &str| {
        let line = line.trim_start();
        line.starts_with('-').then(|| line.split("  ").next().expect("text").to_string() + "\n")
    };
    same("flags.txt", &help.lines().filter_map(flag).collect::<String>());
}

/// The flags go before the file, and `--service` reaches discovery's query.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flags_go_before_the_file() {
    let discovery = TestDiscovery::start(Vec::new()).await;
    let at = discovery.proxy_config(json!({}))["discovery"].as_str().expect("text").to_string();
    let path = file("flags.toml", &golden("local.toml")).display().to_string();
    let flags = ["--config", &path, "--listen", "127.0.0.1:0", "--ops", "127.0.0.1:0", "--discovery", &at];
    let flags = [&flags[..], &["--service", "other"]].concat();
    let mut running = Running::start(proxy(&flags, &[("RELAY_LISTEN", "odd"), ("RELAY_DISCOVERY", "odd")]));
    running.says_address("ops on ").await;
    running.says_address("listening on ").await;
    discovery.wait_until_synced().await;
    assert!(discovery.request_targets().iter().any(|path| path == "/registry/instances?service=other"));
}
