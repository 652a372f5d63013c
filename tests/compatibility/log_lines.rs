//! The form of the proxy's log: lines of text on standard error, none of them JSON, without time, level or target.
//!
//! The platform puts the time in front; operators' filters and the supervisor match on the prefix and on the notices of
//! the addresses. `RUST_LOG` chooses what is logged.

use crate::proxy_golden::{LOG_PREFIX, same};
use crate::proxy_program::{Running, file, proxy};
use crate::rig::{TestDiscovery, settings};
use crate::waits::within_deadline;
use serde_json::json;
use tokio::io::{AsyncReadExt, BufReader};

/// A configuration file of that name, which no other test may share: all tests of this program run in one process.
fn config(name: &str, discovery: &TestDiscovery) -> String {
    let mut config = discovery.proxy_config(settings());
    config["ops"] = "127.0.0.1:0".into();
    config["membership"] = json!({"bind": "127.0.0.1:0", "name": "n0"});
    file(name, &config.to_string()).display().to_string()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_line_is_the_prefix_and_a_text() {
    let discovery = TestDiscovery::start(Vec::new()).await;
    let path = config("log-lines.json", &discovery);
    let mut running = Running::start(proxy(&[], &[("RELAY_CONFIG", &path)]));
    running.says_address("listening on ").await;
    let port = |text: &str| text.trim_end_matches(|c: char| c.is_ascii_digit()).to_string();
    assert!(running.said.iter().all(|line| line.starts_with(LOG_PREFIX)), "{:?}", running.said);
    let named = |line: &&String| line.contains(" on 127.0.0.1:");
    let lines = running.said.iter().filter(named).map(|line| port(line) + "<port>\n");
    same("log.txt", &lines.collect::<String>());
}

/// At `warn` a sound start says nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rust_log_chooses_what_is_logged() {
    let discovery = TestDiscovery::start(Vec::new()).await;
    let path = config("log-filter.json", &discovery);
    let mut child = proxy(&[], &[("RELAY_CONFIG", &path), ("RUST_LOG", "warn")]).spawn().expect("it starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    discovery.wait_until_synced().await;
    child.start_kill().expect("it runs");
    within_deadline(child.wait()).await.expect("it ran");
    let mut said = String::new();
    within_deadline(log.read_to_string(&mut said)).await.expect("text");
    assert_eq!(said, "");
}
