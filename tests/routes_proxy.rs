//! The proxy's side of the route table, against a stub registry that serves valid and invalid tables.

mod fault_relay;
mod rig;
mod table_rig;
mod waits;

use fault_relay::Relay;
use load_balancer::replay::{AttemptOutcome, Ending, Segment};
use load_balancer::route_table::{MAX_NAME_BYTES, MAX_WEIGHTS, Weights};
use rig::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use table_rig::{StubRegistry, table_page};
use tokio::time::sleep;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a proxy that watches the route table at an address and reports there.
async fn start_proxy(registry: SocketAddr) -> ProxyFixture {
    start_fixture_with(settings(), |config| {
        config["ops"] = "127.0.0.1:0".into();
        config["routes"] = json!({"registries": [registry.to_string()], "name": "n0", "report_ms": 200});
    })
    .await
}

/// The proxy's operations page of the route table.
async fn page(proxy: &ProxyProcess) -> Value {
    let page = proxy.ops_call("routes").await;
    serde_json::from_str(page.lines().next().expect("the page has a line")).expect("the page is JSON")
}

/// Waits until the proxy's page fulfils a condition, and returns the page.
async fn wait_for_page(proxy: &ProxyProcess, condition: impl Fn(&Value) -> bool) -> Value {
    within_deadline(async {
        loop {
            let page = page(proxy).await;
            if condition(&page) {
                return page;
            }
            sleep(POLL_INTERVAL).await;
        }
    })
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_table_weights_the_selection_and_reports_count_the_calls() {
    let without_a = table_page(3, &[("a", 0.0)]);
    let registry = StubRegistry::start(&without_a).await;
    let scene = start_proxy(registry.address).await;
    let state = wait_for_page(&scene.proxy, |page| page["revision"] == 3).await;
    assert_eq!(state["weights"], json!({"a": 0.0, "b": 1.0}));
    assert_eq!((&state["error"], &state["newest"]), (&Value::Null, &json!(3)));
    let first = registry.wait_for_report(|r| r["revision"] == 3).await;
    assert_eq!(first["digest"], without_a["digest"]);
    assert_eq!((&first["name"], &first["zone"], &first["alive"]), (&json!("n0"), &json!("a"), &json!(0)));
    let mut caller = scene.proxy.connect_client().await;
    for _ in 0..200 {
        assert_eq!(caller.call("look").await.0, 200);
    }
    assert_eq!((scene.control.request_count("a"), scene.control.request_count("b")), (0, 200));
    scene.control.enqueue([BackendAction::Status(500)]);
    caller.call("once").await;
    // The counts of all windows add up to the calls that the backends received.
    let sum = |key: &str, name: &str| -> u64 {
        registry.reports().iter().filter_map(|r| r[key][name].as_u64()).sum()
    };
    within_deadline(async {
        let requests = || registry.reports().iter().filter_map(|r| r["requests"].as_u64()).sum::<u64>();
        while (sum("calls", "b"), sum("errors", "b"), requests()) != (201, 1, 201) {
            sleep(POLL_INTERVAL).await;
        }
    })
    .await;
    let reports = registry.reports();
    assert_eq!((sum("calls", "a"), reports.iter().filter_map(|r| r["failed"].as_u64()).sum::<u64>()), (0, 1));
    let numbers: Vec<u64> = reports.iter().filter_map(|r| r["number"].as_u64()).collect();
    assert_eq!(numbers, Vec::from_iter(1..=reports.len() as u64));
    assert!(reports.iter().all(|r| r["generation"] == first["generation"]));
    let watches = registry.table_requests();
    assert!(watches[0].starts_with("/registry/routes?name=n0&generation=") && !watches[0].contains("after="));
    assert!(watches[1].ends_with("&after=3&wait_ms=5000"), "{}", watches[1]);
    // A backend that is added later gets a weight too, here by its machine class.
    let weights = Weights { classes: [("m".to_string(), 0.5)].into(), ..Weights::default() };
    registry.serve(json!({"revision": 4, "newest": 4, "digest": weights.digest(), "weights": weights}));
    wait_for_page(&scene.proxy, |page| page["weights"] == json!({"a": 0.5, "b": 0.5})).await;
    let c = TestBackend::start("c", &scene.control).await;
    scene
        .discovery
        .publish(vec![
            scene.a.endpoint_entry("SERVING"),
            scene.b.endpoint_entry("DRAINING"),
            c.endpoint_entry("SERVING"),
        ])
        .await;
    let state = wait_for_page(&scene.proxy, |page| page["weights"]["c"].is_number()).await;
    assert_eq!(state["weights"], json!({"a": 0.5, "c": 0.5}));
    assert_eq!(state["left_out"]["b"], "draining");
}

#[rstest]
#[case::wrong_digest(with(table_page(4, &[("a", 0.5)]), "digest", json!("0123456789abcdef")), "is spoilt")]
#[case::negative(table_page(4, &[("a", -0.5)]), "0 or more")]
#[case::older_revision(table_page(2, &[("a", 0.5)]), "registry is behind")]
#[case::other_table_under_the_same_revision(table_page(3, &[("a", 0.5)]), "another table under revision 3")]
#[case::incomplete(json!({"revision": 4}), "cannot be read")]
#[case::too_long(json!("x".repeat(9 << 20)), "length limit")]
#[case::too_many_weights(table_with_longest_names(5, MAX_WEIGHTS + 1), "are more than 16384")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_table_leaves_the_last_good_one_in_force(#[case] invalid: Value, #[case] why: &str) {
    let registry = StubRegistry::start(&table_page(3, &[("a", 0.25)])).await;
    let mut scene = start_proxy(registry.address).await;
    wait_for_page(&scene.proxy, |page| page["revision"] == 3).await;
    registry.serve(invalid);
    let state =
        wait_for_page(&scene.proxy, |page| page["error"].as_str().is_some_and(|e| e.contains(why))).await;
    assert_eq!((&state["revision"], &state["weights"]["a"]), (&json!(3), &json!(0.25)));
    scene.proxy.wait_for_log(why).await;
    assert_eq!(scene.proxy.call("look").await.0, 200);
    registry.wait_for_report(|r| r["number"].as_u64() > Some(1) && r["revision"] == 3).await;
    registry.serve(table_page(5, &[("a", 2.0)]));
    let state = wait_for_page(&scene.proxy, |page| page["revision"] == 5).await;
    assert_eq!((&state["error"], &state["weights"]["a"]), (&Value::Null, &json!(2.0)));
}

/// A table of `count` weights with names of the maximum length, one of them for `a`.
fn table_with_longest_names(revision: u64, count: usize) -> Value {
    let name = |n: usize| format!("{n:0>width$}", width = MAX_NAME_BYTES);
    let names: Vec<String> = (1..count).map(name).collect();
    let mut weights: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 0.123456789)).collect();
    weights.push(("a", 0.75));
    table_page(revision, &weights)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_table_with_the_most_weights_and_the_longest_names_is_applied() {
    let registry = StubRegistry::start(&table_page(3, &[("a", 0.25)])).await;
    let scene = start_proxy(registry.address).await;
    wait_for_page(&scene.proxy, |page| page["revision"] == 3).await;
    let largest = table_with_longest_names(4, MAX_WEIGHTS);
    let backends = largest["weights"]["backends"].as_object().expect("the weights are an object");
    assert_eq!(backends.len(), MAX_WEIGHTS);
    registry.serve(largest);
    let state = wait_for_page(&scene.proxy, |page| page["revision"] == 4).await;
    assert_eq!((&state["error"], &state["weights"]["a"]), (&Value::Null, &json!(0.75)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_good_table_stays_without_the_registry_and_the_newest_is_applied_after_reconnecting() {
    let registry = StubRegistry::start(&table_page(3, &[("a", 0.25)])).await;
    let relay = Relay::start(registry.address).await;
    let scene = start_proxy(relay.address).await;
    wait_for_page(&scene.proxy, |page| page["revision"] == 3).await;
    relay.set_target(unused_address().await);
    wait_for_page(&scene.proxy, |page| page["error"].is_string()).await;
    registry.serve(table_page(4, &[("b", 0.25)]));
    let state = wait_for_page(&scene.proxy, |page| page["reports"]["lost"].as_u64() >= Some(3)).await;
    assert_eq!((&state["revision"], &state["weights"]["a"]), (&json!(3), &json!(0.25)));
    assert!(state["error"].is_string() && state["reports"]["error"].is_string());
    assert_eq!(scene.proxy.call("look").await.0, 200);
    let last = registry.reports().len();
    relay.set_target(registry.address);
    wait_for_page(&scene.proxy, |page| page["revision"] == 4 && page["error"].is_null()).await;
    let report = registry.wait_for_report(|r| r["revision"] == 4).await;
    assert!(
        report["number"].as_u64() > Some(last as u64 + 1),
        "the numbers of lost reports are skipped: {report}"
    );
    assert!(
        report["window_ms"].as_u64() < Some(600),
        "a later report does not include lost windows: {report}"
    );
    wait_for_page(&scene.proxy, |page| page["reports"]["error"].is_null()).await;
    let mut proxy = scene.proxy;
    proxy.wait_for_log("accepts reports again").await;
}

/// An address on which no process listens.
async fn unused_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port is bound");
    listener.local_addr().expect("a bound listener has an address")
}

/// Replaces the value of a key of a page.
fn with(mut page: Value, key: &str, value: Value) -> Value {
    page[key] = value;
    page
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn recorded_requests_are_sent_in_segments_with_their_outcomes() {
    let registry = StubRegistry::start(&table_page(0, &[])).await;
    let scene = start_fixture_with(settings(), |config| {
        config["ops"] = "127.0.0.1:0".into();
        config["routes"] = json!({"registries": [registry.address.to_string()], "name": "n0"});
        config["record"] = json!({"sampled": 1.0, "segment_ms": 1000});
    })
    .await;
    scene.control.enqueue([BackendAction::Status(500)]);
    let mut caller = scene.proxy.connect_client().await;
    for _ in 0..20 {
        assert_eq!(caller.call("look").await.0, 200);
    }
    let mut segments: Vec<Segment> = Vec::new();
    while segments.iter().map(|s| s.traces.len()).sum::<usize>() < 20 {
        let packed = registry.wait_for_segments(segments.len() + 1).await;
        segments = packed.iter().map(|bytes| Segment::decode(bytes).expect("the segment is valid")).collect();
    }
    assert_eq!(
        segments.iter().map(|s| (s.seen, s.dropped)).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1)),
        (20, 0)
    );
    let traces: Vec<_> = segments.iter().flat_map(|s| &s.traces).collect();
    let outcomes: Vec<_> = traces[0].attempts.iter().map(|t| (t.outcome, t.in_flight)).collect();
    assert_eq!(
        (traces[0].ending, outcomes),
        (Ending::Served, vec![(AttemptOutcome::Error, 0), (AttemptOutcome::Ok, 0)])
    );
    assert!(traces[0].took_ms >= traces[0].attempts[1].after_ms && traces[0].client_timeout_ms == 60_000.0);
    assert!(traces.iter().skip(1).all(|t| t.attempts.len() == 1 && t.ending == Ending::Served));
    let numbers: Vec<u64> = segments.iter().map(|s| s.number).collect();
    assert_eq!(numbers, Vec::from_iter(1..=segments.len() as u64));
    for Segment { name, backends, settings, .. } in &segments {
        let mut backends: Vec<_> =
            backends.iter().map(|(host, class, ..)| (host.as_str(), class.as_str())).collect();
        backends.sort_unstable();
        assert_eq!((name.as_str(), backends), ("n0", vec![("a", "m"), ("b", "m")]));
        assert!(
            load_balancer::platform_settings::parse(settings.as_bytes()).is_ok(),
            "the recorded settings start the module"
        );
    }
    let page = scene.proxy.ops_call("record").await;
    assert!(page.contains("\"lost\":0"), "{page}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_configuration_no_table_is_requested() {
    let registry = StubRegistry::start(&table_page(3, &[])).await;
    let scene = start_fixture_with(settings(), |config| config["ops"] = "127.0.0.1:0".into()).await;
    assert_eq!(scene.proxy.ops_call("routes").await, "NAK no routes\n");
    assert_eq!(scene.proxy.ops_call("record").await, "NAK no record\n");
    assert!(registry.table_requests().is_empty());
}

#[rstest]
#[case(json!({"report_ms": 1}), "routes.report_ms: from 100 to 60000")]
#[case(json!({"name": "two words"}), "routes.name: from 1 to 63")]
#[case(json!({"registry": "x"}), "unknown field `registry`")]
#[tokio::test]
async fn an_invalid_configuration_ends_the_program_with_its_cause(#[case] routes: Value, #[case] why: &str) {
    let discovery = TestDiscovery::start(Vec::new()).await;
    let mut config = discovery.proxy_config(settings());
    config["routes"] = routes;
    let mut proxy = ProxyProcess::spawn(&config, "exec \"$0\"");
    proxy.wait_for_log(why).await;
    assert!(!proxy.wait_for_exit().await.success());
}
