//! SIGHUP while a call to discovery is out, between calls and while discovery is away.

mod agent_rig;
mod rig;
mod waits;

use agent_rig::{Agent, CallAction};
use rig::{BackendControl, ProxyProcess, TestBackend, refusing_address, settings, within_deadline};
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// So long after the signal what discovery has counts as told.
const TOLD: Duration = Duration::from_secs(4);
struct Moving {
    a: TestBackend,
    b: TestBackend,
    old: Agent,
    new: Agent,
    proxy: ProxyProcess,
}

/// A proxy that holds the list of its discovery, and another discovery that lists another backend.
async fn moving(form: &str) -> Moving {
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    let (old, new) = (
        Agent::start(vec![a.endpoint_entry("SERVING")]).await,
        Agent::start(vec![b.endpoint_entry("SERVING")]).await,
    );
    let proxy = ProxyProcess::start_with_command(&old.proxy_config(formed(form)), "exec \"$0\"").await;
    old.wait_until_list_held().await;
    Moving { a, b, old, new, proxy }
}

fn formed(form: &str) -> Value {
    let mut settings = settings();
    settings["discovery"] = form.into();
    settings["guarantees"]["askWithin"] = json!(10_000.0);
    settings
}

impl Moving {
    /// Sends SIGHUP; the new list is held in time, whatever the old address says from now on, and that is left.
    async fn moves(&mut self, late: Option<Arc<Notify>>) {
        let signalled = Instant::now();
        let text = self.new.proxy_config(Value::Null).to_string();
        self.proxy.reload(&text, "reloaded").await;
        self.new.wait_until_list_held().await;
        assert!(signalled.elapsed() < TOLD, "held only after {:?}", signalled.elapsed());
        self.old.set_list(vec![self.a.endpoint_entry("SERVING"), self.b.endpoint_entry("DRAINING")]);
        if let Some(late) = late {
            late.notify_one();
        }
        within_deadline(async {
            while self.old.open_connections() > 0 {
                tokio::task::yield_now().await;
            }
        })
        .await;
        // What was on its way as the signal came has been read.
        let said = self.old.calls().len();
        assert!(signalled.elapsed() < TOLD, "left only after {:?}", signalled.elapsed());
        for _ in 0..4 {
            assert_eq!(self.proxy.call("look").await, (200, "b".into()));
        }
        // The new one is asked on and on, the old one never.
        self.new.wait_for_calls(self.new.calls().len() + 2).await;
        assert_eq!(self.old.calls().len(), said, "the old address is asked");
        assert_eq!(self.proxy.call("look").await, (200, "b".into()));
    }
}

#[rstest]
#[tokio::test]
async fn a_reload_during_a_call_leaves_its_late_answer_unheard(
    #[values("automatic", "subscribe")] form: &str,
) {
    let mut s = moving(form).await;
    let (before, late) = (s.old.calls().len(), Arc::new(Notify::new()));
    s.old.enqueue([CallAction::AnswerAfter(late.clone())]);
    s.old.wait_for_calls(before + 1).await;
    s.moves(Some(late)).await;
}

/// Every call is reset: most of the time is a pause, and where the list is asked for the module waits.
#[rstest]
#[tokio::test]
async fn a_reload_during_a_pause_asks_the_new_address(#[values("automatic", "subscribe")] form: &str) {
    let mut s = moving(form).await;
    let before = s.old.calls().len();
    s.old.enqueue(vec![CallAction::Reset; 100]);
    s.old.wait_for_calls(before + 4).await;
    s.moves(None).await;
}

#[rstest]
#[tokio::test]
async fn a_reload_during_an_outage_asks_the_new_address(#[values("automatic", "subscribe")] form: &str) {
    let mut s = moving(form).await;
    s.old.toggle_outage();
    s.old.wait_for_calls(s.old.calls().len() + 2).await;
    s.moves(None).await;
}

/// What cannot be read changes nothing and is said; the next signal is heard as ever.
#[tokio::test]
async fn a_file_that_cannot_be_read_leaves_all_as_it_is_and_the_next_is_heard() {
    let mut s = moving("automatic").await;
    let whole = s.new.proxy_config(settings()).to_string();
    let many = json!({"discovery": vec!["127.0.0.1:1"; 17]}).to_string();
    for text in [
        "",
        &whole[..whole.len() / 2],
        "{}",
        r#"{"discovery": 7}"#,
        r#"{"discovery": "nowhere"}"#,
        r#"{"discovery": []}"#,
        &many,
    ] {
        s.proxy.reload(text, "not reloaded").await;
        assert_eq!(s.proxy.call("look").await, (200, "a".into()));
    }
    s.moves(None).await;
}

/// Signals that follow each other closely: the file as it is at the last one holds.
#[tokio::test]
async fn of_signals_that_come_together_the_last_file_holds() {
    let mut s = moving("automatic").await;
    let between = Agent::start(vec![s.a.endpoint_entry("SERVING")]).await;
    for _ in 0..5 {
        s.proxy.replace_config(&between.proxy_config(Value::Null).to_string());
        s.proxy.send_signal("-HUP");
        s.proxy.replace_config(&s.new.proxy_config(Value::Null).to_string());
        s.proxy.send_signal("-HUP");
    }
    s.moves_on().await;
    assert_eq!(between.open_connections(), 0, "it is left");
}

impl Moving {
    async fn moves_on(&mut self) {
        self.new.wait_until_list_held().await;
        // The same file once more is no news, and nothing is disturbed by it.
        self.proxy.send_signal("-HUP");
        self.new.wait_for_calls(self.new.calls().len() + 2).await;
        assert_eq!(self.proxy.call("look").await, (200, "b".into()));
        within_deadline(async {
            while self.old.open_connections() > 0 {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }
}

/// The new address comes up late: it is asked as soon as it is there.
#[tokio::test]
async fn an_address_that_comes_up_after_the_reload_is_asked_at_once() {
    let mut s = moving("automatic").await;
    let (place, there) = refusing_address();
    s.proxy.reload(&json!({"discovery": there.to_string()}).to_string(), "reloaded").await;
    s.proxy.wait_for_log("Connection refused").await;
    let up = Instant::now();
    let late =
        Agent::from_listener(place.listen(64).expect("it listens"), vec![s.b.endpoint_entry("SERVING")]);
    timeout(Duration::from_millis(550), late.wait_until_list_held()).await.expect("asked within the grace");
    assert!(up.elapsed() < TOLD);
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
}
