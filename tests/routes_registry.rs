//! The route table at a registry process: kills in each stage, an older directory, and proposers against each other.

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

const EVERY: Duration = Duration::from_millis(200);
/// A rollout of seconds, without a judging.
const QUICK: &str =
    "judge = false\nreport_ms = 200\ngrace_ms = 800\nstand_ms = 1200\nleast_requests = 100\nraise = 2";

fn stage(page: &Value) -> Option<String> {
    Some(page["work"]["rollout"]["stage"].as_str()?.to_string())
}

fn place(page: &Value) -> Option<usize> {
    ["few", "tenth", "half", "all"].iter().position(|name| stage(page).as_deref() == Some(name))
}

async fn done(registry: &Registry, revision: u64) {
    until(registry, "/registry/routes", |page| in_force(page) == revision).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_registry_killed_in_each_stage_goes_on_where_it_was() {
    let data = data_dir("routes-stages");
    let mut registry = host(&data, QUICK).await;
    register(&registry, 4).await;
    let fleet = Fleet::start(registry.address, 24, 4, EVERY);
    let token = acquire(&registry, "operator").await;
    let revision = take(&registry, proposal(0, &[("s1", 0.5)], token)).await;
    let mut killed = BTreeSet::new();
    while killed.len() < 4 {
        let next = |page: &Value| stage(page).is_some_and(|stage| !killed.contains(&stage));
        let before = until(&registry, "/registry/routes", next).await;
        registry.kill().await;
        // From the log, and from a snapshot after every write.
        let more: &[&str] = if killed.len() % 2 == 0 { &["--snapshot-every", "1"] } else { &[] };
        registry = host_with(&data, QUICK, more).await;
        let after = page(&registry, "/registry/routes").await;
        let goes_on =
            |page: &Value| [&page["work"]["table"], &page["work"]["rollout"]["began_ms"]].map(Value::clone);
        assert_eq!(goes_on(&after), goes_on(&before), "what was decided is on disk");
        assert!(place(&after) >= place(&before), "no stage is gone through again");
        fleet.lead_to(registry.address);
        killed.extend(stage(&before));
    }
    assert_eq!(killed.into_iter().collect::<Vec<_>>(), ["all", "few", "half", "tenth"]);
    fleet.all_hold(revision).await;
    done(&registry, revision).await;
    let page = page(&registry, "/registry/routes").await;
    assert_eq!((&page["past"][0]["end"]["end"], &page["work"]), (&json!("done"), &Value::Null));
    assert_eq!(fleet.older.load(Relaxed), 0, "nobody was told of an older table on the way");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_older_copy_of_the_directory_is_said_and_takes_no_proxy_back() {
    let (data, copy) = (data_dir("routes-newer"), data_dir("routes-older"));
    let registry = host(&data, QUICK).await;
    register(&registry, 2).await;
    let fleet = Fleet::start(registry.address, 6, 2, EVERY);
    let token = acquire(&registry, "operator").await;
    let first = take(&registry, proposal(0, &[("s1", 0.5)], token)).await;
    done(&registry, first).await;
    registry.kill().await;
    std::fs::create_dir_all(&copy).expect("made");
    std::fs::copy(data.join("log"), copy.join("log")).expect("copied");

    let registry = host(&data, QUICK).await;
    fleet.lead_to(registry.address);
    let second = take(&registry, proposal(first, &[("s1", 0.4)], token)).await;
    done(&registry, second).await;
    fleet.all_hold(second).await;
    registry.kill().await;

    let mut registry = host(&copy, QUICK).await;
    fleet.lead_to(registry.address);
    assert_eq!(in_force(&page(&registry, "/registry/routes").await), first);
    let ahead =
        |page: &Value| page["findings"].as_array().expect("findings").iter().any(|f| f["kind"] == "ahead");
    let drift = until(&registry, "/registry/drift", ahead).await;
    assert_eq!(
        drift["findings"].as_array().expect("findings").len(),
        1,
        "of the fleet, not of each: {drift}"
    );
    assert_eq!(
        (&drift["findings"][0]["proxies"], &drift["revisions"]),
        (&json!(6), &json!({second.to_string(): 6}))
    );
    assert_eq!(registry.wait_for_log("drift raised").await["kind"], "ahead");
    // Neither a proposal that knows nothing of it nor time takes anybody back.
    let (status, why) = propose(&registry, &proposal(first, &[("s1", 0.3)], token)).await;
    assert!(status == 409 && why.to_string().contains("lost state"), "{status}: {why}");
    assert_eq!(fleet.holders(second), 6);
    let mut whole = proposal(first, &[("s1", 0.4)], token);
    whole["override"] = "the fleet's own weights, after a lost disk".into();
    let third = take(&registry, whole).await;
    assert!(third > second);
    fleet.all_hold(third).await;
    let cleared = |page: &Value| page["findings"].as_array().expect("findings").is_empty();
    until(&registry, "/registry/drift", cleared).await;
    registry.wait_for_log("drift cleared").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn of_two_proposers_one_wins_and_an_old_holder_is_told_so() {
    let data = data_dir("routes-proposers");
    let registry = host(&data, QUICK).await;
    register(&registry, 2).await;
    let old = acquire(&registry, "first").await;
    let (left, right) = (proposal(0, &[("s0", 0.5)], old), proposal(0, &[("s1", 0.5)], old));
    let answers = [tokio::join!(propose(&registry, &left), propose(&registry, &right))].map(|(a, b)| [a, b]);
    let mut statuses = answers[0].each_ref().map(|(status, _)| *status);
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{answers:?}");
    let loser = &answers[0].iter().find(|(status, _)| *status == 409).expect("one").1;
    assert!(loser.to_string().contains("is being rolled out"), "{loser}");
    // The duty passes on; the one who held it does not know yet.
    let release = json!({"duty": "routes", "holder": "first", "token": old}).to_string();
    assert_eq!(registry.call("DELETE", "/registry/leases", &release).await.0, 200);
    for holds_now in [false, true] {
        let before = page(&registry, "/registry/routes").await;
        let (status, why) = propose(&registry, &proposal(0, &[("s0", 0.5)], old)).await;
        assert!(status == 409 && why.to_string().contains("fence"), "{status}: {why}");
        assert_eq!(page(&registry, "/registry/routes").await["work"], before["work"]);
        if !holds_now {
            acquire(&registry, "second").await;
        }
    }
}

#[tokio::test]
async fn without_its_key_there_is_no_route_table() {
    let data = data_dir("routes-off");
    let registry = Registry::start(&data, &[]).await;
    for path in ["routes", "drift", "traces"] {
        assert_eq!(registry.call("GET", &format!("/registry/{path}"), "").await.0, 404);
    }
    assert!(!data.join("traces").exists());
}
