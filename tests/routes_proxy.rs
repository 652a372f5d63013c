//! The proxy's side of the route table, against a registry that gives whatever it is told to.

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
use table_rig::{Tables, table};
use tokio::time::sleep;

const LOOK: Duration = Duration::from_millis(20);

async fn watching(registry: SocketAddr) -> ProxyFixture {
    start_fixture_with(settings(), |config| {
        config["ops"] = "127.0.0.1:0".into();
        config["routes"] = json!({"registries": [registry.to_string()], "name": "n0", "report_ms": 200});
    })
    .await
}

async fn page(proxy: &ProxyProcess) -> Value {
    let page = proxy.ops_call("routes").await;
    serde_json::from_str(page.lines().next().expect("a page")).expect("JSON")
}

async fn until(proxy: &ProxyProcess, is: impl Fn(&Value) -> bool) -> Value {
    within_deadline(async {
        loop {
            let page = page(proxy).await;
            if is(&page) {
                return page;
            }
            sleep(LOOK).await;
        }
    })
    .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_table_weighs_the_picks_and_reports_tell_what_was_sent() {
    let empty = table(3, &[("a", 0.0)]);
    let tables = Tables::start(&empty).await;
    let scene = watching(tables.address).await;
    let held = until(&scene.proxy, |page| page["revision"] == 3).await;
    assert_eq!(held["weights"], json!({"a": 0.0, "b": 1.0}));
    assert_eq!((&held["error"], &held["newest"]), (&Value::Null, &json!(3)));
    let first = tables.report(|r| r["revision"] == 3).await;
    assert_eq!(first["digest"], empty["digest"]);
    assert_eq!((&first["name"], &first["zone"], &first["alive"]), (&json!("n0"), &json!("a"), &json!(0)));
    let mut caller = scene.proxy.connect_client().await;
    for _ in 0..200 {
        assert_eq!(caller.call("look").await.0, 200);
    }
    assert_eq!((scene.control.request_count("a"), scene.control.request_count("b")), (0, 200));
    scene.control.enqueue([BackendAction::Status(500)]);
    caller.call("once").await;
    // What the windows tell adds up to what the backends saw.
    let sum = |key: &str, name: &str| -> u64 {
        tables.reports().iter().filter_map(|r| r[key][name].as_u64()).sum()
    };
    within_deadline(async {
        let requests = || tables.reports().iter().filter_map(|r| r["requests"].as_u64()).sum::<u64>();
        while (sum("calls", "b"), sum("errors", "b"), requests()) != (201, 1, 201) {
            sleep(LOOK).await;
        }
    })
    .await;
    let reports = tables.reports();
    assert_eq!((sum("calls", "a"), reports.iter().filter_map(|r| r["failed"].as_u64()).sum::<u64>()), (0, 1));
    let numbers: Vec<u64> = reports.iter().filter_map(|r| r["number"].as_u64()).collect();
    assert_eq!(numbers, Vec::from_iter(1..=reports.len() as u64));
    assert!(reports.iter().all(|r| r["generation"] == first["generation"]));
    let asked = tables.asked();
    assert!(asked[0].starts_with("/registry/routes?name=n0&generation=") && !asked[0].contains("after="));
    assert!(asked[1].ends_with("&after=3&wait_ms=5000"), "{}", asked[1]);
    // A newcomer is weighed too, by its class of machine.
    let weights = Weights { classes: [("m".to_string(), 0.5)].into(), ..Weights::default() };
    tables.give(json!({"revision": 4, "newest": 4, "digest": weights.digest(), "weights": weights}));
    until(&scene.proxy, |page| page["weights"] == json!({"a": 0.5, "b": 0.5})).await;
    let c = TestBackend::start("c", &scene.control).await;
    scene
        .discovery
        .publish(vec![
            scene.a.endpoint_entry("SERVING"),
            scene.b.endpoint_entry("DRAINING"),
            c.endpoint_entry("SERVING"),
        ])
        .await;
    let held = until(&scene.proxy, |page| page["weights"]["c"].is_number()).await;
    assert_eq!(held["weights"], json!({"a": 0.5, "c": 0.5}));
    assert_eq!(held["left_out"]["b"], "draining");
}

#[rstest]
#[case::other_digest(with(table(4, &[("a", 0.5)]), "digest", json!("0123456789abcdef")), "is spoilt")]
#[case::negative(table(4, &[("a", -0.5)]), "0 or more")]
#[case::went_back(table(2, &[("a", 0.5)]), "registry is behind")]
#[case::other_under_its_revision(table(3, &[("a", 0.5)]), "another table under revision 3")]
#[case::no_table(json!({"revision": 4}), "cannot be read")]
#[case::too_long(json!("x".repeat(9 << 20)), "length limit")]
#[case::too_many(full(5, MAX_WEIGHTS + 1), "are more than 16384")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_table_that_cannot_be_taken_leaves_the_last_good_one(#[case] bad: Value, #[case] why: &str) {
    let tables = Tables::start(&table(3, &[("a", 0.25)])).await;
    let mut scene = watching(tables.address).await;
    until(&scene.proxy, |page| page["revision"] == 3).await;
    tables.give(bad);
    let held = until(&scene.proxy, |page| page["error"].as_str().is_some_and(|e| e.contains(why))).await;
    assert_eq!((&held["revision"], &held["weights"]["a"]), (&json!(3), &json!(0.25)));
    scene.proxy.wait_for_log(why).await;
    assert_eq!(scene.proxy.call("look").await.0, 200);
    tables.report(|r| r["number"].as_u64() > Some(1) && r["revision"] == 3).await;
    tables.give(table(5, &[("a", 2.0)]));
    let held = until(&scene.proxy, |page| page["revision"] == 5).await;
    assert_eq!((&held["error"], &held["weights"]["a"]), (&Value::Null, &json!(2.0)));
}

/// A table of so many backends' weights under the longest names, that of `a` among them.
fn full(revision: u64, count: usize) -> Value {
    let name = |n: usize| format!("{n:0>width$}", width = MAX_NAME_BYTES);
    let names: Vec<String> = (1..count).map(name).collect();
    let mut weights: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 0.123456789)).collect();
    weights.push(("a", 0.75));
    table(revision, &weights)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_table_of_as_many_weights_as_it_may_have_is_taken_whatever_their_names() {
    let tables = Tables::start(&table(3, &[("a", 0.25)])).await;
    let scene = watching(tables.address).await;
    until(&scene.proxy, |page| page["revision"] == 3).await;
    let most = full(4, MAX_WEIGHTS);
    assert_eq!(most["weights"]["backends"].as_object().expect("weights").len(), MAX_WEIGHTS);
    tables.give(most);
    let held = until(&scene.proxy, |page| page["revision"] == 4).await;
    assert_eq!((&held["error"], &held["weights"]["a"]), (&Value::Null, &json!(0.75)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_good_table_outlives_the_registry_and_what_was_missed_is_caught_up_with() {
    let tables = Tables::start(&table(3, &[("a", 0.25)])).await;
    let relay = Relay::start(tables.address).await;
    let scene = watching(relay.address).await;
    until(&scene.proxy, |page| page["revision"] == 3).await;
    relay.lead_to(closed().await);
    until(&scene.proxy, |page| page["error"].is_string()).await;
    tables.give(table(4, &[("b", 0.25)]));
    let held = until(&scene.proxy, |page| page["reports"]["lost"].as_u64() >= Some(3)).await;
    assert_eq!((&held["revision"], &held["weights"]["a"]), (&json!(3), &json!(0.25)));
    assert!(held["error"].is_string() && held["reports"]["error"].is_string());
    assert_eq!(scene.proxy.call("look").await.0, 200);
    let last = tables.reports().len();
    relay.lead_to(tables.address);
    until(&scene.proxy, |page| page["revision"] == 4 && page["error"].is_null()).await;
    let report = tables.report(|r| r["revision"] == 4).await;
    assert!(report["number"].as_u64() > Some(last as u64 + 1), "the lost ones are missing: {report}");
    assert!(report["window_ms"].as_u64() < Some(600), "and are in no later one: {report}");
    let lost = "reports are taken again";
    until(&scene.proxy, |page| page["reports"]["error"].is_null()).await;
    let mut proxy = scene.proxy;
    proxy.wait_for_log(lost).await;
}

/// An address at which nobody listens.
async fn closed() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("bound")
}

fn with(mut page: Value, key: &str, value: Value) -> Value {
    page[key] = value;
    page
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_recorded_comes_in_segments_that_tell_what_happened() {
    let tables = Tables::start(&table(0, &[])).await;
    let scene = start_fixture_with(settings(), |config| {
        config["ops"] = "127.0.0.1:0".into();
        config["routes"] = json!({"registries": [tables.address.to_string()], "name": "n0"});
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
        let packed = tables.segments(segments.len() + 1).await;
        segments = packed.iter().map(|bytes| Segment::decode(bytes).expect("sound")).collect();
    }
    assert_eq!(
        segments.iter().map(|s| (s.seen, s.dropped)).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1)),
        (20, 0)
    );
    let traces: Vec<_> = segments.iter().flat_map(|s| &s.traces).collect();
    let told: Vec<_> = traces[0].attempts.iter().map(|t| (t.outcome, t.in_flight)).collect();
    assert_eq!(
        (traces[0].ending, told),
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
            "the module can be started by them"
        );
    }
    let page = scene.proxy.ops_call("record").await;
    assert!(page.contains("\"lost\":0"), "{page}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_configuration_there_is_no_table_and_nobody_is_asked() {
    let tables = Tables::start(&table(3, &[])).await;
    let scene = start_fixture_with(settings(), |config| config["ops"] = "127.0.0.1:0".into()).await;
    assert_eq!(scene.proxy.ops_call("routes").await, "NAK no routes\n");
    assert_eq!(scene.proxy.ops_call("record").await, "NAK no record\n");
    assert!(tables.asked().is_empty());
}

#[rstest]
#[case(json!({"report_ms": 1}), "routes.report_ms: from 100 to 60000")]
#[case(json!({"name": "two words"}), "routes.name: from 1 to 63")]
#[case(json!({"registry": "x"}), "unknown field `registry`")]
#[tokio::test]
async fn a_slip_in_the_configuration_ends_the_start(#[case] routes: Value, #[case] why: &str) {
    let discovery = TestDiscovery::start(Vec::new()).await;
    let mut config = discovery.proxy_config(settings());
    config["routes"] = routes;
    let mut proxy = ProxyProcess::spawn(&config, "exec \"$0\"");
    proxy.wait_for_log(why).await;
    assert!(!proxy.wait_for_exit().await.success());
}
