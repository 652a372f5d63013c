//! Proxies that are configured with the name of a service.

use super::config;
use crate::rig::{BackendControl, ProxyProcess, TestBackend, TestDiscovery, settings};
use serde_json::Value;
use std::sync::Arc;

/// Returns a proxy's configuration with this service.
fn config_with_service(discovery: &TestDiscovery, service: &str) -> Value {
    let mut config = discovery.proxy_config(settings());
    config["service"] = service.into();
    config
}

#[tokio::test]
async fn calls_for_the_list_name_the_service_only_if_one_is_configured() {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let (service_discovery, plain_discovery) = (
        TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await,
        TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await,
    );
    let service_in_file = ProxyProcess::start_with_command(
        &config_with_service(&service_discovery, "search.eu-1"),
        "exec \"$0\"",
    )
    .await;
    // The flag takes precedence over the file.
    let service_flag = ProxyProcess::start_with_command(
        &config_with_service(&service_discovery, "other"),
        "exec \"$0\" --service search.eu-1",
    )
    .await;
    let no_service = ProxyProcess::start(&plain_discovery, settings()).await;
    for proxy in [&service_in_file, &service_flag, &no_service] {
        super::wait_until_ready(proxy).await;
        assert_eq!(proxy.call("look").await, (200, "a".into()));
    }
    for discovery in [&service_discovery, &plain_discovery] {
        discovery.publish(vec![a.endpoint_entry("SERVING")]).await;
    }
    let (service_targets, plain_targets) =
        (service_discovery.request_targets(), plain_discovery.request_targets());
    let count = |targets: &[String], path: &str| targets.iter().filter(|target| *target == path).count();
    assert_eq!(count(&service_targets, "/registry/instances?service=search.eu-1"), 2);
    assert_eq!(count(&plain_targets, "/registry/instances"), 1);
    let has_watch = |targets: &[String]| targets.iter().any(|target| target.contains("?after="));
    assert!(has_watch(&service_targets) && has_watch(&plain_targets));
    assert!(
        service_targets.iter().all(|target| target.ends_with("service=search.eu-1")),
        "{service_targets:?}"
    );
    assert!(plain_targets.iter().all(|target| !target.contains("service")), "{plain_targets:?}");
}

#[tokio::test]
async fn a_service_without_backends_is_logged_once_and_polled_until_it_has_some() {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let discovery = TestDiscovery::start(Vec::new()).await;
    let mut proxy =
        ProxyProcess::start_with_command(&config_with_service(&discovery, "nobodys"), "exec \"$0\"").await;
    // Two more lists without backends.
    for _ in 0..2 {
        discovery.publish(Vec::new()).await;
    }
    assert_eq!(proxy.readiness_status().await, 503);
    discovery.publish(vec![a.endpoint_entry("SERVING")]).await;
    super::wait_until_ready(&proxy).await;
    assert_eq!(proxy.call("look").await, (200, "a".into()));
    proxy.send_signal("-KILL");
    let log = proxy.remaining_log().await;
    let warnings =
        log.iter().filter(|line| line.contains("discovery: service nobodys has no backends")).count();
    assert_eq!(warnings, 1, "{log:#?}");
}

#[tokio::test]
async fn an_invalid_service_name_fails_the_start() {
    let mut config = config("127.0.0.1:9");
    for (service_in_file, command) in [
        ("Search", "exec \"$0\""),
        ("", "exec \"$0\""),
        ("search", "exec \"$0\" --service 'a&b'"),
        ("search", "exec \"$0\" --service ''"),
    ] {
        config["service"] = service_in_file.into();
        let mut proxy = ProxyProcess::spawn(&config, command);
        let status = proxy.wait_for_exit().await;
        let log = proxy.remaining_log().await;
        assert_eq!(status.code(), Some(1), "{log:?}");
        assert_eq!(log.len(), 1, "one line: {log:?}");
        assert!(log[0].contains("config: service: ") && log[0].contains("mend"), "{log:?}");
    }
}

#[tokio::test]
async fn a_registry_sends_each_proxy_the_list_of_its_service() {
    use crate::registry_rig::{Registry, data_dir};
    let registry = Registry::start(&data_dir("services-of-proxies"), &[]).await;
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    let register = async |service: &str, entry: Value| {
        let body = serde_json::json!({"ttl_ms": super::TTL_MS, "hosts": [entry]}).to_string();
        let path = format!("/registry/instances?service={service}");
        assert_eq!(registry.call("PUT", &path, &body).await.0, 200);
    };
    register("of-a", a.endpoint_entry("SERVING")).await;
    let mut proxies = Vec::new();
    for service in ["of-a", "of-b"] {
        let mut config = config(&registry.address.to_string());
        config["service"] = service.into();
        proxies.push(ProxyProcess::start_with_command(&config, "exec \"$0\"").await);
    }
    super::wait_until_ready(&proxies[0]).await;
    proxies[1].wait_for_log("discovery: service of-b has no backends").await;
    assert_eq!(proxies[1].readiness_status().await, 503);
    register("of-b", b.endpoint_entry("SERVING")).await;
    super::wait_until_ready(&proxies[1]).await;
    for _ in 0..10 {
        assert_eq!(proxies[0].call("look").await, (200, "a".into()));
        assert_eq!(proxies[1].call("look").await, (200, "b".into()));
    }
}
