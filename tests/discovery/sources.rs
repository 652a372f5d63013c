//! Which registry a proxy asks.

use super::{TTL, config, until_ready, until_served_by};
use crate::registry_rig::{Registry, data_dir};
use crate::rig::{BackendControl, ProxyProcess, TestBackend, write_config};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// The same as a TOML file of the operators' own.
fn own_config(discovery: &[String]) -> std::path::PathBuf {
    let mut table: toml::Table = serde_json::from_value(config("")).expect("a table");
    table.insert("discovery".into(), discovery.to_vec().into());
    let path = write_config("").with_extension("toml");
    std::fs::write(&path, table.to_string()).expect("written");
    path
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_registry_that_falls_silent_is_left_for_the_next_and_every_call_is_served() {
    let (first, second) = (
        Registry::start(&data_dir("silent-1"), &[]).await,
        Registry::start(&data_dir("silent-2"), &[]).await,
    );
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    first.put(TTL, vec![a.endpoint_entry("SERVING")]).await;
    second.put(TTL, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let addresses = [first.address.to_string(), second.address.to_string()];
    let own = format!(
        "unset RELAY_CONFIG RELAY_DISCOVERY; exec \"$0\" --config {}",
        own_config(&addresses).display()
    );
    let by_environment = ProxyProcess::start_with_command(&config(&addresses.join(",")), "exec \"$0\"").await;
    let by_file = ProxyProcess::start_with_command(&config(""), &own).await;
    for proxy in [&by_environment, &by_file] {
        until_ready(proxy).await;
        assert_eq!(proxy.call("look").await, (200, "a".into()), "the first address is the preferred one");
    }
    first.send_signal("STOP");
    let stopped = Instant::now();
    // A watch waits 1 s and 1 s more; then it moves. News counts as told after 6 s.
    let moved = async {
        tokio::join!(until_served_by(&by_environment, "b"), until_served_by(&by_file, "b"));
    };
    timeout(Duration::from_secs(6), moved).await.expect("both ask the second registry in bounded time");
    while stopped.elapsed() < Duration::from_secs(10) {
        for proxy in [&by_environment, &by_file] {
            assert_eq!(proxy.call("look").await.0, 200);
        }
    }
    first.send_signal("CONT");
    first.put(TTL, vec![a.endpoint_entry("DRAINING")]).await;
    let c = TestBackend::start("c", &orders).await;
    second.put(TTL, vec![c.endpoint_entry("SERVING")]).await;
    for proxy in [&by_environment, &by_file] {
        until_served_by(proxy, "c").await;
        // What the first one says is heard no more.
        until_served_by(proxy, "a").await;
    }
}

/// The README's quick start: a registry, and a proxy on its embedded configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_proxy_on_its_embedded_configuration_serves_what_registers() {
    let registry = Registry::start(&data_dir("local"), &[]).await;
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let mut line = a.endpoint_entry("SERVING");
    line["site"] = "local".into();
    registry.put(TTL, vec![line]).await;
    let command = format!("exec \"$0\" --local --listen 127.0.0.1:0 --discovery {}", registry.address);
    let proxy = ProxyProcess::start_with_command(&config(""), &command).await;
    until_ready(&proxy).await;
    let request = crate::rig::request("look").uri("/read").body(Default::default()).expect("well formed");
    assert_eq!(proxy.connect_client().await.send(request).await, (200, "a".into()));
}
