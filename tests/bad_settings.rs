//! Settings with missing, unknown, zero or absurd values: a start that fails at once, in one line that names the key,
//! or a proxy that serves and stops.

mod rig;
mod waits;

use rig::*;
use serde_json::{Value, json};
use std::process::{ExitStatus, Stdio};
use std::sync::Arc;
use tokio::process::Command;

/// Starts the program on a text; how it ended and what it said, which must be in time.
async fn start(text: &str) -> (ExitStatus, String) {
    let program = Command::new(env!("CARGO_BIN_EXE_proxy"))
        .env_remove("RELAY_LISTEN")
        .env_remove("RELAY_OPS")
        .env_remove("RELAY_DISCOVERY")
        .env("RELAY_CONFIG", write_config(text))
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .output();
    let program = within_deadline(program).await.expect("it starts");
    (program.status, String::from_utf8(program.stderr).expect("text"))
}

/// Sets the key at a path such as `settings.classes.0.aim`; takes it away if there is no value.
fn set(config: &mut Value, path: &str, value: Option<Value>) {
    let (within, key) = path.rsplit_once('.').expect("a path");
    let holder = config.pointer_mut(&format!("/{}", within.replace('.', "/"))).expect("it is there");
    match value {
        Some(value) => holder[key] = value,
        None => drop(holder.as_object_mut().expect("an object").remove(key)),
    }
}

fn config() -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": settings()})
}

/// One line, which names the key and no other place; no panic, and not the status of one.
async fn fails(config: &str, key: &str) {
    let (status, said) = start(config).await;
    assert_eq!(status.code(), Some(1), "{key}: {said}");
    assert_eq!(said.lines().count(), 1, "{said}");
    assert!(said.contains(key) && said.contains("mend"), "{key}: {said}");
}

#[tokio::test]
async fn a_key_that_is_needed_and_missing_ends_the_start() {
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
        fails(&config.to_string(), key.rsplit('.').next().expect("a key")).await;
    }
}

#[tokio::test]
async fn a_value_that_cannot_be_used_ends_the_start() {
    let class = |at: usize| settings()["classes"][at].clone();
    let tenant = || json!({"name": "acme", "quotaPerS": 1.0});
    for (path, value, names) in [
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
        fails(&config.to_string(), names).await;
    }
}

#[tokio::test]
async fn a_text_that_is_no_configuration_ends_the_start() {
    let whole = config().to_string();
    let [cut, nan] = [whole[..whole.len() / 2].to_string(), whole.replace("20000.0", "NaN")];
    for text in ["", "[]", "{}", &"[".repeat(100_000), &cut, &nan] {
        fails(text, "config: ").await;
    }
}

/// Keys that are not known or are not needed, and values that are odd but have a meaning.
#[tokio::test]
async fn settings_that_are_odd_but_usable_serve_every_class() {
    let orders = Arc::new(BackendControl::default());
    let backend = TestBackend::start("a", &orders).await;
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
async fn a_backoff_that_cannot_be_used_ends_the_start() {
    for (backoff, names) in [
        (json!({"max_ms": 0}), "discovery_backoff.max_ms"),
        (json!({"max_ms": 60_001}), "discovery_backoff.max_ms"),
        (json!({"max_ms": -1}), "discovery_backoff.max_ms"),
        (json!({"most_ms": 2000}), "discovery_backoff"),
    ] {
        let mut config = config();
        config["discovery_backoff"] = backoff;
        fails(&config.to_string(), names).await;
    }
}
