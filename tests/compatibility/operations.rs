//! The operators' address of the proxy: every call, and every key of every page.
//!
//! Operators' scripts and monitoring parse these answers, and in a roll-out they call old and new processes alike; so
//! neither a key, nor the line `--` that ends a page, nor a word of an answer may change.

use crate::proxy_golden::{masked, same, same_json};
use crate::proxy_program::operate;
use crate::rig::{BackendAction, ProxyFixture, ProxyProcess, TestDiscovery, settings, start_fixture_with};
use crate::table_rig::{StubRegistry, table_page};
use crate::waits::within_deadline;
use serde_json::{Value, json};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

const LOOK: Duration = Duration::from_millis(20);

async fn scene(change: impl FnOnce(&mut Value)) -> ProxyFixture {
    start_fixture_with(settings(), |config| {
        config["ops"] = "127.0.0.1:0".into();
        change(config);
    })
    .await
}

/// A page in its exact form: one line of JSON without spaces, then `--`.
async fn page(proxy: &ProxyProcess, call: &str) -> Value {
    let answer = proxy.ops_call(call).await;
    let line = answer.strip_suffix("\n--\n").unwrap_or_else(|| panic!("{call}: {answer}"));
    let value: Value = serde_json::from_str(line).expect("JSON");
    assert_eq!(value.to_string(), line, "{call}: one line without spaces, its keys in order");
    value
}

async fn until(proxy: &ProxyProcess, call: &str, is: impl Fn(&Value) -> bool) -> Value {
    within_deadline(async {
        loop {
            let page = page(proxy, call).await;
            if is(&page) {
                return page;
            }
            sleep(LOOK).await;
        }
    })
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counters_have_these_keys_and_values_before_and_after_requests() {
    let scene = scene(|_| {}).await;
    same_json("counters_fresh.json", &page(&scene.proxy, "counters").await);
    for class in ["look", "look", "keep"] {
        assert_eq!(scene.proxy.call(class).await.0, 200);
    }
    scene.control.enqueue([BackendAction::Status(500)]);
    assert_eq!(scene.proxy.call("once").await.0, 502);
    scene.control.enqueue([
        BackendAction::Decline(503),
        BackendAction::Decline(503),
        BackendAction::Decline(503),
    ]);
    scene
        .discovery
        .publish(vec![scene.a.endpoint_entry("SERVING"), scene.b.endpoint_entry("DRAINING")])
        .await;
    let release = Arc::new(Notify::new());
    scene.control.clear();
    scene.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    let mut caller = scene.proxy.connect_client().await;
    let held = tokio::spawn(async move { caller.call("look").await });
    scene.control.wait_for_requests(5).await;
    let during =
        until(&scene.proxy, "counters", |page| page["attempts"] == 5 && page["in_flight"] == 1).await;
    same_json("counters_after.json", &during);
    release.notify_one();
    assert_eq!(within_deadline(held).await.expect("it ran").0, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn members_have_these_keys_and_standings() {
    let member = |name: &str, seeds: Vec<String>| {
        let timing = json!({"probe_ms": 200, "rtt_ms": 100, "suspicion_ms": 600_000, "forget_ms": 600_000});
        json!({"bind": "127.0.0.1:0", "name": name, "seeds": seeds, "timing": timing})
    };
    let masks = [
        "addr",
        "generation",
        "incarnation",
        "heard_ms_ago",
        "received",
        "received_bytes",
        "sent",
        "sent_bytes",
    ];
    let scene = scene(|config| config["membership"] = member("n0", Vec::new())).await;
    let alone = page(&scene.proxy, "members").await;
    same_json("members_alone.json", &masked(alone.clone(), &masks));
    let join = async |name: &str| {
        let mut config = scene.discovery.proxy_config(settings());
        config["membership"] = member(name, vec![alone["addr"].as_str().expect("text").to_string()]);
        ProxyProcess::start_with_command(&config, "exec \"$0\"").await
    };
    let (alive, mut gone, suspect) = (join("n1").await, join("n2").await, join("n3").await);
    until(&scene.proxy, "members", |page| page["alive"] == 4).await;
    gone.terminate().await;
    suspect.kill().await;
    let standing = |page: &Value, name: &str| {
        let members = page["members"].as_array().expect("a list");
        members.iter().find(|m| m["name"] == name).map(|m| m["standing"].clone())
    };
    let all = [("n1", "alive"), ("n2", "gone"), ("n3", "suspect")];
    let is = |page: &Value| all.iter().all(|(name, so)| standing(page, name) == Some(json!(so)));
    let mut page = until(&scene.proxy, "members", is).await;
    let members = page["members"].as_array_mut().expect("a list");
    members.sort_by_key(|member| member["name"].to_string());
    let masks = [&masks[..], &["share"]].concat();
    same_json("members_after.json", &masked(page, &masks));
    drop(alive);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routes_and_record_have_these_keys() {
    let tables = StubRegistry::start(&table_page(3, &[("a", 0.5)])).await;
    let scene = scene(|config| {
        let registries = [tables.address.to_string()];
        config["routes"] = json!({"registries": registries, "name": "n0", "report_ms": 100});
        config["record"] = json!({"sampled": 1.0, "segment_ms": 600_000});
    })
    .await;
    let routes = until(&scene.proxy, "routes", |page| {
        page["revision"] == 3 && page["reports"]["sent"] != 0 && page["weights"] != json!({})
    });
    let routes = masked(routes.await, &["generation", "registry", "since_ms", "sent"]);
    same_json("routes.json", &routes);
    same_json("record.json", &page(&scene.proxy, "record").await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_are_answered_with_these_words() {
    let empty = TestDiscovery::start(Vec::new()).await;
    let mut config = empty.proxy_config(settings());
    config["ops"] = "127.0.0.1:0".into();
    let idle = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    let mut scene = scene(|_| {}).await;
    let mut all = String::new();
    let say = |all: &mut String, state: &str, call: &str, answer: &str| {
        writeln!(all, "{state}: {call:?} -> {answer:?}").expect("text");
    };
    say(&mut all, "no backend", "health", &idle.ops_call("health").await);
    let calls = ["health", "members", "routes", "record", "nonsense", ""];
    for call in calls.into_iter().chain(["quiesce", "quiesce", "health", "resume", "resume", "health"]) {
        say(&mut all, "serving", call, &scene.proxy.ops_call(call).await);
    }
    let ops = scene.proxy.ops.expect("it has one");
    say(&mut all, "serving", "bytes", &operate(ops, b"\xff\xfe\n").await);
    say(&mut all, "serving", "300 bytes", &operate(ops, &[b'x'; 300]).await);
    say(&mut all, "serving", "half", &operate(ops, b"heal").await);
    let release = Arc::new(Notify::new());
    scene.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    let mut caller = scene.proxy.connect_client().await;
    let held = tokio::spawn(async move { caller.call("look").await });
    scene.control.wait_for_requests(1).await;
    scene.proxy.terminate().await;
    for call in ["health", "quiesce", "resume"] {
        say(&mut all, "stopping", call, &scene.proxy.ops_call(call).await);
    }
    release.notify_one();
    assert_eq!(within_deadline(held).await.expect("it ran").0, 200);
    assert!(scene.proxy.wait_for_exit().await.success());
    same("calls.txt", &all);
}
