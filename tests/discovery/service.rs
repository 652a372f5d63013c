//! A proxy that asks for the list of a service.

use super::config;
use crate::rig::{BackendControl, ProxyProcess, TestBackend, TestDiscovery, settings};
use serde_json::Value;
use std::sync::Arc;

/// A proxy's configuration that names a service.
fn of_service(discovery: &TestDiscovery, service: &str) -> Value {
    let mut config = discovery.proxy_config(settings());
    config["service"] = service.into();
    config
}

#[tokio::test]
async fn each_call_for_the_list_names_the_service_and_none_does_without_one() {
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let (named, plain) = (
        TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await,
        TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await,
    );
    let by_file = ProxyProcess::start_with_command(&of_service(&named, "search.eu-1"), "exec \"$0\"").await;
    // The flag goes before the file.
    let by_flag =
        ProxyProcess::start_with_command(&of_service(&named, "other"), "exec \"$0\" --service search.eu-1")
            .await;
    let of_none = ProxyProcess::start(&plain, settings()).await;
    for proxy in [&by_file, &by_flag, &of_none] {
        super::until_ready(proxy).await;
        assert_eq!(proxy.call("look").await, (200, "a".into()));
    }
    for discovery in [&named, &plain] {
        discovery.publish(vec![a.endpoint_entry("SERVING")]).await;
    }
    let (of_service, without) = (named.request_targets(), plain.request_targets());
    let whole = |all: &[String], path: &str| all.iter().filter(|asked| *asked == path).count();
    assert_eq!(whole(&of_service, "/registry/instances?service=search.eu-1"), 2);
    assert_eq!(whole(&without, "/registry/instances"), 1);
    let watches = |path: &&String| path.contains("?after=");
    assert!(of_service.iter().any(|path| watches(&path)) && without.iter().any(|path| watches(&path)));
    assert!(of_service.iter().all(|path| path.ends_with("service=search.eu-1")), "{of_service:?}");
    assert!(without.iter().all(|path| !path.contains("service")), "{without:?}");
}

#[tokio::test]
async fn a_service_that_nobody_has_is_told_of_once_and_asked_for_until_it_has_backends() {
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let discovery = TestDiscovery::start(Vec::new()).await;
    let mut proxy = ProxyProcess::start_with_command(&of_service(&discovery, "nobodys"), "exec \"$0\"").await;
    // Two more lists without backends.
    for _ in 0..2 {
        discovery.publish(Vec::new()).await;
    }
    assert_eq!(proxy.readiness_status().await, 503);
    discovery.publish(vec![a.endpoint_entry("SERVING")]).await;
    super::until_ready(&proxy).await;
    assert_eq!(proxy.call("look").await, (200, "a".into()));
    proxy.send_signal("-KILL");
    let log = proxy.remaining_log().await;
    let told = log.iter().filter(|line| line.contains("discovery: service nobodys has no backends")).count();
    assert_eq!(told, 1, "{log:#?}");
}

#[tokio::test]
async fn a_name_that_registries_do_not_know_ends_the_start() {
    let mut config = config("127.0.0.1:9");
    for (in_file, command) in [
        ("Search", "exec \"$0\""),
        ("", "exec \"$0\""),
        ("search", "exec \"$0\" --service 'a&b'"),
        ("search", "exec \"$0\" --service ''"),
    ] {
        config["service"] = in_file.into();
        let mut proxy = ProxyProcess::spawn(&config, command);
        let status = proxy.wait_for_exit().await;
        let log = proxy.remaining_log().await;
        assert_eq!(status.code(), Some(1), "{log:?}");
        assert_eq!(log.len(), 1, "one line: {log:?}");
        assert!(log[0].contains("config: service: ") && log[0].contains("mend"), "{log:?}");
    }
}

#[tokio::test]
async fn a_real_registry_gives_each_proxy_its_services_list() {
    use crate::registry_rig::{Registry, data_dir};
    let registry = Registry::start(&data_dir("services-of-proxies"), &[]).await;
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    let put = async |service: &str, line: Value| {
        let body = serde_json::json!({"ttl_ms": super::TTL, "hosts": [line]}).to_string();
        let path = format!("/registry/instances?service={service}");
        assert_eq!(registry.call("PUT", &path, &body).await.0, 200);
    };
    put("of-a", a.endpoint_entry("SERVING")).await;
    let mut proxies = Vec::new();
    for service in ["of-a", "of-b"] {
        let mut config = config(&registry.address.to_string());
        config["service"] = service.into();
        proxies.push(ProxyProcess::start_with_command(&config, "exec \"$0\"").await);
    }
    super::until_ready(&proxies[0]).await;
    proxies[1].wait_for_log("discovery: service of-b has no backends").await;
    assert_eq!(proxies[1].readiness_status().await, 503);
    put("of-b", b.endpoint_entry("SERVING")).await;
    super::until_ready(&proxies[1]).await;
    for _ in 0..10 {
        assert_eq!(proxies[0].call("look").await, (200, "a".into()));
        assert_eq!(proxies[1].call("look").await, (200, "b".into()));
    }
}
