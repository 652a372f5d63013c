//! Lists and watches as the short days have them: whole lists that leave out what drains, watches that end instead of
//! telling or fall silent late, drains around a reload, lists in pieces.

mod agent_rig;
mod rig;
mod waits;

use agent_rig::{Agent, Say};
use rig::{BackendAction, BackendControl, ProxyProcess, TestBackend, settings};
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What discovery has counts as told so long after a watch fell silent.
const TOLD: Duration = Duration::from_secs(6);

struct Watched {
    orders: Arc<BackendControl>,
    a: TestBackend,
    b: TestBackend,
    agent: Agent,
    proxy: ProxyProcess,
}

/// A proxy that holds the list of two backends, where lists are pushed or asked for.
async fn watched(form: &str) -> Watched {
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    let agent = Agent::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let mut settings = settings();
    settings["discovery"] = form.into();
    settings["guarantees"]["askWithin"] = json!(10_000.0);
    let proxy = ProxyProcess::start_with_command(&agent.config(settings), "exec \"$0\"").await;
    agent.held().await;
    Watched { orders, a, b, agent, proxy }
}

impl Watched {
    async fn only(&self, name: &str) {
        for _ in 0..6 {
            assert_eq!(self.proxy.call("look").await, (200, name.into()));
        }
    }
}

/// It gets nothing new, though its connections stay and it would answer; what it has it finishes.
#[rstest]
#[tokio::test]
async fn a_backend_that_a_whole_list_leaves_out_gets_nothing_new_though_it_answers(
    #[values("automatic", "subscribe")] form: &str,
) {
    let s = watched(form).await;
    let release = Arc::new(Notify::new());
    s.orders.enqueue([BackendAction::ServeAfter(release.clone())]);
    let mut caller = s.proxy.connect_client().await;
    let held = tokio::spawn(async move { caller.call("once").await });
    s.orders.wait_for_requests(1).await;
    let busy = s.orders.requests.borrow()[0].0;
    let other = if busy == "a" { &s.b } else { &s.a };
    s.agent.change(vec![other.endpoint_entry("SERVING")]);
    s.agent.held().await;
    s.only(other.name).await;
    release.notify_one();
    assert_eq!(held.await.expect("no panic"), (200, busy.into()));
    s.only(other.name).await;
}

/// The first answer after a watch that ended is the whole list, which leaves out the one that drains.
#[rstest]
#[tokio::test]
async fn a_watch_that_ends_instead_of_telling_is_followed_by_the_whole_list(
    #[values("automatic", "subscribe")] form: &str,
) {
    let s = watched(form).await;
    for (gone, stays) in [(&s.a, &s.b), (&s.b, &s.a)] {
        let before = s.agent.calls().len();
        s.agent.give([Say::EndAtNews]);
        s.agent.called(before + 1).await;
        while s.agent.left() > 0 {
            s.agent.called(s.agent.calls().len() + 1).await;
        }
        s.agent.change(vec![stays.endpoint_entry("SERVING")]);
        s.agent.held().await;
        s.only(stays.name).await;
        s.agent.change(vec![gone.endpoint_entry("SERVING"), stays.endpoint_entry("SERVING")]);
        s.agent.held().await;
    }
}

/// Watches that have told for long may still fall silent; a drain begins just then.
#[rstest]
#[tokio::test]
async fn a_watch_that_falls_silent_late_is_made_anew_before_its_news_counts_as_told(
    #[values("automatic", "subscribe")] form: &str,
) {
    let s = watched(form).await;
    for round in 0..12 {
        let mut line = s.a.endpoint_entry("SERVING");
        line["born_ms"] = json!(f64::from(round));
        s.agent.change(vec![line, s.b.endpoint_entry("SERVING")]);
        s.agent.held().await;
    }
    let before = s.agent.calls().len();
    s.agent.give([Say::Nothing]);
    s.agent.called(before + 1).await;
    let silent = Instant::now();
    s.agent.change(vec![s.b.endpoint_entry("SERVING")]);
    s.agent.held().await;
    assert!(silent.elapsed() < TOLD, "held only after {:?}", silent.elapsed());
    assert_eq!(s.agent.left(), 0, "a watch fell silent");
    s.only("b").await;
}

/// One drains as the new configuration comes, told by the old discovery or by the new one, whose first calls may fail.
#[rstest]
#[case::told_before(true, vec![])]
#[case::told_by_the_new_one(false, vec![])]
#[case::first_call_reset(false, vec![Say::Reset])]
#[case::first_calls_silent(false, vec![Say::Nothing, Say::Half])]
#[tokio::test]
async fn a_drain_around_a_reload_is_heard(
    #[case] before: bool,
    #[case] first: Vec<Say>,
    #[values("automatic", "subscribe")] form: &str,
) {
    let mut s = watched(form).await;
    if before {
        s.agent.change(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]);
    }
    let whole = if before {
        vec![s.b.endpoint_entry("SERVING")]
    } else {
        vec![s.a.endpoint_entry("SERVING"), s.b.endpoint_entry("SERVING")]
    };
    let new = Agent::start(whole).await;
    new.give(first);
    s.proxy.reload(&new.config(Value::Null).to_string(), "reloaded").await;
    if !before {
        new.held().await;
        new.change(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]);
    }
    new.held().await;
    assert_eq!(new.left(), 0);
    s.only("b").await;
    new.change(vec![s.a.endpoint_entry("SERVING")]);
    new.held().await;
    s.only("a").await;
}

/// A list may come byte by byte, indented, chunked, with names of headers in any case, or without a length.
#[rstest]
#[case::indented("Content-Length", true)]
#[case::any_case("cOnTeNt-LeNgTh", false)]
#[case::chunked("TRANSFER-encoding", true)]
#[case::without_length("X-None", true)]
#[tokio::test]
async fn a_list_in_pieces_and_in_any_form_is_heard(#[case] header: &str, #[case] indented: bool) {
    let s = watched("automatic").await;
    let page = json!({"seq": 7, "whole": true, "hosts": [s.b.endpoint_entry("SERVING")]});
    let text = if indented { serde_json::to_string_pretty(&page) } else { serde_json::to_string(&page) };
    let text = text.expect("JSON");
    let answer = match header {
        "TRANSFER-encoding" => {
            let (first, rest) = text.split_at(text.len() / 3);
            let sizes = (first.len(), rest.len());
            format!(
                "{header}: CHUNKED\r\n\r\n{:X};a=b\r\n{first}\r\n{:x}\r\n{rest}\r\n0\r\nT: u\r\n\r\n",
                sizes.0, sizes.1
            )
        }
        "X-None" => format!("Connection: close\r\n\r\n{text}"),
        _ => format!("{header}:{}  \r\n\r\n{text}", text.len()),
    };
    let begun = s.agent.calls().len();
    let ends = if header == "X-None" {
        vec![Say::Bytes(format!("HTTP/1.1 200 OK\r\n{answer}"))]
    } else {
        vec![Say::Bytes(format!("HTTP/1.1 200\r\n{answer}"))]
    };
    s.agent.give(ends);
    assert_eq!(s.agent.asked_behind(begun, 6).await, Some(7), "the list is held");
    s.only("b").await;
}
