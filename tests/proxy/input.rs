//! Tests of malformed requests and configurations.

use crate::rig::*;
use http_body_util::Full;
use std::sync::Arc;

#[tokio::test]
async fn malformed_requests_get_an_error_status_and_reach_no_backend() {
    let s = start_fixture(settings()).await;
    let mut client = s.proxy.connect_client().await;
    let without = |class: &str, name: &str| {
        let mut call = request(class).body(Full::<bytes::Bytes>::default()).expect("a valid request");
        call.headers_mut().remove(name).expect("the header to remove");
        call
    };
    for (class, header) in
        [("look", "req-id"), ("look", "req-owner"), ("look", "req-deadline-ms"), ("keep", "idempotency-key")]
    {
        assert_eq!(client.send(without(class, header)).await.0, 400, "{class} without {header}");
    }
    let malformed = [
        (request("look").uri("/nothing?k=1"), 404),
        (request("look").uri("/"), 404),
        (request("look").method("POST"), 405),
        (request("once").method("GET"), 405),
        (request("once").header("idempotency-key", "1"), 400),
        (request("look").header("req-owner", "other"), 400),
        (request("look").header("req-id", "second"), 400),
    ];
    for (call, status) in malformed {
        assert_eq!(client.send(call.body(Full::default()).expect("a valid request")).await.0, status);
    }
    let body = vec![b'x'; (32 << 20) + 1];
    let call = request("once").body(Full::from(body)).expect("a valid request");
    assert_eq!(s.proxy.connect_client().await.send(call).await.0, 413);
    assert_eq!(s.control.requests.borrow().len(), 0);
    let call = request("once").body(Full::from(vec![b'x'; 64 * 1024])).expect("a valid request");
    assert_eq!(s.proxy.connect_client().await.send(call).await.0, 200);
}

#[tokio::test]
async fn an_invalid_configuration_ends_the_proxy_with_one_log_line() {
    let discovery = TestDiscovery::start(Vec::new()).await;
    let good = discovery.proxy_config(settings());
    let mut no_class = good.clone();
    no_class["settings"]["classes"] = serde_json::json!([]);
    let mut bad_seed = good.clone();
    bad_seed["seed"] = "xyz".into();
    for (text, expected) in [
        ("{".to_string(), "config: "),
        (no_class.to_string(), "classes"),
        (bad_seed.to_string(), "seed"),
        (good.to_string().replace("127.0.0.1:0", "nowhere"), "listen"),
        (good.to_string().replace("openCap", "other"), "openCap"),
    ] {
        let program = std::process::Command::new(env!("CARGO_BIN_EXE_proxy"))
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .env("RELAY_CONFIG", write_config(&text))
            .output()
            .expect("start the proxy");
        let log = String::from_utf8(program.stderr).expect("UTF-8 log lines");
        assert!(!program.status.success() && log.lines().count() == 1, "{log}");
        assert!(log.contains(expected), "{log}");
    }
}

/// A valid TOML file of the operators starts the proxy; an error names the invalid key or value.
#[tokio::test]
async fn an_operators_toml_file_is_validated_strictly() {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let discovery = TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await;
    let mut good = discovery.proxy_config(settings());
    for platform_key in ["name", "seed"] {
        good.as_object_mut().expect("a table").remove(platform_key);
    }
    good["limits"].as_object_mut().expect("a table").remove("cores");
    let write = |config: &serde_json::Value| {
        let path = write_config(&toml::to_string(config).expect("a configuration that TOML can represent"))
            .with_extension("toml");
        std::fs::rename(path.with_extension("json"), &path).expect("rename the configuration file");
        path
    };
    let (mut unknown_key, mut bad_guard, mut too_many) = (good.clone(), good.clone(), good.clone());
    unknown_key["discovry"] = "127.0.0.1:1".into();
    bad_guard["list_guard"] = serde_json::json!({"panic_threshold": 1.5});
    too_many["discovery"] = vec!["127.0.0.1:1"; 17].into();
    for (config, expected) in
        [(unknown_key, "discovry"), (bad_guard, "list_guard.panic_threshold"), (too_many, "at most 16")]
    {
        let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_proxy"));
        let program = program.env_remove("RELAY_DISCOVERY").env_remove("RELAY_LISTEN").arg("--config");
        let program = program.arg(write(&config)).output().expect("start the proxy");
        let log = String::from_utf8(program.stderr).expect("UTF-8 log lines");
        assert!(!program.status.success() && log.lines().count() == 1, "{log}");
        assert!(log.contains(expected), "{log}");
    }
    let command =
        format!("unset RELAY_CONFIG RELAY_DISCOVERY; exec \"$0\" --config {}", write(&good).display());
    let proxy = ProxyProcess::start_with_command(&good, &command).await;
    discovery.wait_until_synced().await;
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}
