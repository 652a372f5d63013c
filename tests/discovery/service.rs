//! A proxy that asks for the list of a service.

use super::config;
use crate::rig::{Backend, Discovery, Orders, Proxy, settings};
use serde_json::Value;
use std::sync::Arc;

/// A proxy's configuration that names a service.
fn of_service(discovery: &Discovery, service: &str) -> Value {
    let mut config = discovery.config(settings());
    config["service"] = service.into();
    config
}

#[tokio::test]
async fn each_call_for_the_list_names_the_service_and_none_does_without_one() {
    let orders = Arc::new(Orders::default());
    let a = Backend::start("a", &orders).await;
    let (named, plain) =
        (Discovery::start(vec![a.line("SERVING")]).await, Discovery::start(vec![a.line("SERVING")]).await);
    let by_file = Proxy::start_as(&of_service(&named, "search.eu-1"), "exec \"$0\"").await;
    // The flag goes before the file.
    let by_flag = Proxy::start_as(&of_service(&named, "other"), "exec \"$0\" --service search.eu-1").await;
    let of_none = Proxy::start(&plain, settings()).await;
    for proxy in [&by_file, &by_flag, &of_none] {
        super::until_ready(proxy).await;
        assert_eq!(proxy.call("look").await, (200, "a".into()));
    }
    for discovery in [&named, &plain] {
        discovery.tell(vec![a.line("SERVING")]).await;
    }
    let (of_service, without) = (named.asked(), plain.asked());
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
    let orders = Arc::new(Orders::default());
    let a = Backend::start("a", &orders).await;
    let discovery = Discovery::start(Vec::new()).await;
    let mut proxy = Proxy::start_as(&of_service(&discovery, "nobodys"), "exec \"$0\"").await;
    // Two more lists without backends.
    for _ in 0..2 {
        discovery.tell(Vec::new()).await;
    }
    assert_eq!(proxy.ready().await, 503);
    discovery.tell(vec![a.line("SERVING")]).await;
    super::until_ready(&proxy).await;
    assert_eq!(proxy.call("look").await, (200, "a".into()));
    proxy.send_signal("-KILL");
    let log = proxy.rest_of_log().await;
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
        let mut proxy = Proxy::spawn(&config, command);
        let status = proxy.ended().await;
        let log = proxy.rest_of_log().await;
        assert_eq!(status.code(), Some(1), "{log:?}");
        assert_eq!(log.len(), 1, "one line: {log:?}");
        assert!(log[0].contains("config: service: ") && log[0].contains("mend"), "{log:?}");
    }
}
