//! Evaluations and invalid input at a registry that hosts the route table: a kill during an evaluation, rollouts by
//! verdict, malformed and excessive requests, and recorded segments.

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

const REPORT_INTERVAL: Duration = Duration::from_millis(200);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_proposal_survives_a_kill_during_its_evaluation_and_is_evaluated_again() {
    let data = data_dir("routes-judged");
    let keys = "report_ms = 200\njudge_seeds = 100";
    let mut registry = start_route_registry(&data, keys).await;
    register_backends(&registry, 8).await;
    for segment in record_segments(60.0) {
        let answer = put(registry.address, "/registry/traces", segment).await;
        assert_eq!(answer, (200, r#"{"left_out":null,"taken":true}"#.into()));
    }
    let token = acquire(&registry, "operator").await;
    let revision = propose_accepted(&registry, proposal(0, &[("s1", 0.8)], token)).await;
    let evaluating =
        |page: &Value| page["judging"]["revision"] == revision && page["judging"]["progress"] != 0.0;
    wait_for_page(&registry, "/registry/routes", evaluating).await;
    registry.kill().await;
    registry = start_route_registry(&data, keys).await;
    let page = wait_for_page(&registry, "/registry/routes", evaluating).await;
    assert_eq!(
        (&page["work"]["table"]["revision"], &page["work"]["rollout"]),
        (&json!(revision), &Value::Null)
    );
    assert_eq!(page["judging"]["failed"], false);
    // A superseding proposal cancels the evaluation and begins its own.
    let next = propose_accepted(&registry, proposal(revision, &[("s1", 0.9)], token)).await;
    registry
        .wait_for_log("evaluation cancelled: its proposal was superseded, ended or must be evaluated again")
        .await;
    let page = wait_for_page(&registry, "/registry/routes", |page| page["judging"]["revision"] == next).await;
    assert_eq!(
        (&page["past"][0]["revision"], &page["past"][0]["end"]["end"]),
        (&json!(revision), &json!("lapsed"))
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn only_a_proposal_that_the_replay_admits_is_rolled_out() {
    let data = data_dir("routes-verdict");
    let registry = start_route_registry(&data, "judge_seeds = 2\nstep = 8").await;
    register_backends(&registry, 8).await;
    let token = acquire(&registry, "operator").await;
    let last_ended =
        |page: &Value| page["past"].as_array().and_then(|past| past.last().cloned()).unwrap_or_default();
    // Without recorded segments no verdict is possible.
    let unrecorded = propose_accepted(&registry, proposal(0, &[("s1", 1.2)], token)).await;
    let page =
        wait_for_page(&registry, "/registry/routes", |page| last_ended(page)["revision"] == unrecorded).await;
    assert_eq!(
        (&last_ended(&page)["verdict"]["why"], &last_ended(&page)["end"]["end"]),
        (&json!("coverage"), &json!("cannot_tell"))
    );
    for segment in record_segments(40.0) {
        assert_eq!(put(registry.address, "/registry/traces", segment).await.0, 200);
    }
    // Two of eight backends keep a weight.
    let emptied: Vec<_> = ["s0", "s1", "s2", "s3", "s4", "s5"].map(|name| (name, 0.0)).to_vec();
    let heavy = propose_accepted(&registry, proposal(0, &emptied, token)).await;
    let page =
        wait_for_page(&registry, "/registry/routes", |page| last_ended(page)["revision"] == heavy).await;
    // The verdict is that their load breaks a bound or exceeds all that was recorded; it names one of the two either
    // way.
    let verdict = &last_ended(&page)["verdict"];
    let named = [&verdict["breach"]["name"], &verdict["backend"]].map(|name| name == "s6" || name == "s7");
    assert!(named.contains(&true) && in_force(&page) == 0 && page["work"].is_null(), "{verdict}");
    let mild = propose_accepted(&registry, proposal(0, &[("s1", 1.2)], token)).await;
    let page = wait_for_page(&registry, "/registry/routes", |page| page["work"]["rollout"].is_object()).await;
    assert_eq!(
        (&page["work"]["table"]["revision"], &page["work"]["admitted"]["by"]),
        (&json!(mild), &json!("verdict"))
    );
    assert_eq!(page["work"]["verdict"]["decision"], "admit");
}

async fn put(address: SocketAddr, path: &str, body: Vec<u8>) -> (u16, String) {
    call(address, "PUT", path, body).await.expect("the registry answers")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_oversize_and_excess_requests_are_refused_and_stored_data_is_kept() {
    let data = data_dir("routes-bad");
    let keys = "judge = false\nreport_ms = 60000\nnames = 50\nring_bytes = 1048576";
    let registry = start_route_registry(&data, keys).await;
    let at = registry.address;
    register_backends(&registry, 8).await;
    let token = acquire(&registry, "operator").await;
    let valid = || proposal(0, &[("s1", 0.5)], token);
    let with = |key: &str, value: Value| {
        let mut body = valid();
        body[key] = value;
        body.to_string()
    };
    let weights = |backends: Value| with("weights", json!({"backends": backends}));
    let many: serde_json::Map<String, Value> =
        (0..=MAX_WEIGHTS).map(|n| (format!("s{n}"), json!(1.0))).collect();
    let applied = AppliedTable { digest: "0".repeat(16), ..AppliedTable::default() };
    let text = String::from_utf8(encode_report(0, (1, 2), 1, REPORT_INTERVAL, &applied))
        .expect("the report is text");
    let report = |name: &str| text.replace("\"p0\"", &format!("{name:?}"));
    let (routes, reports, traces) = ("/registry/routes", "/registry/reports", "/registry/traces");
    let invalid: Vec<(&str, String, u16)> = vec![
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
        (routes, valid().to_string().replace("0.5", "NaN"), 400),
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
    for (path, body, expected) in invalid {
        let (status, text) = put(at, path, body.into_bytes()).await;
        assert_eq!(status, expected, "{path}: {text}");
        assert!(text.len() > 10, "a refusal states its cause: {text:?}");
    }
    for query in ["?name=", "?after=1", "?name=a&after=x", "?name=a&wait_ms=60001", "?name=a&colour=1"] {
        assert_eq!(registry.call("GET", &format!("{routes}{query}"), "").await.0, 400, "{query}");
    }
    for (path, method) in [(routes, "DELETE"), (reports, "GET"), (traces, "POST"), ("/registry/drift", "PUT")]
    {
        assert_eq!(registry.call(method, path, "").await.0, 405, "{method} {path}");
    }
    // One proxy reports far too often, and then more proxies report than there is capacity for.
    let mut statuses = BTreeSet::new();
    for _ in 0..50 {
        statuses.insert(put(at, reports, report("p1").into_bytes()).await.0);
    }
    assert_eq!(statuses.into_iter().collect::<Vec<_>>(), [200, 429]);
    let mut statuses = Vec::new();
    for n in 0..80 {
        statuses.push(put(at, reports, report(&format!("n{n}")).into_bytes()).await.0);
    }
    assert_eq!(
        (statuses.iter().filter(|s| **s == 200).count(), statuses.iter().filter(|s| **s == 503).count()),
        (49, 31)
    );
    check_segment_bounds_and_counts(&data, registry, keys).await;
}

/// Sends a corrupted, a repeated, an outdated and a future segment, and checks the answers.
async fn check_unusable_segments(registry: &Registry, path: &str, segments: &[Vec<u8>]) {
    let at = registry.address;
    let first = segments[0].clone();
    let mut corrupted = first.clone();
    let last = corrupted.len() - 1;
    corrupted[last] ^= 0xff;
    assert_eq!(put(at, path, corrupted).await.0, 400);
    assert_eq!(put(at, path, first.clone()).await.0, 200);
    assert_eq!(put(at, path, first).await.1, r#"{"left_out":"repeated","taken":false}"#);
    let late = shift_packed(&segments[1], -7_200_000.0, 0);
    assert_eq!(put(at, path, late).await.1, r#"{"left_out":"late","taken":false}"#);
    assert_eq!(
        put(at, path, shift_packed(&segments[1], 7_200_000.0, 0)).await.0,
        400,
        "a segment from the future is refused"
    );
}

/// Checks the counts of unusable segments, the bound on the disk space, and the removal of a corrupt file at the start.
async fn check_segment_bounds_and_counts(data: &Path, registry: Registry, keys: &str) {
    let (at, path) = (registry.address, "/registry/traces");
    let segments = record_segments(20.0);
    check_unusable_segments(&registry, path, &segments).await;
    let mut sent = 0;
    for round in 1.. {
        for segment in &segments {
            sent += segment.len();
            assert_eq!(put(at, path, shift_packed(segment, 0.0, round)).await.0, 200);
        }
        if sent > 3 << 20 {
            break;
        }
    }
    let stored = page(&registry, path).await;
    let counts = &stored["left_out"];
    assert_eq!(
        [&counts["torn"], &counts["repeated"], &counts["late"], &counts["ahead"]],
        [2, 1, 1, 1].map(|n| json!(n)).each_ref()
    );
    let on_disk = |dir: &Path| -> u64 {
        let files = std::fs::read_dir(dir).expect("the directory of the segments is read");
        files.map(|e| e.expect("an entry is read").metadata().expect("its metadata is read").len()).sum()
    };
    let dir = data.join("traces");
    assert!(counts["aged_out"].as_u64() > Some(0) && on_disk(&dir) <= 1 << 20, "{stored}");
    assert_eq!(stored["bytes"], on_disk(&dir));
    registry.kill().await;
    // A file that was corrupted on disk is removed and counted, and the others are kept.
    let entries = std::fs::read_dir(&dir).expect("the directory of the segments is read");
    let mut files: Vec<_> = entries.map(|e| e.expect("an entry is read").path()).collect();
    files.sort();
    std::fs::write(&files[0], "garbage").expect("the file is overwritten");
    let registry = start_route_registry(data, keys).await;
    let after = wait_for_page(&registry, path, |page| page["loaded"] == true).await;
    assert_eq!((&after["left_out"]["spoilt"], &after["segments"]), (&json!(1), &json!(files.len() - 1)));
    assert_eq!(host_names(&registry.get("").await).len(), 8, "all registered backends are kept");
}
