//! Settings with missing, unknown, zero or extreme values: startup either fails with one log line that names the key,
//! or the proxy serves requests and shuts down.

mod rig;
mod waits;

use rig::*;
use serde_json::{Value, json};
use std::process::{ExitStatus, Stdio};
use std::sync::Arc;
use tokio::process::Command;

/// Runs the proxy with this configuration and returns its exit status and log; it must exit in time.
async fn run_to_exit(text: &str) -> (ExitStatus, String) {
    let program = Command::new(env!("CARGO_BIN_EXE_proxy"))
        .env_remove("RELAY_LISTEN")
        .env_remove("RELAY_OPS")
        .env_remove("RELAY_DISCOVERY")
        .env("RELAY_CONFIG", write_config(text))
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .output();
    let program = within_deadline(program).await.expect("program starts");
    (program.status, String::from_utf8(program.stderr).expect("UTF-8 text"))
}

/// Sets the key at a path such as `settings.classes.0.aim`, or removes it if `value` is `None`.
fn set(config: &mut Value, path: &str, value: Option<Value>) {
    let (parent, key) = path.rsplit_once('.').expect("a dotted path");
    let object = config.pointer_mut(&format!("/{}", parent.replace('.', "/"))).expect("an existing path");
    match value {
        Some(value) => object[key] = value,
        None => drop(object.as_object_mut().expect("an object").remove(key)),
    }
}

fn config() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": settings()})
}

/// Checks that startup fails without a panic, with exit status 1 and one log line that names the key.
async fn assert_startup_fails(config: &str, key: &str) {
    let (status, log) = run_to_exit(config).await;
    assert_eq!(status.code(), Some(1), "{key}: {log}");
    assert_eq!(log.lines().count(), 1, "{log}");
    assert!(log.contains(key) && log.contains("mend"), "{key}: {log}");
}

#[tokio::test]
async fn a_missing_required_key_fails_startup() {
    for key in [
        "slotNo",
        "peersTotal",
        "tier",
        "locality",
        "tick",
        "overShareWorth",
        "discovery",
        "tenants",
        "classes",
        "caps",
        "guarantees",
        "caps.cancelling",
        "caps.retryAfter",
        "caps.maxRetryAfter",
        "caps.tryLimit",
        "caps.openCap",
        "caps.connIdle",
        "caps.connectTimeout",
        "guarantees.coldFrom",
        "guarantees.cold",
        "guarantees.fallMultiple",
        "guarantees.stopSendingWithin",
        "classes.0.aim",
        "classes.0.points",
        "classes.0.semantics",
        "classes.0.group",
        "classes.0.window",
        "tenants.0.quotaPerS",
    ] {
        let mut config = config();
        set(&mut config, &format!("settings.{key}"), None);
        assert_startup_fails(&config.to_string(), key.rsplit('.').next().expect("a key")).await;
    }
}

#[tokio::test]
async fn an_invalid_value_fails_startup() {
    let class = |at: usize| settings()["classes"][at].clone();
    let tenant = || json!({"name": "acme", "quotaPerS": 1.0});
    for (path, value, key) in [
        ("limits.sockets", json!(0), "limits.sockets"),
        ("limits.sockets", json!(1), "limits.sockets"),
        ("limits.sockets", json!(63), "limits.sockets"),
        ("limits.sockets", json!(-1), "limits.sockets"),
        ("limits.sockets", json!("many"), "limits.sockets"),
        ("limits.memory_mb", json!(-1), "limits.memory_mb"),
        ("settings.peersTotal", json!(0), "peersTotal"),
        ("settings.peersTotal", json!(1e300), "peersTotal"),
        ("settings.slotNo", json!(1), "slotNo"),
        ("settings.slotNo", json!(-1), "slotNo"),
        ("settings.locality", json!(1), "locality"),
        ("settings.locality", json!(70_000), "locality"),
        ("settings.localities", json!(["a", "a"]), "localities: a"),
        ("settings.localities", json!(["a", ""]), "localities: one"),
        ("settings.tick", json!(-5.0), "tick"),
        ("settings.tick", json!("NaN"), "tick"),
        ("settings.overShareWorth", json!(-0.1), "overShareWorth"),
        ("settings.discovery", json!("sometimes"), "discovery"),
        ("settings.classes", json!([]), "classes"),
        ("settings.classes", json!({}), "classes"),
        ("settings.classes", json!([class(0), class(1), class(0)]), "classes: look"),
        ("settings.classes.0.name", json!(""), "classes: one"),
        ("settings.classes.0.aim", json!(0.0), "classes[0].aim"),
        ("settings.classes.1.aim", json!(-1.0), "classes[1].aim"),
        ("settings.classes.1.aim", json!("Infinity"), "classes[1].aim"),
        ("settings.classes.1.points", json!(-1.0), "classes[1].points"),
        ("settings.classes.2.window", Value::Null, "classes[2].window"),
        ("settings.classes.2.semantics", json!("odd"), "classes[2].semantics"),
        ("settings.classes.2.group", json!("odd"), "classes[2].group"),
        ("settings.tenants", json!([tenant(), tenant()]), "tenants: acme"),
        ("settings.tenants.0.name", json!(""), "tenants: one"),
        ("settings.tenants.0.quotaPerS", json!(-1.0), "tenants[0].quotaPerS"),
        ("settings.caps.tryLimit", json!(0), "caps.tryLimit"),
        ("settings.caps.openCap", json!(0), "caps.openCap"),
        ("settings.caps.openCap", json!(-1), "caps.openCap"),
        ("settings.caps.connIdle", json!(0.0), "caps.connIdle"),
        ("settings.caps.connectTimeout", json!(0.0), "caps.connectTimeout"),
        ("settings.caps.maxRetryAfter", json!(-1.0), "caps.maxRetryAfter"),
        ("settings.guarantees.cold", json!(-1.0), "guarantees.cold"),
        ("settings.guarantees.coldFrom", json!("NaN"), "guarantees.coldFrom"),
        ("settings.guarantees.stopSendingWithin", json!(0.0), "guarantees.stopSendingWithin"),
    ] {
        let mut config = config();
        set(&mut config, path, Some(value));
        assert_startup_fails(&config.to_string(), key).await;
    }
}

#[tokio::test]
async fn an_invalid_configuration_text_fails_startup() {
    let valid = config().to_string();
    let [truncated, nan] = [valid[..valid.len() / 2].to_string(), valid.replace("20000.0", "NaN")];
    for text in ["", "[]", "{}", &"[".repeat(100_000), &truncated, &nan] {
        assert_startup_fails(text, "config: ").await;
    }
}

/// Unknown keys, absent optional keys, and extreme values that are valid.
#[tokio::test]
async fn extreme_but_valid_settings_serve_every_class() {
    let control = Arc::new(BackendControl::default());
    let backend = TestBackend::start("a", &control).await;
    let discovery = TestDiscovery::start(vec![backend.endpoint_entry("SERVING")]).await;
    let mut served = tokio::task::JoinSet::new();
    for (path, value) in [
        ("settings.someNewKey", Some(json!({"deep": [1, null]}))),
        ("settings.caps.someNewCap", Some(json!(-1))),
        ("settings.classes.0.giveUp", None),
        ("settings.classes.0.giveUp", Some(json!(10.0))),
        ("settings.classes.0.aim", Some(json!(90_000.0))),
        ("settings.classes.0.aim", Some(json!(1e300))),
        ("settings.classes.0.points", Some(json!(0.0))),
        ("settings.classes.1.window", Some(json!(0.0))),
        ("settings.classes.1.window", Some(json!(1e300))),
        ("settings.caps.mayDuplicate", None),
        ("settings.caps.maxRetryAfter", Some(json!(0.0))),
        ("settings.caps.openCap", Some(json!(1))),
        ("settings.caps.tryLimit", Some(json!(1))),
        ("settings.caps.connIdle", Some(json!(1.0))),
        ("settings.caps.connIdle", Some(json!(1e300))),
        ("settings.caps.connectTimeout", Some(json!(1e300))),
        ("settings.guarantees.coldFrom", Some(json!(0.0))),
        ("settings.guarantees.coldFrom", Some(json!(7.0))),
        ("settings.guarantees.cold", Some(json!(0.0))),
        ("settings.guarantees.cold", Some(json!(1e300))),
        ("settings.guarantees.fallMultiple", Some(json!(0.0))),
        ("settings.guarantees.stopSendingWithin", Some(json!(1e300))),
        ("settings.tick", Some(json!(0.0))),
        ("settings.tick", Some(json!(1e300))),
        ("settings.tenants", Some(json!([]))),
        ("settings.tenants.0.quotaPerS", Some(json!(0.0))),
        ("settings.overShareWorth", Some(json!(1e300))),
        ("settings.localities", None),
        ("settings.localities", Some(json!([]))),
        ("limits.sockets", Some(json!(64))),
        ("limits.sockets", Some(json!(1_000_000_000_000_u64))),
        ("limits.memory_mb", Some(json!(0))),
        ("limits.memory_mb", Some(json!(1_000_000_000_000_u64))),
    ] {
        let mut config = discovery.proxy_config(settings());
        set(&mut config, path, value);
        served.spawn(async move {
            let mut proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
            while proxy.readiness_status().await != 200 {
                tokio::task::yield_now().await;
            }
            for class in ["look", "keep", "once"] {
                assert_eq!(proxy.call(class).await, (200, "a".to_string()), "{path}");
            }
            proxy.terminate().await;
            assert!(proxy.wait_for_exit().await.success(), "{path}");
        });
    }
    served.join_all().await;
}

#[tokio::test]
async fn an_invalid_backoff_fails_startup() {
    for (backoff, key) in [
        (json!({"max_ms": 0}), "discovery_backoff.max_ms"),
        (json!({"max_ms": 60_001}), "discovery_backoff.max_ms"),
        (json!({"max_ms": -1}), "discovery_backoff.max_ms"),
        (json!({"most_ms": 2000}), "discovery_backoff"),
    ] {
        let mut config = config();
        config["discovery_backoff"] = backoff;
        assert_startup_fails(&config.to_string(), key).await;
    }
}
