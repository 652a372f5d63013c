//! The route table of a registry process: kills in each stage of a rollout, an older copy of the data directory, and
//! concurrent proposers.

mod registry_rig;
mod replay_rig;
mod routes_rig;
mod waits;

use registry_rig::*;
use routes_rig::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Settings for rollouts that take seconds, without an evaluation.
const QUICK: &str =
    "judge = false\nreport_ms = 200\ngrace_ms = 800\nstand_ms = 1200\nleast_requests = 100\nraise = 2";

/// The stage of the rollout in progress, by the state page.
fn stage(page: &Value) -> Option<String> {
    Some(page["work"]["rollout"]["stage"].as_str()?.to_string())
}

/// The index of the rollout's stage in the order of the stages.
fn stage_index(page: &Value) -> Option<usize> {
    ["few", "tenth", "half", "all"].iter().position(|name| stage(page).as_deref() == Some(name))
}

/// Waits until a revision is in force.
async fn wait_in_force(registry: &Registry, revision: u64) {
    wait_for_page(registry, "/registry/routes", |page| in_force(page) == revision).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_registry_killed_in_each_stage_resumes_the_rollout() {
    let data = data_dir("routes-stages");
    let mut registry = start_route_registry(&data, QUICK).await;
    register_backends(&registry, 4).await;
    let fleet = Fleet::start(registry.address, 24, 4, REPORT_INTERVAL);
    let token = acquire(&registry, "operator").await;
    let revision = propose_accepted(&registry, proposal(0, &[("s1", 0.5)], token)).await;
    let mut killed = BTreeSet::new();
    while killed.len() < 4 {
        let in_new_stage = |page: &Value| stage(page).is_some_and(|stage| !killed.contains(&stage));
        let before = wait_for_page(&registry, "/registry/routes", in_new_stage).await;
        registry.kill().await;
        // Restarts alternate between the log alone and a snapshot after every write.
        let more: &[&str] = if killed.len() % 2 == 0 { &["--snapshot-every", "1"] } else { &[] };
        registry = start_route_registry_with_flags(&data, QUICK, more).await;
        let after = page(&registry, "/registry/routes").await;
        let resumed =
            |page: &Value| [&page["work"]["table"], &page["work"]["rollout"]["began_ms"]].map(Value::clone);
        assert_eq!(resumed(&after), resumed(&before), "the decision is on disk");
        assert!(stage_index(&after) >= stage_index(&before), "no stage is repeated");
        fleet.set_registry(registry.address);
        killed.extend(stage(&before));
    }
    assert_eq!(killed.into_iter().collect::<Vec<_>>(), ["all", "few", "half", "tenth"]);
    fleet.wait_for_revision(revision).await;
    wait_in_force(&registry, revision).await;
    let page = page(&registry, "/registry/routes").await;
    assert_eq!((&page["past"][0]["end"]["end"], &page["work"]), (&json!("done"), &Value::Null));
    assert_eq!(fleet.older_tables.load(Relaxed), 0, "no proxy received an older table");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_older_copy_of_the_directory_is_reported_and_returns_no_proxy_to_an_older_table() {
    let (data, copy) = (data_dir("routes-newer"), data_dir("routes-older"));
    let registry = start_route_registry(&data, QUICK).await;
    register_backends(&registry, 2).await;
    let fleet = Fleet::start(registry.address, 6, 2, REPORT_INTERVAL);
    let token = acquire(&registry, "operator").await;
    let first = propose_accepted(&registry, proposal(0, &[("s1", 0.5)], token)).await;
    wait_in_force(&registry, first).await;
    registry.kill().await;
    std::fs::create_dir_all(&copy).expect("the directory of the copy is created");
    std::fs::copy(data.join("log"), copy.join("log")).expect("the log is copied");

    let registry = start_route_registry(&data, QUICK).await;
    fleet.set_registry(registry.address);
    let second = propose_accepted(&registry, proposal(first, &[("s1", 0.4)], token)).await;
    wait_in_force(&registry, second).await;
    fleet.wait_for_revision(second).await;
    registry.kill().await;

    let mut registry = start_route_registry(&copy, QUICK).await;
    fleet.set_registry(registry.address);
    assert_eq!(in_force(&page(&registry, "/registry/routes").await), first);
    let ahead = |page: &Value| {
        page["findings"].as_array().expect("the page has findings").iter().any(|f| f["kind"] == "ahead")
    };
    let drift = wait_for_page(&registry, "/registry/drift", ahead).await;
    assert_eq!(
        drift["findings"].as_array().expect("the page has findings").len(),
        1,
        "there is one finding of the fleet: {drift}"
    );
    assert_eq!(
        (&drift["findings"][0]["proxies"], &drift["revisions"]),
        (&json!(6), &json!({second.to_string(): 6}))
    );
    assert_eq!(registry.wait_for_log("drift raised").await["kind"], "ahead");
    // Neither a proposal without an override nor the passing of time returns a proxy to an older table.
    let (status, why) = propose(&registry, &proposal(first, &[("s1", 0.3)], token)).await;
    assert!(status == 409 && why.to_string().contains("lost state"), "{status}: {why}");
    assert_eq!(fleet.count_with_revision(second), 6);
    let mut overriding = proposal(first, &[("s1", 0.4)], token);
    overriding["override"] = "the fleet's own weights, after a lost disk".into();
    let third = propose_accepted(&registry, overriding).await;
    assert!(third > second);
    fleet.wait_for_revision(third).await;
    let cleared = |page: &Value| page["findings"].as_array().expect("the page has findings").is_empty();
    wait_for_page(&registry, "/registry/drift", cleared).await;
    registry.wait_for_log("drift cleared").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_two_concurrent_proposals_is_accepted_and_a_former_holder_is_refused() {
    let data = data_dir("routes-proposers");
    let registry = start_route_registry(&data, QUICK).await;
    register_backends(&registry, 2).await;
    let token = acquire(&registry, "first").await;
    let (left, right) = (proposal(0, &[("s0", 0.5)], token), proposal(0, &[("s1", 0.5)], token));
    let answers = [tokio::join!(propose(&registry, &left), propose(&registry, &right))].map(|(a, b)| [a, b]);
    let mut statuses = answers[0].each_ref().map(|(status, _)| *status);
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{answers:?}");
    let loser = &answers[0].iter().find(|(status, _)| *status == 409).expect("one proposal is refused").1;
    assert!(loser.to_string().contains("is being rolled out"), "{loser}");
    // The duty is released and then acquired by another holder; the former one still uses its token.
    let release = json!({"duty": "routes", "holder": "first", "token": token}).to_string();
    assert_eq!(registry.call("DELETE", "/registry/leases", &release).await.0, 200);
    for has_new_holder in [false, true] {
        let before = page(&registry, "/registry/routes").await;
        let (status, why) = propose(&registry, &proposal(0, &[("s0", 0.5)], token)).await;
        assert!(status == 409 && why.to_string().contains("fence"), "{status}: {why}");
        assert_eq!(page(&registry, "/registry/routes").await["work"], before["work"]);
        if !has_new_holder {
            acquire(&registry, "second").await;
        }
    }
}

#[tokio::test]
async fn without_the_key_enabled_the_route_table_is_not_served() {
    let data = data_dir("routes-off");
    let registry = Registry::start(&data, &[]).await;
    for path in ["routes", "drift", "traces"] {
        assert_eq!(registry.call("GET", &format!("/registry/{path}"), "").await.0, 404);
    }
    assert!(!data.join("traces").exists());
}
