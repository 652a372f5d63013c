//! The terms of the standing test that need no bench: what holds after SIGTERM, what counts as told and from when, and
//! how much a cold backend is sent by a whole fleet. `docs/incidents/standing.md` lists the terms.

mod common;
mod fault_relay;
mod rig;
mod waits;

use fault_relay::Relay;
use http_body_util::{BodyExt, Full};
use load_balancer::interface::{Entry, Idempotency, ListKind, Outcome};
use rig::{
    BackendAction, ProxyFixture, ProxyProcess, TestClient, request, settings, start_fixture, within_deadline,
};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until};

/// The rig's `stopSendingWithin`, and the protocol's slack on every limit.
const GRACE: Duration = Duration::from_millis(550);

/// Sends on a connection if it is still open. A close between requests may cross one, which is then nobody's: it
/// must not have reached a backend.
async fn send_on(s: &ProxyFixture, caller: &mut TestClient, class: &str, waits: Duration) -> Option<u16> {
    let (mut head, body) = request(class).body(Full::default()).expect("well formed").into_parts();
    let waits = waits.as_millis().to_string();
    head.headers.insert("req-deadline-ms", waits.parse().expect("a value"));
    let id = head.headers["req-id"].clone();
    within_deadline(caller.0.ready()).await.ok()?;
    match within_deadline(caller.0.send_request(hyper::Request::from_parts(head, body))).await {
        Ok(answer) => {
            let status = answer.status().as_u16();
            within_deadline(answer.into_body().collect()).await.expect("a whole answer");
            Some(status)
        }
        Err(_) => {
            let seen = s.control.requests.borrow();
            assert!(seen.iter().all(|(_, head, _)| head.headers["req-id"] != id), "taken and not answered");
            None
        }
    }
}

/// Clients send on whatever stays open, up to the kill 3.7 s after SIGTERM: on connections in use as on those that
/// never carried anything. All of it is answered before the kill.
#[tokio::test]
async fn after_sigterm_every_open_connection_is_answered_until_the_kill() {
    let mut s = start_fixture(settings()).await;
    let mut callers = Vec::new();
    for _ in 0..2 {
        let mut used = s.proxy.connect_client().await;
        assert_eq!(used.call("once").await.0, 200);
        callers.push((used, Duration::ZERO));
    }
    for wait in [0, 300, 900, 1500] {
        callers.push((s.proxy.connect_client().await, Duration::from_millis(wait)));
    }
    let mut late = s.proxy.connect_client().await;
    s.proxy.terminate().await;
    let stopped = tokio::time::Instant::now();
    let mut answered = Vec::new();
    for (mut caller, wait) in callers {
        sleep_until(stopped + wait).await;
        let mut last = None;
        while let Some(status) = send_on(&s, &mut caller, "once", Duration::from_secs(4)).await {
            last = Some(status);
        }
        answered.push(last);
    }
    assert_eq!(answered, [Some(200); 6], "each is answered as long as it is open");
    s.control.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
    let status = send_on(&s, &mut late, "once", Duration::from_secs(4)).await;
    assert!(status.is_some_and(|status| status >= 500 && status != 503), "{status:?}: it may have run");
    assert!(stopped.elapsed() < Duration::from_millis(3700), "answered only {:?} on", stopped.elapsed());
}

/// Where clients give up sooner the kill comes sooner: 0.7 s after the longest time that one waits.
#[tokio::test]
async fn where_clients_give_up_early_a_late_request_is_answered_before_the_earlier_kill() {
    let mut short = settings();
    for class in short["classes"].as_array_mut().expect("a list") {
        class["giveUp"] = json!(1000.0);
    }
    let mut s = start_fixture(short).await;
    let mut late = s.proxy.connect_client().await;
    s.proxy.terminate().await;
    let stopped = Instant::now();
    sleep(Duration::from_millis(900)).await;
    s.control.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
    let status = send_on(&s, &mut late, "once", Duration::from_secs(1)).await;
    assert!(status.is_some_and(|status| status >= 500 && status != 503), "{status:?}: it may have run");
    assert!(stopped.elapsed() < Duration::from_millis(1700), "answered only {:?} on", stopped.elapsed());
}

/// A proxy of two backends that asks discovery through a relay, so that discovery can be away.
async fn behind_a_relay() -> (ProxyFixture, Relay) {
    let mut s = start_fixture(settings()).await;
    let mut config = s.discovery.proxy_config(settings());
    let relay = Relay::start(config["discovery"].as_str().and_then(|a| a.parse().ok()).expect("set")).await;
    config["discovery"] = relay.address.to_string().into();
    s.proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    // The version before may have been asked for by the other one, which is gone.
    s.discovery.publish(vec![s.a.endpoint_entry("SERVING"), s.b.endpoint_entry("SERVING")]).await;
    (s, relay)
}

/// A pushed list counts from the moment the agent has it, outage or not: one that is back is asked at once.
#[tokio::test]
async fn what_an_agent_has_after_an_outage_is_known_within_the_grace() {
    let (s, relay) = behind_a_relay().await;
    let there = s.discovery.proxy_config(Value::Null)["discovery"]
        .as_str()
        .and_then(|a| a.parse().ok())
        .expect("set");
    let nobody = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    relay.set_target(nobody.local_addr().expect("bound"));
    // The pauses have grown to their longest after 3 s.
    let (begun, mut last, mut longest) = (Instant::now(), Instant::now(), Duration::ZERO);
    while begun.elapsed() < Duration::from_secs(5) {
        drop(within_deadline(nobody.accept()).await.expect("a call"));
        longest = longest.max(last.elapsed());
        last = Instant::now();
    }
    assert!(longest < GRACE, "it was not asked for {longest:?}");
    let news = s.discovery.publish(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]);
    let back = Instant::now();
    relay.set_target(there);
    news.await;
    assert!(back.elapsed() < GRACE, "known only {:?} after the agent was back", back.elapsed());
}

/// It counts from a new process's first moment too, whatever old list the process was started with.
#[tokio::test]
async fn a_new_process_knows_what_the_agent_has_within_the_grace() {
    let mut s = start_fixture(settings()).await;
    s.discovery.publish(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]).await;
    let mut config = s.discovery.proxy_config(settings());
    config["known"] = json!({"seq": 1, "whole": true, "hosts": [s.a.endpoint_entry("SERVING")]});
    // Even where the first answer is spoilt.
    s.discovery.truncate_next_responses(1);
    s.proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    sleep(GRACE).await;
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
}

/// Where the list must be asked for, a call without an answer is given up and made anew as well.
#[tokio::test]
async fn a_poll_that_falls_silent_is_made_anew_before_its_news_counts_as_told() {
    let mut asking = settings();
    asking["discovery"] = "subscribe".into();
    asking["guarantees"]["askWithin"] = json!(10_000.0);
    let s = start_fixture(asking).await;
    s.discovery.stall_watches();
    let changed = Instant::now();
    s.discovery.publish(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]).await;
    assert!(changed.elapsed() < Duration::from_secs(6), "told after {:?}", changed.elapsed());
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
}

/// Three backends in four start at once, and many proxies hear of it. What these send one of them together in any time
/// that the settings name stays under N + 3 roots of N + 3, N being what they allow it then.
#[test]
fn a_thin_fleet_does_not_push_cold_backends_over() {
    const BACKENDS: u32 = 20;
    const WARM: u32 = 5;
    const COPIES: u32 = 40;
    const START: f64 = 5000.0;
    let mut sends = vec![Vec::new(); BACKENDS as usize + 1];
    for copy in 0..COPIES {
        let mut s = common::settings(COPIES, vec![common::class(2000.0, 1.0, Idempotency::Idempotent)]);
        s.instance_index = copy;
        let mut p = common::Proxy::new(s, u64::from(copy), common::entries(BACKENDS));
        // Twenty requests a second, each at the copy's own time in the 50 ms, answered after 400 ms.
        p.advance(p.now + 50.0 * f64::from(copy) / f64::from(COPIES));
        while p.now < START + 4000.0 {
            if (START..START + 50.0).contains(&p.now) {
                let cold = |b| Entry { started_at_ms: START, ..common::entry(b) };
                p.list(ListKind::Delta, (WARM + 1..=BACKENDS).map(cold).collect());
            }
            p.request(0, 0, 1e5);
            p.advance(p.now + 50.0);
            let over = p.now - 400.0;
            for (id, attempt, s) in p.in_flight().into_iter().filter(|(.., s)| s.sent_at <= over) {
                sends[s.backend as usize].push(s.sent_at - START);
                p.resolve(id, attempt, Outcome::Ok);
            }
            p.drop_finished();
        }
    }
    // Nobody was crowded before: a warm backend bears at least its even part of this rate.
    let warm = f64::from(COPIES) * 20.0 / f64::from(BACKENDS);
    for sends in &sends[WARM as usize + 1..] {
        let after = sends.iter().filter(|at| **at >= 50.0).count();
        assert!(after as f64 > warm / 4.0, "{after} sends in 4 s: it is hardly used");
        for from in (50..3000).step_by(20).map(f64::from) {
            let got = sends.iter().filter(|t| (from..from + 1000.0).contains(*t)).count() as f64;
            let n = 3.0 * (0.12 + 0.88 * from / 20_000.0) * warm;
            assert!(got <= n + 3.0 * n.sqrt() + 3.0, "{got} sends from {from} ms on, N is {n:.1}");
        }
    }
}
