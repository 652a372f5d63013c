//! Entries of a list that cannot be read, or say what cannot be: what the others say is heard, and that a backend takes
//! nothing new is heard whatever else its entry says.

mod agent_rig;
mod rig;
mod waits;

use agent_rig::Agent;
use rig::{BackendControl, ProxyProcess, TestBackend, settings};
use rstest::rstest;
use serde_json::json;
use std::sync::Arc;

struct Told {
    orders: Arc<BackendControl>,
    a: TestBackend,
    b: TestBackend,
    agent: Agent,
    proxy: ProxyProcess,
}

/// A proxy that holds the list of two backends and is told changes to it, as text, and nothing else.
async fn told(changes: impl FnOnce(&TestBackend, &TestBackend) -> String) -> Told {
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    let agent = Agent::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let proxy = ProxyProcess::start_with_command(&agent.config(settings()), "exec \"$0\"").await;
    agent.held().await;
    let begun = agent.calls().len();
    let text = format!("{{\"seq\": 2, \"whole\": false, \"hosts\": [{}]}}", changes(&a, &b));
    agent.tell_instead(Some(text));
    // The call behind the changes: a watch from their version, or for the whole list.
    agent.asked_behind(begun, 1).await;
    Told { orders, a, b, agent, proxy }
}

async fn only(proxy: &ProxyProcess, name: &str) {
    for _ in 0..6 {
        assert_eq!(proxy.call("look").await, (200, name.into()));
    }
}

/// A drain is told among changes of which others cannot be read.
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
async fn a_drain_is_heard_whatever_the_entries_beside_it(#[case] odd: &str) {
    let s = told(|a, _| format!("{odd}, {}, {odd}", a.endpoint_entry("DRAINING"))).await;
    only(&s.proxy, "b").await;
}

/// Its own entry is spoilt.
#[rstest]
#[case::no_address(r#"{"host": "a", "site": "a", "health": "DRAINING"}"#)]
#[case::spoilt_address(r#"{"host": "a", "dial": "a:http", "site": "a", "health": "DRAINING"}"#)]
#[case::no_zone(r#"{"host": "a", "health": "DRAINING"}"#)]
#[case::spoilt_figures(
    r#"{"host": "a", "site": "a", "block": -1, "share": "?", "born_ms": 1e999, "health": "DRAINING"}"#
)]
#[case::gone(r#"{"host": "a", "dial": 5, "health": "DELETED"}"#)]
#[tokio::test]
async fn that_a_backend_takes_nothing_new_is_heard_whatever_else_its_entry_says(#[case] entry: &str) {
    let s = told(|_, _| entry.to_string()).await;
    only(&s.proxy, "b").await;
}

/// Changes of which one cannot be read are told by nobody again: the whole list is asked for.
#[tokio::test]
async fn what_cannot_be_read_among_changes_is_asked_for_anew() {
    let s = told(|_, _| "{\"host\": 5}".to_string()).await;
    let calls = s.agent.calls();
    assert!(calls[1..].iter().any(|call| call.after.is_none()), "the whole list is asked for");
    s.agent.tell_instead(None);
    s.agent.change(vec![s.a.endpoint_entry("SERVING"), s.b.endpoint_entry("DRAINING")]);
    s.agent.held().await;
    only(&s.proxy, "a").await;
}

/// A number that is too large for any machine stands in the list for good: it costs its entry and no other.
#[tokio::test]
async fn a_number_that_no_machine_holds_spoils_no_other_entry() {
    let s = told(|a, _| a.endpoint_entry("SERVING").to_string()).await;
    let odd = r#"{"host": "x", "dial": "127.0.0.1:1", "site": "a", "health": "SERVING", "share": 1e999}"#;
    let (a, b) = (s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING"));
    let whole = format!("{{\"seq\": 3, \"whole\": true, \"hosts\": [{odd}, {a}, {b}]}}");
    let begun = s.agent.calls().len();
    s.agent.tell_instead(Some(whole));
    let held = s.agent.asked_behind(begun, 2).await;
    assert_eq!(held, Some(3), "the list is held");
    only(&s.proxy, "b").await;
}

/// A backend that is back among the changes, at another address, is sent to where it is now; shares whose sum no machine
/// holds keep nobody out.
#[tokio::test]
async fn a_backend_that_drains_and_is_back_in_the_same_changes_serves_where_it_is_now() {
    let s = told(|a, b| {
        let (mut back, mut huge, mut other) =
            (a.endpoint_entry("SERVING"), a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING"));
        (back["dial"], back["born_ms"]) = (b.addr.to_string().into(), json!(5.0));
        (huge["host"], huge["share"]) = ("c".into(), json!(1e308));
        (other["host"], other["share"]) = ("d".into(), json!(1e308));
        [a.endpoint_entry("DRAINING"), back, b.endpoint_entry("DRAINING"), huge, other]
            .map(|line| line.to_string())
            .join(", ")
    })
    .await;
    s.agent.tell_instead(None);
    for _ in 0..40 {
        assert_eq!(s.proxy.call("look").await.0, 200);
    }
    let (a, b) = (s.orders.request_count("a"), s.orders.request_count("b"));
    assert!(a > 10 && b > 10, "{a} and {b} calls");
}
