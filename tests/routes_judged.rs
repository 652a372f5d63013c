//! Judging and bad input at a registry that hosts the route table: a kill while a proposal is judged, what goes out by
//! which verdict, garbage, floods, and recorded segments.

mod registry_rig;
mod replay_rig;
mod routes_rig;
mod waits;

use load_balancer::route_table::MAX_WEIGHTS;
use registry_rig::*;
use routes_rig::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const EVERY: Duration = Duration::from_millis(200);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_proposal_is_still_there_after_a_kill_while_it_is_judged_and_is_judged_again() {
    let data = data_dir("routes-judged");
    let keys = "report_ms = 200\njudge_seeds = 100";
    let mut registry = host(&data, keys).await;
    register(&registry, 8).await;
    for segment in recorded(60.0) {
        let answer = put(registry.address, "/registry/traces", segment).await;
        assert_eq!(answer, (200, r#"{"left_out":null,"taken":true}"#.into()));
    }
    let token = acquire(&registry, "operator").await;
    let revision = take(&registry, proposal(0, &[("s1", 0.8)], token)).await;
    let judged = |page: &Value| page["judging"]["revision"] == revision && page["judging"]["progress"] != 0.0;
    until(&registry, "/registry/routes", judged).await;
    registry.kill().await;
    registry = host(&data, keys).await;
    let page = until(&registry, "/registry/routes", judged).await;
    assert_eq!(
        (&page["work"]["table"]["revision"], &page["work"]["rollout"]),
        (&json!(revision), &Value::Null)
    );
    assert_eq!(page["judging"]["failed"], false);
    // Overtaken: that judging ends, the next one begins.
    let next = take(&registry, proposal(revision, &[("s1", 0.9)], token)).await;
    registry
        .logged("evaluation cancelled: its proposal was superseded, ended or must be evaluated again")
        .await;
    let page = until(&registry, "/registry/routes", |page| page["judging"]["revision"] == next).await;
    assert_eq!(
        (&page["past"][0]["revision"], &page["past"][0]["end"]["end"]),
        (&json!(revision), &json!("lapsed"))
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn only_what_the_replay_admits_or_an_operator_overrides_goes_out() {
    let data = data_dir("routes-verdict");
    let registry = host(&data, "judge_seeds = 2\nstep = 8").await;
    register(&registry, 8).await;
    let token = acquire(&registry, "operator").await;
    let last =
        |page: &Value| page["past"].as_array().and_then(|past| past.last().cloned()).unwrap_or_default();
    // Nothing was recorded yet.
    let unsure = take(&registry, proposal(0, &[("s1", 1.2)], token)).await;
    let page = until(&registry, "/registry/routes", |page| last(page)["revision"] == unsure).await;
    assert_eq!(
        (&last(&page)["verdict"]["why"], &last(&page)["end"]["end"]),
        (&json!("coverage"), &json!("cannot_tell"))
    );
    for segment in recorded(40.0) {
        assert_eq!(put(registry.address, "/registry/traces", segment).await.0, 200);
    }
    // Two of eight are left.
    let emptied: Vec<_> = ["s0", "s1", "s2", "s3", "s4", "s5"].map(|name| (name, 0.0)).to_vec();
    let heavy = take(&registry, proposal(0, &emptied, token)).await;
    let page = until(&registry, "/registry/routes", |page| last(page)["revision"] == heavy).await;
    // It breaks them, or asks of them what was never seen: either way it is told of which.
    let verdict = &last(&page)["verdict"];
    let named = [&verdict["breach"]["name"], &verdict["backend"]].map(|name| name == "s6" || name == "s7");
    assert!(named.contains(&true) && in_force(&page) == 0 && page["work"].is_null(), "{verdict}");
    let mild = take(&registry, proposal(0, &[("s1", 1.2)], token)).await;
    let page = until(&registry, "/registry/routes", |page| page["work"]["rollout"].is_object()).await;
    assert_eq!(
        (&page["work"]["table"]["revision"], &page["work"]["admitted"]["by"]),
        (&json!(mild), &json!("verdict"))
    );
    assert_eq!(page["work"]["verdict"]["decision"], "admit");
}

async fn put(address: SocketAddr, path: &str, body: Vec<u8>) -> (u16, String) {
    call(address, "PUT", path, body).await.expect("answered")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn garbage_oversize_and_floods_get_plain_answers_and_nothing_stored_is_lost() {
    let data = data_dir("routes-bad");
    let keys = "judge = false\nreport_ms = 60000\nnames = 50\nring_bytes = 1048576";
    let registry = host(&data, keys).await;
    let at = registry.address;
    register(&registry, 8).await;
    let token = acquire(&registry, "operator").await;
    let good = || proposal(0, &[("s1", 0.5)], token);
    let with = |key: &str, value: Value| {
        let mut body = good();
        body[key] = value;
        body.to_string()
    };
    let weights = |backends: Value| with("weights", json!({"backends": backends}));
    let many: serde_json::Map<String, Value> =
        (0..=MAX_WEIGHTS).map(|n| (format!("s{n}"), json!(1.0))).collect();
    let held = Held { digest: "0".repeat(16), ..Held::default() };
    let text = String::from_utf8(made_up(0, (1, 2), 1, EVERY, &held)).expect("text");
    let report = |name: &str| text.replace("\"p0\"", &format!("{name:?}"));
    let (routes, reports, traces) = ("/registry/routes", "/registry/reports", "/registry/traces");
    let bad: Vec<(&str, String, u16)> = vec![
        (routes, "{".into(), 400),
        (routes, with("colour", json!(1)), 400),
        (routes, with("fence", json!({"duty": "other", "token": token})), 400),
        (routes, with("from", json!(u64::MAX)), 409),
        (routes, with("by", json!("x".repeat(300))), 400),
        (routes, with("weights", json!({"zones": {"a": 0}})), 400),
        (routes, weights(json!({"s0": -1})), 400),
        (routes, weights(json!({"s0": 1e9})), 400),
        (routes, weights(json!({"s9": 1})), 400),
        (routes, weights(json!({"s0": 100})), 400),
        (routes, good().to_string().replace("0.5", "NaN"), 400),
        (routes, weights(Value::Object(many)), 413),
        (routes, with("by", json!("x".repeat(5 << 20))), 413),
        (reports, "garbage".into(), 400),
        (reports, report(""), 400),
        (reports, report("p1").replace("\"alive\":1", "\"alive\":1,\"colour\":1"), 400),
        (reports, report("p1").replace("\"number\":1", "\"number\":0"), 400),
        (reports, report(&"x".repeat(2 << 20)), 413),
        (traces, "garbage".into(), 400),
        (traces, "x".repeat(5 << 20), 413),
    ];
    for (path, body, want) in bad {
        let (status, text) = put(at, path, body.into_bytes()).await;
        assert_eq!(status, want, "{path}: {text}");
        assert!(text.len() > 10, "a refusal says why: {text:?}");
    }
    for query in ["?name=", "?after=1", "?name=a&after=x", "?name=a&wait_ms=60001", "?name=a&colour=1"] {
        assert_eq!(registry.call("GET", &format!("{routes}{query}"), "").await.0, 400, "{query}");
    }
    for (path, method) in [(routes, "DELETE"), (reports, "GET"), (traces, "POST"), ("/registry/drift", "PUT")]
    {
        assert_eq!(registry.call(method, path, "").await.0, 405, "{method} {path}");
    }
    // One that reports far too often, and more names than there is room for.
    let mut told = BTreeSet::new();
    for _ in 0..50 {
        told.insert(put(at, reports, report("p1").into_bytes()).await.0);
    }
    assert_eq!(told.into_iter().collect::<Vec<_>>(), [200, 429]);
    let mut told = Vec::new();
    for n in 0..80 {
        told.push(put(at, reports, report(&format!("n{n}")).into_bytes()).await.0);
    }
    assert_eq!(
        (told.iter().filter(|s| **s == 200).count(), told.iter().filter(|s| **s == 503).count()),
        (49, 31)
    );
    segments_are_bounded_and_counted(&data, registry, keys).await;
}

/// One that is torn, one that comes twice, one that is too old and one of a time to come.
async fn unusable_segments_are_rejected(registry: &Registry, path: &str, segments: &[Vec<u8>]) {
    let at = registry.address;
    let first = segments[0].clone();
    let mut torn = first.clone();
    let last = torn.len() - 1;
    torn[last] ^= 0xff;
    assert_eq!(put(at, path, torn).await.0, 400);
    assert_eq!(put(at, path, first.clone()).await.0, 200);
    assert_eq!(put(at, path, first).await.1, r#"{"left_out":"repeated","taken":false}"#);
    let late = shifted(&segments[1], -7_200_000.0, 0);
    assert_eq!(put(at, path, late).await.1, r#"{"left_out":"late","taken":false}"#);
    assert_eq!(put(at, path, shifted(&segments[1], 7_200_000.0, 0)).await.0, 400, "of a time to come");
}

async fn segments_are_bounded_and_counted(data: &Path, registry: Registry, keys: &str) {
    let (at, path) = (registry.address, "/registry/traces");
    let segments = recorded(20.0);
    unusable_segments_are_rejected(&registry, path, &segments).await;
    let mut sent = 0;
    for round in 1.. {
        for segment in &segments {
            sent += segment.len();
            assert_eq!(put(at, path, shifted(segment, 0.0, round)).await.0, 200);
        }
        if sent > 3 << 20 {
            break;
        }
    }
    let held = page(&registry, path).await;
    let counts = &held["left_out"];
    assert_eq!(
        [&counts["torn"], &counts["repeated"], &counts["late"], &counts["ahead"]],
        [2, 1, 1, 1].map(|n| json!(n)).each_ref()
    );
    let on_disk = |dir: &Path| -> u64 {
        std::fs::read_dir(dir).expect("there").map(|e| e.expect("read").metadata().expect("read").len()).sum()
    };
    let dir = data.join("traces");
    assert!(counts["aged_out"].as_u64() > Some(0) && on_disk(&dir) <= 1 << 20, "{held}");
    assert_eq!(held["bytes"], on_disk(&dir));
    registry.kill().await;
    // Spoilt on disk: left out and counted, the others stay.
    let mut files: Vec<_> =
        std::fs::read_dir(&dir).expect("there").map(|e| e.expect("read").path()).collect();
    files.sort();
    std::fs::write(&files[0], "garbage").expect("written");
    let registry = host(data, keys).await;
    let after = until(&registry, path, |page| page["loaded"] == true).await;
    assert_eq!((&after["left_out"]["spoilt"], &after["segments"]), (&json!(1), &json!(files.len() - 1)));
    assert_eq!(names(&registry.get("").await).len(), 8, "nothing stored is lost");
}
