//! Calls for the endpoint list that fail in any way: the proxy holds the next full list in bounded time, and a change
//! that an agent has when it comes back is in force within the drain grace.

mod agent_rig;
mod rig;
mod waits;

use agent_rig::{Agent, CallAction};
use rig::{
    BackendControl, ProxyProcess, TestBackend, settings, unresponsive_listener, wait_for_connecting,
    within_deadline,
};
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time after which the platform counts a change as delivered, from when discovery had it and was reachable, whatever
/// calls failed since.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);
/// Drain grace of the test settings (`stopSendingWithin`, 500 ms) with the protocol's tolerance on every limit.
const DRAIN_GRACE: Duration = Duration::from_millis(550);

/// Proxy that watches the list of two backends at an agent.
struct WatchFixture {
    a: TestBackend,
    b: TestBackend,
    agent: Agent,
    proxy: ProxyProcess,
}

/// Starts a proxy in a discovery mode and waits until it holds the list of two backends.
async fn start_fixture(discovery_mode: &str) -> WatchFixture {
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    let agent = Agent::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let proxy = ProxyProcess::start_with_command(
        &agent.proxy_config(settings_with_mode(discovery_mode)),
        "exec \"$0\"",
    )
    .await;
    agent.wait_until_list_held().await;
    WatchFixture { a, b, agent, proxy }
}

/// Returns the proxy's settings with a discovery mode: with `automatic` it watches the list all the time, with
/// `subscribe` it polls on demand.
fn settings_with_mode(discovery_mode: &str) -> Value {
    let mut settings = settings();
    settings["discovery"] = discovery_mode.into();
    settings["guarantees"]["askWithin"] = json!(10_000.0);
    settings
}

/// Returns the action that answers with this body.
fn answer_body(body: &str) -> CallAction {
    CallAction::Body(body.into())
}

/// Three calls in a row fail, each in a different way. One backend starts to drain once the first of them has started.
#[rstest]
#[tokio::test]
async fn after_three_failed_calls_of_any_kind_the_list_is_held_before_the_delivery_deadline(
    #[values("automatic", "subscribe")] discovery_mode: &str,
    #[values(
        vec![CallAction::NoAnswer, CallAction::NoAnswer, CallAction::NoAnswer],
        vec![CallAction::Reset, CallAction::SlowAnswer, CallAction::HalfAnswer],
        vec![CallAction::SlowAnswer, CallAction::NoAnswer, answer_body("[]")],
        vec![CallAction::HalfAnswer, CallAction::AnswerAfter(Arc::default()), answer_body("{\"seq\": \"2\", \"whole\": true, \"hosts\": []}")],
        vec![answer_body("{\"seq\": 0, \"whole\": false, \"hosts\": []}"), CallAction::SlowAnswer, CallAction::NoAnswer]
    )]
    actions: Vec<CallAction>,
) {
    let fixture = start_fixture(discovery_mode).await;
    let (calls_before, failures) = (fixture.agent.calls().len(), actions.len());
    fixture.agent.enqueue(actions);
    // The pending watch is answered at the end of its wait; the next call is the first to fail.
    fixture.agent.wait_for_calls(calls_before + 1).await;
    assert_eq!(fixture.agent.queued_actions(), failures - 1);
    let changed_at = Instant::now();
    fixture.agent.set_list(vec![fixture.a.endpoint_entry("DRAINING"), fixture.b.endpoint_entry("SERVING")]);
    fixture.agent.wait_until_list_held().await;
    assert!(
        changed_at.elapsed() < DELIVERY_DEADLINE,
        "the list was held only after {:?}",
        changed_at.elapsed()
    );
    assert_eq!(fixture.agent.queued_actions(), 0, "three calls have failed");
    for _ in 0..4 {
        assert_eq!(fixture.proxy.call("look").await, (200, "b".into()));
    }
}

/// The agent is down for a while and has a change when it comes back; it never answers the calls of the meantime. The
/// unit tests in `paused::returns` check on a paused clock how soon the change is in force.
#[tokio::test]
async fn a_change_at_an_agent_that_comes_back_is_applied_although_earlier_calls_stay_unanswered() {
    let fixture = start_fixture("automatic").await;
    for (draining, serving) in [(&fixture.a, &fixture.b), (&fixture.b, &fixture.a)] {
        fixture.agent.toggle_outage();
        fixture.agent.wait_for_calls(fixture.agent.calls().len() + 3).await;
        fixture.agent.toggle_outage();
        fixture.agent.set_list(vec![draining.endpoint_entry("DRAINING"), serving.endpoint_entry("SERVING")]);
        fixture.agent.wait_until_list_held().await;
        assert_eq!(fixture.proxy.call("look").await, (200, serving.name.into()));
    }
}

/// A connection attempt that is pending when the agent comes back may be established only a second later; the proxy
/// must not wait for it.
#[tokio::test]
async fn a_pending_connection_attempt_does_not_delay_the_first_list_of_an_agent_that_is_back() {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let (listener, queued) = unresponsive_listener().await;
    let address = listener.local_addr().expect("bound listener has an address");
    let mut config = Agent::start(Vec::new()).await.proxy_config(settings());
    config["discovery"] = address.to_string().into();
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    wait_for_connecting(address).await;
    let back_at = Instant::now();
    let agent = Agent::from_listener(listener, vec![a.endpoint_entry("SERVING")]);
    drop(queued);
    agent.wait_until_list_held().await;
    assert!(
        back_at.elapsed() < DRAIN_GRACE,
        "the list was held only {:?} after the agent came back",
        back_at.elapsed()
    );
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}

/// The proxy gives up calls that stay unanswered, and closes their connections.
#[tokio::test]
async fn connections_of_unanswered_calls_are_closed() {
    let fixture = start_fixture("automatic").await;
    fixture.agent.toggle_outage();
    fixture.agent.wait_for_calls(fixture.agent.calls().len() + 20).await;
    assert!(
        fixture.agent.open_connections() <= 3,
        "{} connections are open",
        fixture.agent.open_connections()
    );
    fixture.agent.toggle_outage();
    // Only the connection of the watch is kept; a proxy that kept them all would not reach this number.
    within_deadline(async {
        while fixture.agent.open_connections() > 1 {
            fixture.agent.wait_for_calls(fixture.agent.calls().len() + 1).await;
        }
    })
    .await;
    assert_eq!(fixture.proxy.call("look").await.0, 200);
}

/// An agent that answers every watch at once with the held version is not polled in a tight loop.
#[tokio::test]
async fn an_agent_that_answers_at_once_without_a_change_is_polled_at_a_bounded_rate() {
    let fixture = start_fixture("automatic").await;
    let page = json!({"seq": 1, "whole": true, "hosts": [fixture.a.endpoint_entry("SERVING")]}).to_string();
    fixture.agent.enqueue(vec![CallAction::Body(page); 20]);
    within_deadline(async {
        while fixture.agent.queued_actions() > 0 {
            fixture.agent.wait_for_calls(fixture.agent.calls().len() + 1).await;
        }
    })
    .await;
    let calls = fixture.agent.calls();
    let last = &calls[calls.len() - 20..];
    let elapsed = last[19].at - last[0].at;
    assert!(elapsed >= Duration::from_millis(1900), "20 calls in {elapsed:?}");
}

/// A complete answer that arrives after the call's timeout is ignored, as the list may have changed since.
#[tokio::test]
async fn an_answer_after_its_timeout_changes_nothing() {
    let fixture = start_fixture("automatic").await;
    let release = Arc::new(Notify::new());
    let calls_before = fixture.agent.calls().len();
    fixture.agent.enqueue([CallAction::AnswerAfter(release.clone())]);
    fixture.agent.wait_for_calls(calls_before + 1).await;
    // The next two calls are answered before the late answer is released.
    fixture.agent.set_list(vec![fixture.a.endpoint_entry("DRAINING"), fixture.b.endpoint_entry("SERVING")]);
    fixture.agent.wait_until_list_held().await;
    fixture.agent.set_list(vec![fixture.a.endpoint_entry("SERVING"), fixture.b.endpoint_entry("DRAINING")]);
    fixture.agent.wait_until_list_held().await;
    release.notify_one();
    for _ in 0..4 {
        assert_eq!(fixture.proxy.call("look").await, (200, "a".into()));
    }
    assert_eq!(fixture.agent.open_connections(), 1, "the connection of the late answer is closed");
}
