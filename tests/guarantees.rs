//! Guarantees of the standing test that need no benchmark: requests after SIGTERM, the time to apply endpoint
//! changes, and the load that a whole fleet sends a cold backend. `docs/incidents/standing.md` lists them.

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

/// `stopSendingWithin` of the rig's settings plus the protocol's slack on every limit.
const GRACE: Duration = Duration::from_millis(550);

/// Sends a request if the connection is still open. A close between requests may race with it; the request must then
/// not have reached a backend.
async fn send_if_open(
    s: &ProxyFixture,
    client: &mut TestClient,
    class: &str,
    deadline: Duration,
) -> Option<u16> {
    let (mut head, body) = request(class).body(Full::default()).expect("valid request").into_parts();
    let deadline_ms = deadline.as_millis().to_string();
    head.headers.insert("req-deadline-ms", deadline_ms.parse().expect("a valid header value"));
    let id = head.headers["req-id"].clone();
    within_deadline(client.0.ready()).await.ok()?;
    match within_deadline(client.0.send_request(hyper::Request::from_parts(head, body))).await {
        Ok(response) => {
            let status = response.status().as_u16();
            within_deadline(response.into_body().collect()).await.expect("a complete body");
            Some(status)
        }
        Err(_) => {
            let seen = s.control.requests.borrow();
            assert!(
                seen.iter().all(|(_, head, _)| head.headers["req-id"] != id),
                "a request reached a backend and was not answered"
            );
            None
        }
    }
}

/// Clients send on open connections, used and unused ones, up to SIGKILL 3.7 s after SIGTERM: every request is answered
/// before that.
#[tokio::test]
async fn after_sigterm_every_open_connection_is_answered_until_sigkill() {
    let mut s = start_fixture(settings()).await;
    let mut clients = Vec::new();
    for _ in 0..2 {
        let mut used = s.proxy.connect_client().await;
        assert_eq!(used.call("once").await.0, 200);
        clients.push((used, Duration::ZERO));
    }
    for wait in [0, 300, 900, 1500] {
        clients.push((s.proxy.connect_client().await, Duration::from_millis(wait)));
    }
    let mut late = s.proxy.connect_client().await;
    s.proxy.terminate().await;
    let stopped = tokio::time::Instant::now();
    let mut answered = Vec::new();
    for (mut client, wait) in clients {
        sleep_until(stopped + wait).await;
        let mut last = None;
        while let Some(status) = send_if_open(&s, &mut client, "once", Duration::from_secs(4)).await {
            last = Some(status);
        }
        answered.push(last);
    }
    assert_eq!(answered, [Some(200); 6], "the last response on each connection");
    s.control.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
    let status = send_if_open(&s, &mut late, "once", Duration::from_secs(4)).await;
    assert!(
        status.is_some_and(|status| status >= 500 && status != 503),
        "{status:?}: the request may have run"
    );
    assert!(stopped.elapsed() < Duration::from_millis(3700), "answered only {:?} on", stopped.elapsed());
}

/// With a shorter give-up time SIGKILL comes sooner: 0.7 s after the longest client deadline.
#[tokio::test]
async fn with_a_short_give_up_time_a_late_request_is_answered_before_the_earlier_sigkill() {
    let mut short = settings();
    for class in short["classes"].as_array_mut().expect("an array of classes") {
        class["giveUp"] = json!(1000.0);
    }
    let mut s = start_fixture(short).await;
    let mut late = s.proxy.connect_client().await;
    s.proxy.terminate().await;
    let stopped = Instant::now();
    sleep(Duration::from_millis(900)).await;
    s.control.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
    let status = send_if_open(&s, &mut late, "once", Duration::from_secs(1)).await;
    assert!(
        status.is_some_and(|status| status >= 500 && status != 503),
        "{status:?}: the request may have run"
    );
    assert!(stopped.elapsed() < Duration::from_millis(1700), "answered only {:?} on", stopped.elapsed());
}

/// Starts a proxy that calls discovery through a relay, which can make discovery unavailable.
async fn start_behind_relay() -> (ProxyFixture, Relay) {
    let mut s = start_fixture(settings()).await;
    let mut config = s.discovery.proxy_config(settings());
    let relay = Relay::start(
        config["discovery"].as_str().and_then(|a| a.parse().ok()).expect("a configured discovery address"),
    )
    .await;
    config["discovery"] = relay.address.to_string().into();
    s.proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    // The earlier version may have been polled only by the replaced proxy.
    s.discovery.publish(vec![s.a.endpoint_entry("SERVING"), s.b.endpoint_entry("SERVING")]).await;
    (s, relay)
}

/// The grace period starts when the agent has a list, even after an outage: an agent that is back is called at once.
#[tokio::test]
async fn the_list_of_an_agent_after_an_outage_is_applied_within_the_grace_period() {
    let (s, relay) = start_behind_relay().await;
    let discovery_addr = s.discovery.proxy_config(Value::Null)["discovery"]
        .as_str()
        .and_then(|a| a.parse().ok())
        .expect("a configured discovery address");
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    relay.set_target(unresponsive.local_addr().expect("listener is bound"));
    // The pauses between calls reach their maximum after 3 s.
    let (started, mut last, mut longest) = (Instant::now(), Instant::now(), Duration::ZERO);
    while started.elapsed() < Duration::from_secs(5) {
        drop(within_deadline(unresponsive.accept()).await.expect("a call to discovery"));
        longest = longest.max(last.elapsed());
        last = Instant::now();
    }
    assert!(longest < GRACE, "discovery was not called for {longest:?}");
    let publication =
        s.discovery.publish(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]);
    let reachable = Instant::now();
    relay.set_target(discovery_addr);
    publication.await;
    assert!(
        reachable.elapsed() < GRACE,
        "applied only {:?} after the agent was reachable",
        reachable.elapsed()
    );
}

/// For a new process the grace period starts with the process, whatever old list it was started with.
#[tokio::test]
async fn a_new_process_applies_the_list_of_the_agent_within_the_grace_period() {
    let mut s = start_fixture(settings()).await;
    s.discovery.publish(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]).await;
    let mut config = s.discovery.proxy_config(settings());
    config["known"] = json!({"seq": 1, "whole": true, "hosts": [s.a.endpoint_entry("SERVING")]});
    // The first response is truncated.
    s.discovery.truncate_next_responses(1);
    s.proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    sleep(GRACE).await;
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
}

/// A poll without a response is abandoned and repeated.
#[tokio::test]
async fn a_stalled_poll_is_repeated_within_the_propagation_limit() {
    let mut polling = settings();
    polling["discovery"] = "subscribe".into();
    polling["guarantees"]["askWithin"] = json!(10_000.0);
    let s = start_fixture(polling).await;
    s.discovery.stall_watches();
    let changed = Instant::now();
    s.discovery.publish(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]).await;
    assert!(changed.elapsed() < Duration::from_secs(6), "applied after {:?}", changed.elapsed());
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
}

/// Three in four backends start at once, and many proxies learn of it. What all proxies together send one of them in
/// any window of the settings stays under N + 3 sqrt(N) + 3, where N is what the settings allow at that time.
#[test]
fn a_fleet_of_mostly_cold_backends_does_not_overload_them() {
    const BACKENDS: u32 = 20;
    const WARM: u32 = 5;
    const INSTANCES: u32 = 40;
    const START: f64 = 5000.0;
    let mut sends = vec![Vec::new(); BACKENDS as usize + 1];
    for instance in 0..INSTANCES {
        let mut s = common::settings(INSTANCES, vec![common::class(2000.0, 1.0, Idempotency::Idempotent)]);
        s.instance_index = instance;
        let mut p = common::Proxy::new(s, u64::from(instance), common::entries(BACKENDS));
        // Twenty requests a second, each instance with its own offset in the 50 ms, answered after 400 ms.
        p.advance(p.now + 50.0 * f64::from(instance) / f64::from(INSTANCES));
        while p.now < START + 4000.0 {
            if (START..START + 50.0).contains(&p.now) {
                let cold = |b| Entry { started_at_ms: START, ..common::entry(b) };
                p.list(ListKind::Delta, (WARM + 1..=BACKENDS).map(cold).collect());
            }
            p.request(0, 0, 1e5);
            p.advance(p.now + 50.0);
            let sent_before = p.now - 400.0;
            for (id, attempt, s) in p.in_flight().into_iter().filter(|(.., s)| s.sent_at <= sent_before) {
                sends[s.backend as usize].push(s.sent_at - START);
                p.resolve(id, attempt, Outcome::Ok);
            }
            p.drop_finished();
        }
    }
    // No backend was overloaded before: a warm backend serves at least an even share of this rate.
    let warm = f64::from(INSTANCES) * 20.0 / f64::from(BACKENDS);
    for sends in &sends[WARM as usize + 1..] {
        let after = sends.iter().filter(|at| **at >= 50.0).count();
        assert!(after as f64 > warm / 4.0, "{after} sends in 4 s: the cold backend is hardly used");
        for from in (50..3000).step_by(20).map(f64::from) {
            let got = sends.iter().filter(|t| (from..from + 1000.0).contains(*t)).count() as f64;
            let n = 3.0 * (0.12 + 0.88 * from / 20_000.0) * warm;
            assert!(got <= n + 3.0 * n.sqrt() + 3.0, "{got} sends from {from} ms on, N is {n:.1}");
        }
    }
}
