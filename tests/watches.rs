//! A call for the list ends, however it does: the next whole list is held in bounded time, and what an agent has at its
//! return is known within the grace of a drain.

mod agent_rig;
mod rig;
mod waits;

use agent_rig::{Agent, Say};
use rig::{
    BackendControl, ProxyProcess, TestBackend, settings, unresponsive_listener, wait_for_connecting,
    within_deadline,
};
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A change counts as told so long after discovery had it and could be reached, whatever calls failed since.
const TOLD: Duration = Duration::from_secs(6);
/// The rig's `stopSendingWithin`, and the protocol's slack on every limit.
const GRACE: Duration = Duration::from_millis(550);

struct Watched {
    a: TestBackend,
    b: TestBackend,
    agent: Agent,
    proxy: ProxyProcess,
}

/// A proxy that holds the list of two backends and watches it, where lists are pushed or asked for.
async fn watched(form: &str) -> Watched {
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    let agent = Agent::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let proxy = ProxyProcess::start_with_command(&agent.config(formed(form)), "exec \"$0\"").await;
    agent.held().await;
    Watched { a, b, agent, proxy }
}

fn formed(form: &str) -> Value {
    let mut settings = settings();
    settings["discovery"] = form.into();
    settings["guarantees"]["askWithin"] = json!(10_000.0);
    settings
}

fn spoilt(text: &str) -> Say {
    Say::Text(text.into())
}

/// Three calls in a row fail, each in its way. The backend that drains is told as the first of them has begun.
#[rstest]
#[tokio::test]
async fn after_three_failures_of_any_kind_the_whole_list_is_held_before_it_counts_as_told(
    #[values("automatic", "subscribe")] form: &str,
    #[values(
        vec![Say::Nothing, Say::Nothing, Say::Nothing],
        vec![Say::Reset, Say::Trickle, Say::Half],
        vec![Say::Trickle, Say::Nothing, spoilt("[]")],
        vec![Say::Half, Say::Late(Arc::default()), spoilt("{\"seq\": \"2\", \"whole\": true, \"hosts\": []}")],
        vec![spoilt("{\"seq\": 0, \"whole\": false, \"hosts\": []}"), Say::Trickle, Say::Nothing]
    )]
    ends: Vec<Say>,
) {
    let s = watched(form).await;
    let (before, orders) = (s.agent.calls().len(), ends.len());
    s.agent.give(ends);
    // The watch that is open ends by its wait; the next call is the first to fail.
    s.agent.called(before + 1).await;
    assert_eq!(s.agent.left(), orders - 1);
    let had = Instant::now();
    s.agent.change(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]);
    s.agent.held().await;
    assert!(had.elapsed() < TOLD, "held only after {:?}", had.elapsed());
    assert_eq!(s.agent.left(), 0, "three calls have failed");
    for _ in 0..4 {
        assert_eq!(s.proxy.call("look").await, (200, "b".into()));
    }
}

/// The agent falls silent for a while and has news at its return. What it was asked meanwhile is never answered. How
/// soon the news is known, `paused::returns` judges on the program's own clock.
#[tokio::test]
async fn what_an_agent_has_at_its_return_is_known_whatever_stays_unanswered() {
    let s = watched("automatic").await;
    for (drains, serves) in [(&s.a, &s.b), (&s.b, &s.a)] {
        s.agent.turn();
        s.agent.called(s.agent.calls().len() + 3).await;
        s.agent.turn();
        s.agent.change(vec![drains.endpoint_entry("DRAINING"), serves.endpoint_entry("SERVING")]);
        s.agent.held().await;
        assert_eq!(s.proxy.call("look").await, (200, serves.name.into()));
    }
}

/// Connects that are under way as the agent comes back may come up a second later.
#[tokio::test]
async fn a_connect_that_hangs_keeps_nobody_from_an_agent_that_is_back() {
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let (listener, queue) = unresponsive_listener().await;
    let nowhere = listener.local_addr().expect("bound");
    let mut config = Agent::start(Vec::new()).await.config(settings());
    config["discovery"] = nowhere.to_string().into();
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    wait_for_connecting(nowhere).await;
    let (back, agent) = (Instant::now(), Agent::on(listener, vec![a.endpoint_entry("SERVING")]));
    drop(queue);
    agent.held().await;
    assert!(back.elapsed() < GRACE, "held only {:?} after the return", back.elapsed());
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}

/// Calls that stay without an answer are left, and their connections with them.
#[tokio::test]
async fn an_agent_that_is_silent_for_long_is_not_left_with_open_connections() {
    let s = watched("automatic").await;
    s.agent.turn();
    s.agent.called(s.agent.calls().len() + 20).await;
    assert!(s.agent.open() <= 3, "{} connections are open", s.agent.open());
    s.agent.turn();
    // Only the connection of the watch is kept; a proxy that kept them all would not get there.
    within_deadline(async {
        while s.agent.open() > 1 {
            s.agent.called(s.agent.calls().len() + 1).await;
        }
    })
    .await;
    assert_eq!(s.proxy.call("look").await.0, 200);
}

/// An agent that answers at once with what is known already, call after call, is not called as fast as it answers.
#[tokio::test]
async fn an_agent_that_never_waits_is_not_run_over() {
    let s = watched("automatic").await;
    let page = json!({"seq": 1, "whole": true, "hosts": [s.a.endpoint_entry("SERVING")]}).to_string();
    s.agent.give(vec![Say::Text(page); 20]);
    within_deadline(async {
        while s.agent.left() > 0 {
            s.agent.called(s.agent.calls().len() + 1).await;
        }
    })
    .await;
    let calls = s.agent.calls();
    let last = &calls[calls.len() - 20..];
    let took = last[19].at - last[0].at;
    assert!(took >= Duration::from_millis(1900), "20 calls in {took:?}");
}

/// A whole answer that comes after its time says nothing any more.
#[tokio::test]
async fn an_answer_after_its_time_out_changes_nothing() {
    let s = watched("automatic").await;
    let late = Arc::new(Notify::new());
    let before = s.agent.calls().len();
    s.agent.give([Say::Late(late.clone())]);
    s.agent.called(before + 1).await;
    // The call behind it is answered, and so is the one that follows upon that.
    s.agent.change(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]);
    s.agent.held().await;
    s.agent.change(vec![s.a.endpoint_entry("SERVING"), s.b.endpoint_entry("DRAINING")]);
    s.agent.held().await;
    late.notify_one();
    for _ in 0..4 {
        assert_eq!(s.proxy.call("look").await, (200, "a".into()));
    }
    assert_eq!(s.agent.open(), 1, "its connection is gone");
}
