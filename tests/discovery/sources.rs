//! The registry that a proxy polls, by its configuration and after a failover.

use super::{TTL_MS, call_until_served_by, config, wait_until_ready};
use crate::registry_rig::{Registry, data_dir};
use crate::rig::{BackendControl, ProxyProcess, TestBackend, write_config};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Writes the proxy's configuration with these registry addresses as a TOML file and returns its path.
fn write_toml_config(discovery: &[String]) -> std::path::PathBuf {
    let mut table: toml::Table = serde_json::from_value(config("")).expect("the configuration is a table");
    table.insert("discovery".into(), discovery.to_vec().into());
    let path = write_config("").with_extension("toml");
    std::fs::write(&path, table.to_string()).expect("the file can be written");
    path
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn proxies_fail_over_from_a_hung_registry_and_serve_every_call() {
    let (first, second) = (
        Registry::start(&data_dir("silent-1"), &[]).await,
        Registry::start(&data_dir("silent-2"), &[]).await,
    );
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    first.put(TTL_MS, vec![a.endpoint_entry("SERVING")]).await;
    second.put(TTL_MS, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let addresses = [first.address.to_string(), second.address.to_string()];
    let command = format!(
        "unset RELAY_CONFIG RELAY_DISCOVERY; exec \"$0\" --config {}",
        write_toml_config(&addresses).display()
    );
    let by_environment = ProxyProcess::start_with_command(&config(&addresses.join(",")), "exec \"$0\"").await;
    let by_file = ProxyProcess::start_with_command(&config(""), &command).await;
    for proxy in [&by_environment, &by_file] {
        wait_until_ready(proxy).await;
        assert_eq!(proxy.call("look").await, (200, "a".into()), "the first address is the preferred one");
    }
    first.send_signal("STOP");
    let stopped = Instant::now();
    // A watch times out after its wait of 1 s and 1 s more, then the proxy fails over. A change must be in force after
    // 6 s.
    let failover = async {
        tokio::join!(call_until_served_by(&by_environment, "b"), call_until_served_by(&by_file, "b"));
    };
    timeout(Duration::from_secs(6), failover).await.expect("both proxies fail over within 6 s");
    while stopped.elapsed() < Duration::from_secs(10) {
        for proxy in [&by_environment, &by_file] {
            assert_eq!(proxy.call("look").await.0, 200);
        }
    }
    first.send_signal("CONT");
    first.put(TTL_MS, vec![a.endpoint_entry("DRAINING")]).await;
    let c = TestBackend::start("c", &control).await;
    second.put(TTL_MS, vec![c.endpoint_entry("SERVING")]).await;
    for proxy in [&by_environment, &by_file] {
        call_until_served_by(proxy, "c").await;
        // The change at the first registry is not applied.
        call_until_served_by(proxy, "a").await;
    }
}

/// Guards the quick start in the README: a registry, and a proxy with its embedded configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_proxy_with_its_embedded_configuration_serves_registered_backends() {
    let registry = Registry::start(&data_dir("local"), &[]).await;
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let mut entry = a.endpoint_entry("SERVING");
    entry["site"] = "local".into();
    registry.put(TTL_MS, vec![entry]).await;
    let command = format!("exec \"$0\" --local --listen 127.0.0.1:0 --discovery {}", registry.address);
    let proxy = ProxyProcess::start_with_command(&config(""), &command).await;
    wait_until_ready(&proxy).await;
    let request =
        crate::rig::request("look").uri("/read").body(Default::default()).expect("the request is valid");
    assert_eq!(proxy.connect_client().await.send(request).await, (200, "a".into()));
}
