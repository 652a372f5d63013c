//! What the proxy sends to a registry: the watch of the list, the watch of the route table, the report, and the
//! registration among the tier's proxies, each as the bytes on the socket.
//!
//! In a roll-out new proxies call registries of the recorded build, which refuse a report with a key that they do not
//! know and pass over query keys that they do not know.

use crate::proxy_golden::{golden, masked, same, same_json};
use crate::proxy_program::masked_head;
use crate::proxy_traffic::{Asked, Recorder};
use crate::rig::{BackendAction, BackendControl, ProxyProcess, TestBackend, settings};
use crate::table_rig::table_page;
use load_balancer::route_table::{ExclusionReason, Report, Witness};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;

struct Scene {
    registry: Recorder,
    orders: Arc<BackendControl>,
    _a: TestBackend,
    proxy: ProxyProcess,
}

async fn scene() -> Scene {
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let registry = Recorder::start(json!([a.endpoint_entry("SERVING")]), table_page(3, &[("a", 0.5)])).await;
    let at = registry.address.to_string();
    let config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": at, "service": "search", "seed": "1", "ops": "127.0.0.1:0",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": settings(),
        "routes": {"report_ms": 200},
        "membership": {"bind": "127.0.0.1:0", "name": "n0", "registries": [at]},
    });
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    Scene { registry, orders, _a: a, proxy }
}

/// The head with the address and what follows `generation=` masked.
fn head(asked: &Asked, scene: &Scene) -> String {
    assert!(asked.head.contains(&format!("\r\nhost: {}\r\n", scene.registry.address)), "{}", asked.head);
    let head = masked_head(&asked.head, &["host", "content-length"]);
    let Some((before, after)) = head.split_once("generation=") else { return head };
    let rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
    assert_eq!(after.len() - rest.len(), 16, "microseconds: {head}");
    format!("{before}generation=<integer>{rest}")
}

/// Whether it is the watch of a proxy that holds a table.
fn watch(asked: &Asked) -> bool {
    asked.head.starts_with("GET /registry/routes") && asked.head.contains("after=")
}

fn json_of(asked: &Asked) -> Value {
    serde_json::from_slice(&asked.body).expect("JSON")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_list_and_the_table_are_asked_for_in_these_bytes() {
    let scene = scene().await;
    let mut all = String::new();
    for begins in [
        "GET /registry/instances?service",
        "GET /registry/instances?after",
        "GET /registry/instances HTTP",
        "GET /registry/routes?name=n0&generation",
    ] {
        all += &(head(&scene.registry.first(begins).await, &scene) + "\n");
    }
    let watch =
        |asked: &Asked| asked.head.starts_with("GET /registry/routes") && asked.head.contains("after=");
    all += &head(&scene.registry.first_that(watch).await, &scene);
    same("registry_watches.txt", &all);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_report_has_these_keys_and_values() {
    let scene = scene().await;
    scene.registry.first("GET /registry/instances?after").await;
    scene.registry.first_that(watch).await;
    scene.orders.enqueue([BackendAction::Serve, BackendAction::Status(500)]);
    scene.proxy.call("look").await;
    scene.proxy.call("once").await;
    let reports = |asked: &Asked, key: &str| {
        asked.head.starts_with("PUT /registry/reports ") && json_of(asked)[key] != json!({})
    };
    let report = scene.registry.first_that(|asked| reports(asked, "errors")).await;
    same("registry_report_head.txt", &head(&report, &scene));
    let mut value = json_of(&report);
    // Whether the backend is left out yet depends on when the window ends.
    assert!(value["left_out"].is_object());
    value["left_out"] = json!({});
    let varying = ["generation", "number", "window_ms", "requests", "failed", "a"];
    same_json("registry_report.json", &masked(value, &varying));
    // The registry reads keys, and refuses those that it does not know.
    let read: Report = serde_json::from_slice(&report.body).expect("a report");
    assert_eq!(serde_json::to_vec(&read).expect("JSON"), report.body);
}

/// Every key of a report, and every word of `left_out`.
#[test]
fn a_report_has_this_form_both_ways() {
    let why = [
        ExclusionReason::Ejected,
        ExclusionReason::Cold,
        ExclusionReason::Draining,
        ExclusionReason::Subset,
        ExclusionReason::Slow,
    ];
    let counts = |n: u64| BTreeMap::from([("s-1".to_string(), n), ("s-2".to_string(), 0)]);
    let report = Report {
        name: "n0".into(),
        generation: 1_764_633_600_000_000,
        number: 2,
        zone: "a".into(),
        list_version: 41,
        revision: 3,
        digest: "651764d4c1fde88e".into(),
        window_ms: 5000,
        requests: 10,
        refused: 4,
        failed: 5,
        calls: counts(7),
        errors: counts(6),
        left_out: why.iter().enumerate().map(|(n, why)| (format!("s-{n}"), *why)).collect(),
        alive: 8,
        members: vec![Witness { name: "n1".into(), generation: 1_764_633_600_000_001, alive: true }],
    };
    same("registry_report_text.json", &(serde_json::to_string(&report).expect("JSON") + "\n"));
    let recorded: Report = serde_json::from_str(&golden("registry_report_text.json")).expect("a report");
    assert_eq!(recorded, report);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_registers_among_the_tiers_in_these_bytes() {
    let mut scene = scene().await;
    let mut all = String::new();
    let registers = |health: &'static str| {
        move |asked: &Asked| {
            asked.head.starts_with("PUT /registry/instances")
                && json_of(asked)["hosts"][0]["health"] == health
        }
    };
    let first = scene.registry.first_that(registers("SERVING")).await;
    all += &head(&first, &scene);
    all += &format!("{:#}\n\n", masked(json_of(&first), &["dial"]));
    scene.proxy.terminate().await;
    let last = scene.registry.first_that(registers("DELETED")).await;
    all += &head(&last, &scene);
    all += &format!("{:#}\n", masked(json_of(&last), &["dial"]));
    same("registry_registration.txt", &all);
}
