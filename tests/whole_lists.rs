//! Full lists and watches in the forms that the platform's discovery has them: full lists without draining backends,
//! watches that end or stay unanswered instead of delivering a change, drains around a reload, and answers in small
//! pieces.

mod agent_rig;
mod rig;
mod waits;

use agent_rig::{Agent, CallAction};
use rig::{BackendAction, BackendControl, ProxyProcess, TestBackend, settings};
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time after which the platform counts a change as delivered, from the start of a watch that is never answered.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);

/// Proxy that holds the list of two backends at an agent.
struct WatchFixture {
    control: Arc<BackendControl>,
    a: TestBackend,
    b: TestBackend,
    agent: Agent,
    proxy: ProxyProcess,
}

/// Starts a proxy in a discovery mode and waits until it holds the list of two backends. With `automatic` it watches
/// the list all the time, with `subscribe` it polls on demand.
async fn start_fixture(discovery_mode: &str) -> WatchFixture {
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    let agent = Agent::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let mut settings = settings();
    settings["discovery"] = discovery_mode.into();
    settings["guarantees"]["askWithin"] = json!(10_000.0);
    let proxy = ProxyProcess::start_with_command(&agent.proxy_config(settings), "exec \"$0\"").await;
    agent.wait_until_list_held().await;
    WatchFixture { control, a, b, agent, proxy }
}

impl WatchFixture {
    /// Asserts that six calls in a row are all served by the named backend.
    async fn assert_only_serving(&self, name: &str) {
        for _ in 0..6 {
            assert_eq!(self.proxy.call("look").await, (200, name.into()));
        }
    }
}

/// A backend that a full list lacks gets no new call, although it is reachable and its connections are open; a call in
/// flight is finished.
#[rstest]
#[tokio::test]
async fn a_backend_that_a_full_list_lacks_gets_no_new_calls_and_finishes_those_in_flight(
    #[values("automatic", "subscribe")] discovery_mode: &str,
) {
    let fixture = start_fixture(discovery_mode).await;
    let release = Arc::new(Notify::new());
    fixture.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    let mut client = fixture.proxy.connect_client().await;
    let in_flight = tokio::spawn(async move { client.call("once").await });
    fixture.control.wait_for_requests(1).await;
    let busy = fixture.control.requests.borrow()[0].0;
    let other = if busy == "a" { &fixture.b } else { &fixture.a };
    fixture.agent.set_list(vec![other.endpoint_entry("SERVING")]);
    fixture.agent.wait_until_list_held().await;
    fixture.assert_only_serving(other.name).await;
    release.notify_one();
    assert_eq!(in_flight.await.expect("the call does not panic"), (200, busy.into()));
    fixture.assert_only_serving(other.name).await;
}

/// The agent closes the connection of a watch when the list changes. The next answer is the full list, which lacks the
/// draining backend.
#[rstest]
#[tokio::test]
async fn a_watch_that_ends_without_an_answer_is_followed_by_the_full_list(
    #[values("automatic", "subscribe")] discovery_mode: &str,
) {
    let fixture = start_fixture(discovery_mode).await;
    for (draining, serving) in [(&fixture.a, &fixture.b), (&fixture.b, &fixture.a)] {
        let calls_before = fixture.agent.calls().len();
        fixture.agent.enqueue([CallAction::CloseAtChange]);
        fixture.agent.wait_for_calls(calls_before + 1).await;
        while fixture.agent.queued_actions() > 0 {
            fixture.agent.wait_for_calls(fixture.agent.calls().len() + 1).await;
        }
        fixture.agent.set_list(vec![serving.endpoint_entry("SERVING")]);
        fixture.agent.wait_until_list_held().await;
        fixture.assert_only_serving(serving.name).await;
        fixture.agent.set_list(vec![draining.endpoint_entry("SERVING"), serving.endpoint_entry("SERVING")]);
        fixture.agent.wait_until_list_held().await;
    }
}

/// After many answered watches, one is never answered, and a drain starts at that moment.
#[rstest]
#[tokio::test]
async fn an_unanswered_watch_after_many_answered_ones_is_replaced_before_the_delivery_deadline(
    #[values("automatic", "subscribe")] discovery_mode: &str,
) {
    let fixture = start_fixture(discovery_mode).await;
    for round in 0..12 {
        let mut entry = fixture.a.endpoint_entry("SERVING");
        entry["born_ms"] = json!(f64::from(round));
        fixture.agent.set_list(vec![entry, fixture.b.endpoint_entry("SERVING")]);
        fixture.agent.wait_until_list_held().await;
    }
    let calls_before = fixture.agent.calls().len();
    fixture.agent.enqueue([CallAction::NoAnswer]);
    fixture.agent.wait_for_calls(calls_before + 1).await;
    let unanswered_since = Instant::now();
    fixture.agent.set_list(vec![fixture.b.endpoint_entry("SERVING")]);
    fixture.agent.wait_until_list_held().await;
    assert!(
        unanswered_since.elapsed() < DELIVERY_DEADLINE,
        "the list was held only after {:?}",
        unanswered_since.elapsed()
    );
    assert_eq!(fixture.agent.queued_actions(), 0, "one watch was not answered");
    fixture.assert_only_serving("b").await;
}

/// A backend starts to drain around a reload. The change comes from the old discovery address before the reload or from
/// the new one after it, whose first calls may fail.
#[rstest]
#[case::drain_before_reload(true, vec![])]
#[case::drain_after_reload(false, vec![])]
#[case::first_call_reset(false, vec![CallAction::Reset])]
#[case::first_calls_unanswered(false, vec![CallAction::NoAnswer, CallAction::HalfAnswer])]
#[tokio::test]
async fn a_drain_around_a_reload_is_applied(
    #[case] drains_before: bool,
    #[case] first_actions: Vec<CallAction>,
    #[values("automatic", "subscribe")] discovery_mode: &str,
) {
    let mut fixture = start_fixture(discovery_mode).await;
    if drains_before {
        fixture
            .agent
            .set_list(vec![fixture.a.endpoint_entry("DRAINING"), fixture.b.endpoint_entry("SERVING")]);
    }
    let full_list = if drains_before {
        vec![fixture.b.endpoint_entry("SERVING")]
    } else {
        vec![fixture.a.endpoint_entry("SERVING"), fixture.b.endpoint_entry("SERVING")]
    };
    let new = Agent::start(full_list).await;
    new.enqueue(first_actions);
    fixture.proxy.reload(&new.proxy_config(Value::Null).to_string(), "reloaded").await;
    if !drains_before {
        new.wait_until_list_held().await;
        new.set_list(vec![fixture.a.endpoint_entry("DRAINING"), fixture.b.endpoint_entry("SERVING")]);
    }
    new.wait_until_list_held().await;
    assert_eq!(new.queued_actions(), 0);
    fixture.assert_only_serving("b").await;
    new.set_list(vec![fixture.a.endpoint_entry("SERVING")]);
    new.wait_until_list_held().await;
    fixture.assert_only_serving("a").await;
}

/// A list may arrive byte by byte, indented, chunked, with header names in any case, or without a content length.
#[rstest]
#[case::indented("Content-Length", true)]
#[case::any_case("cOnTeNt-LeNgTh", false)]
#[case::chunked("TRANSFER-encoding", true)]
#[case::without_length("X-None", true)]
#[tokio::test]
async fn a_list_in_small_pieces_and_any_encoding_is_applied(#[case] header: &str, #[case] indented: bool) {
    let fixture = start_fixture("automatic").await;
    let page = json!({"seq": 7, "whole": true, "hosts": [fixture.b.endpoint_entry("SERVING")]});
    let body = if indented { serde_json::to_string_pretty(&page) } else { serde_json::to_string(&page) };
    let body = body.expect("the list serializes");
    let answer = match header {
        "TRANSFER-encoding" => {
            let (first, rest) = body.split_at(body.len() / 3);
            let sizes = (first.len(), rest.len());
            format!(
                "{header}: CHUNKED\r\n\r\n{:X};a=b\r\n{first}\r\n{:x}\r\n{rest}\r\n0\r\nT: u\r\n\r\n",
                sizes.0, sizes.1
            )
        }
        "X-None" => format!("Connection: close\r\n\r\n{body}"),
        _ => format!("{header}:{}  \r\n\r\n{body}", body.len()),
    };
    let calls_before = fixture.agent.calls().len();
    let actions = if header == "X-None" {
        vec![CallAction::RawAnswer(format!("HTTP/1.1 200 OK\r\n{answer}"))]
    } else {
        vec![CallAction::RawAnswer(format!("HTTP/1.1 200\r\n{answer}"))]
    };
    fixture.agent.enqueue(actions);
    assert_eq!(fixture.agent.wait_for_call_after_version(calls_before, 6).await, Some(7), "the list is held");
    fixture.assert_only_serving("b").await;
}
