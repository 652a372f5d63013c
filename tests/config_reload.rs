//! SIGHUP during a call to discovery, between calls, and while discovery is unavailable.

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

/// Time after the signal in which the proxy must apply the list of the new discovery service.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

/// Proxy that is moved by a reload from one discovery service to another.
struct Migration {
    a: TestBackend,
    b: TestBackend,
    old: Agent,
    new: Agent,
    proxy: ProxyProcess,
}

/// Starts a proxy that holds the list of its discovery service, and a second service that lists another backend.
async fn start_migration(discovery_mode: &str) -> Migration {
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    let (old, new) = (
        Agent::start(vec![a.endpoint_entry("SERVING")]).await,
        Agent::start(vec![b.endpoint_entry("SERVING")]).await,
    );
    let proxy = ProxyProcess::start_with_command(
        &old.proxy_config(settings_with_mode(discovery_mode)),
        "exec \"$0\"",
    )
    .await;
    old.wait_until_list_held().await;
    Migration { a, b, old, new, proxy }
}

fn settings_with_mode(discovery_mode: &str) -> Value {
    let mut settings = settings();
    settings["discovery"] = discovery_mode.into();
    settings["guarantees"]["askWithin"] = json!(10_000.0);
    settings
}

impl Migration {
    /// Reloads with the new discovery address, and checks that its list applies in time, whatever the old address sends
    /// from now on, and that connections to the old address are closed.
    async fn reload_and_check(&mut self, late_response: Option<Arc<Notify>>) {
        let signalled = Instant::now();
        let text = self.new.proxy_config(Value::Null).to_string();
        self.proxy.reload(&text, "reloaded").await;
        self.new.wait_until_list_held().await;
        assert!(signalled.elapsed() < PROPAGATION_LIMIT, "applied only after {:?}", signalled.elapsed());
        self.old.set_list(vec![self.a.endpoint_entry("SERVING"), self.b.endpoint_entry("DRAINING")]);
        if let Some(release) = late_response {
            release.notify_one();
        }
        within_deadline(async {
            while self.old.open_connections() > 0 {
                tokio::task::yield_now().await;
            }
        })
        .await;
        // All bytes that were in transit as the signal arrived have been read.
        let old_calls = self.old.calls().len();
        assert!(
            signalled.elapsed() < PROPAGATION_LIMIT,
            "old address released only after {:?}",
            signalled.elapsed()
        );
        for _ in 0..4 {
            assert_eq!(self.proxy.call("look").await, (200, "b".into()));
        }
        // The new address is called repeatedly, the old one never again.
        self.new.wait_for_calls(self.new.calls().len() + 2).await;
        assert_eq!(self.old.calls().len(), old_calls, "the old address is still called");
        assert_eq!(self.proxy.call("look").await, (200, "b".into()));
    }
}

#[rstest]
#[tokio::test]
async fn a_reload_during_a_call_ignores_its_late_response(#[values("automatic", "subscribe")] mode: &str) {
    let mut s = start_migration(mode).await;
    let (before, late) = (s.old.calls().len(), Arc::new(Notify::new()));
    s.old.enqueue([CallAction::AnswerAfter(late.clone())]);
    s.old.wait_for_calls(before + 1).await;
    s.reload_and_check(Some(late)).await;
}

/// Every call is reset, so that the reload arrives during the pause after a failed call.
#[rstest]
#[tokio::test]
async fn a_reload_during_a_backoff_pause_calls_the_new_address(
    #[values("automatic", "subscribe")] mode: &str,
) {
    let mut s = start_migration(mode).await;
    let before = s.old.calls().len();
    s.old.enqueue(vec![CallAction::Reset; 100]);
    s.old.wait_for_calls(before + 4).await;
    s.reload_and_check(None).await;
}

#[rstest]
#[tokio::test]
async fn a_reload_during_an_outage_calls_the_new_address(#[values("automatic", "subscribe")] mode: &str) {
    let mut s = start_migration(mode).await;
    s.old.toggle_outage();
    s.old.wait_for_calls(s.old.calls().len() + 2).await;
    s.reload_and_check(None).await;
}

/// An invalid file changes nothing and is logged; the next signal is handled as usual.
#[tokio::test]
async fn an_invalid_file_changes_nothing_and_the_next_reload_works() {
    let mut s = start_migration("automatic").await;
    let valid = s.new.proxy_config(settings()).to_string();
    let too_many_addresses = json!({"discovery": vec!["127.0.0.1:1"; 17]}).to_string();
    for text in [
        "",
        &valid[..valid.len() / 2],
        "{}",
        r#"{"discovery": 7}"#,
        r#"{"discovery": "nowhere"}"#,
        r#"{"discovery": []}"#,
        &too_many_addresses,
    ] {
        s.proxy.reload(text, "not reloaded").await;
        assert_eq!(s.proxy.call("look").await, (200, "a".into()));
    }
    s.reload_and_check(None).await;
}

/// After signals in quick succession, the file as it is at the last one applies.
#[tokio::test]
async fn after_signals_in_quick_succession_the_last_file_applies() {
    let mut s = start_migration("automatic").await;
    let intermediate = Agent::start(vec![s.a.endpoint_entry("SERVING")]).await;
    for _ in 0..5 {
        s.proxy.replace_config(&intermediate.proxy_config(Value::Null).to_string());
        s.proxy.send_signal("-HUP");
        s.proxy.replace_config(&s.new.proxy_config(Value::Null).to_string());
        s.proxy.send_signal("-HUP");
    }
    s.assert_migrated().await;
    assert_eq!(intermediate.open_connections(), 0, "its connections are closed");
}

impl Migration {
    async fn assert_migrated(&mut self) {
        self.new.wait_until_list_held().await;
        // A reload of an unchanged file disturbs nothing.
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

/// The new address starts to listen late, and is called as soon as it does.
#[tokio::test]
async fn an_address_that_listens_after_the_reload_is_called_at_once() {
    let mut s = start_migration("automatic").await;
    let (socket, discovery_addr) = refusing_address();
    s.proxy.reload(&json!({"discovery": discovery_addr.to_string()}).to_string(), "reloaded").await;
    s.proxy.wait_for_log("Connection refused").await;
    let listening = Instant::now();
    let late = Agent::from_listener(
        socket.listen(64).expect("address listens"),
        vec![s.b.endpoint_entry("SERVING")],
    );
    timeout(Duration::from_millis(550), late.wait_until_list_held())
        .await
        .expect("called within the grace period");
    assert!(listening.elapsed() < PROPAGATION_LIMIT);
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
}
