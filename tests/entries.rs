//! Entries of a list that do not parse or have impossible values: the other entries are applied, and the health of a
//! draining or deleted backend is applied whatever the rest of its entry.

mod agent_rig;
mod rig;
mod waits;

use agent_rig::Agent;
use rig::{BackendControl, ProxyProcess, TestBackend, settings};
use rstest::rstest;
use serde_json::json;
use std::sync::Arc;

/// Proxy that holds the list of two backends and has received an update to it.
struct UpdateFixture {
    control: Arc<BackendControl>,
    a: TestBackend,
    b: TestBackend,
    agent: Agent,
    proxy: ProxyProcess,
}

/// Starts a proxy that holds the list of two backends, and answers all its watches with an update whose entries are
/// this text; calls for the full list are not answered.
async fn start_with_update(update: impl FnOnce(&TestBackend, &TestBackend) -> String) -> UpdateFixture {
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    let agent = Agent::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let proxy = ProxyProcess::start_with_command(&agent.proxy_config(settings()), "exec \"$0\"").await;
    agent.wait_until_list_held().await;
    let calls_before = agent.calls().len();
    let body = format!("{{\"seq\": 2, \"whole\": false, \"hosts\": [{}]}}", update(&a, &b));
    agent.override_watch_answers(Some(body));
    // The call that follows the update: a watch after its version, or a call for the full list.
    agent.wait_for_call_after_version(calls_before, 1).await;
    UpdateFixture { control, a, b, agent, proxy }
}

/// Asserts that six calls in a row are all served by the named backend.
async fn assert_only_serving(proxy: &ProxyProcess, name: &str) {
    for _ in 0..6 {
        assert_eq!(proxy.call("look").await, (200, name.into()));
    }
}

/// An update has the entry of a draining backend between entries that cannot be applied.
#[rstest]
#[case::no_object("7")]
#[case::no_name(r#"{"dial": "127.0.0.1:1", "site": "a", "health": "SERVING"}"#)]
#[case::no_such_health(r#"{"host": "x", "dial": "127.0.0.1:1", "site": "a", "health": "ASLEEP"}"#)]
#[case::no_address(r#"{"host": "x", "dial": "x:http", "site": "a", "health": "SERVING"}"#)]
#[case::no_such_zone(r#"{"host": "x", "dial": "127.0.0.1:1", "site": "q", "health": "SERVING"}"#)]
#[case::no_number(
    r#"{"host": "x", "dial": "127.0.0.1:1", "site": "a", "health": "SERVING", "share": "NaN"}"#
)]
#[case::huge(r#"{"host": "x", "dial": "127.0.0.1:1", "site": "a", "health": "SERVING", "born_ms": 1e999}"#)]
#[case::twice(r#"{"host": "b", "site": "a", "health": "SERVING", "dial": null}"#)]
#[case::unknown_gone(r#"{"host": "x", "health": "DELETED"}"#)]
#[tokio::test]
async fn a_drain_is_applied_whatever_the_other_entries_of_the_update(#[case] invalid: &str) {
    let fixture =
        start_with_update(|a, _| format!("{invalid}, {}, {invalid}", a.endpoint_entry("DRAINING"))).await;
    assert_only_serving(&fixture.proxy, "b").await;
}

/// The entry of the draining or deleted backend itself has missing or invalid fields.
#[rstest]
#[case::no_address(r#"{"host": "a", "site": "a", "health": "DRAINING"}"#)]
#[case::invalid_address(r#"{"host": "a", "dial": "a:http", "site": "a", "health": "DRAINING"}"#)]
#[case::no_zone(r#"{"host": "a", "health": "DRAINING"}"#)]
#[case::invalid_numbers(
    r#"{"host": "a", "site": "a", "block": -1, "share": "?", "born_ms": 1e999, "health": "DRAINING"}"#
)]
#[case::deleted(r#"{"host": "a", "dial": 5, "health": "DELETED"}"#)]
#[tokio::test]
async fn the_health_of_a_draining_backend_is_applied_whatever_the_rest_of_its_entry(#[case] entry: &str) {
    let fixture = start_with_update(|_, _| entry.to_string()).await;
    assert_only_serving(&fixture.proxy, "b").await;
}

/// The registry does not send an entry of an update again, so after one that does not parse the full list is polled.
#[tokio::test]
async fn an_update_with_an_entry_that_does_not_parse_causes_a_resync() {
    let fixture = start_with_update(|_, _| "{\"host\": 5}".to_string()).await;
    let calls = fixture.agent.calls();
    assert!(calls[1..].iter().any(|call| call.after.is_none()), "the full list is polled");
    fixture.agent.override_watch_answers(None);
    fixture.agent.set_list(vec![fixture.a.endpoint_entry("SERVING"), fixture.b.endpoint_entry("DRAINING")]);
    fixture.agent.wait_until_list_held().await;
    assert_only_serving(&fixture.proxy, "a").await;
}

/// An entry with a number out of the range of a 64-bit float stays in the list; the other entries are applied.
#[tokio::test]
async fn an_entry_with_a_number_out_of_range_does_not_affect_other_entries() {
    let fixture = start_with_update(|a, _| a.endpoint_entry("SERVING").to_string()).await;
    let invalid = r#"{"host": "x", "dial": "127.0.0.1:1", "site": "a", "health": "SERVING", "share": 1e999}"#;
    let (a, b) = (fixture.a.endpoint_entry("DRAINING"), fixture.b.endpoint_entry("SERVING"));
    let full_list = format!("{{\"seq\": 3, \"whole\": true, \"hosts\": [{invalid}, {a}, {b}]}}");
    let calls_before = fixture.agent.calls().len();
    fixture.agent.override_watch_answers(Some(full_list));
    let held_version = fixture.agent.wait_for_call_after_version(calls_before, 2).await;
    assert_eq!(held_version, Some(3), "the list is held");
    assert_only_serving(&fixture.proxy, "b").await;
}

/// An update lists a backend as draining and then as serving at another address: calls go to the new address. Weights
/// whose sum overflows exclude no backend.
#[tokio::test]
async fn a_backend_that_drains_and_returns_in_the_same_update_is_called_at_its_new_address() {
    let fixture = start_with_update(|a, b| {
        let (mut returned, mut huge, mut other) =
            (a.endpoint_entry("SERVING"), a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING"));
        (returned["dial"], returned["born_ms"]) = (b.addr.to_string().into(), json!(5.0));
        (huge["host"], huge["share"]) = ("c".into(), json!(1e308));
        (other["host"], other["share"]) = ("d".into(), json!(1e308));
        [a.endpoint_entry("DRAINING"), returned, b.endpoint_entry("DRAINING"), huge, other]
            .map(|entry| entry.to_string())
            .join(", ")
    })
    .await;
    fixture.agent.override_watch_answers(None);
    for _ in 0..40 {
        assert_eq!(fixture.proxy.call("look").await.0, 200);
    }
    let (a, b) = (fixture.control.request_count("a"), fixture.control.request_count("b"));
    assert!(a > 10 && b > 10, "{a} and {b} calls");
}
