//! Resources of an attempt at a backend: its slot, its connection and its response. Each is released exactly once,
//! however the attempt ends.

mod rig;
mod scripted;
mod waits;

use http_body_util::{BodyExt, Full};
use rig::{
    ProxyProcess, TestClient, TestDiscovery, connect, endpoint_entry, request, settings,
    unresponsive_listener, wait_for_connecting, with_cap, within_deadline,
};
use scripted::{ConnectionEnd, Script, ScriptedResponse, ok_response, start_scripted};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Barrier, Notify};
use tokio::time::timeout;

/// Concurrent connections to backends that the descriptor limit allows the proxy.
const SLOTS: usize = 8;
/// Concurrent requests that a new proxy sends to one backend.
const CONCURRENT: usize = 2;

async fn wait_until_not_connecting(addr: SocketAddr) {
    while timeout(Duration::ZERO, wait_for_connecting(addr)).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// More attempts than there are slots are abandoned while they connect, wait and read: afterwards every slot is free.
#[tokio::test]
async fn an_abandoned_attempt_releases_its_slot() {
    let (unresponsive, _queued) = unresponsive_listener().await;
    let script = Arc::new(Script::default());
    let (c, a) = (unresponsive.local_addr().expect("listener is bound"), script.start_backend().await);
    let discovery = TestDiscovery::start(vec![endpoint_entry("c", c, "SERVING")]).await;
    let mut config = discovery.proxy_config(with_cap("mayDuplicate", false.into()));
    config["limits"]["sockets"] = (48 + 2 * SLOTS).into();
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_synced().await;
    for _ in 0..=SLOTS {
        let mut client = proxy.connect_client().await;
        let call = tokio::spawn(async move { client.call("look").await });
        within_deadline(wait_for_connecting(c)).await;
        call.abort();
        let _ = call.await;
        within_deadline(wait_until_not_connecting(c)).await;
    }
    discovery.publish(vec![endpoint_entry("c", c, "DRAINING"), endpoint_entry("a", a, "SERVING")]).await;
    let never_released = Arc::new(Notify::new());
    for n in 0..=SLOTS {
        for sent in ["", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"] {
            let sent_before = script.request_connections().len();
            script.enqueue([
                ScriptedResponse::raw(sent, ConnectionEnd::KeepOpen).then_write(&never_released, "")
            ]);
            let mut client = proxy.connect_client().await;
            let call = tokio::spawn(async move { client.call("look").await });
            within_deadline(script.requests.subscribe().wait_for(|h| h.len() > sent_before))
                .await
                .expect("channel is open");
            call.abort();
            let _ = call.await;
            assert_eq!(
                script.request_connections().len(),
                sent_before + 1,
                "{n}: an abandoned request was retried"
            );
        }
    }
    // No response is sent before all concurrent requests have arrived.
    let release = Arc::new(Notify::new());
    let sent_before = script.request_connections().len();
    let delayed = |n: usize| ScriptedResponse {
        read_len: None,
        writes: vec![(Some(release.clone()), ok_response(&n.to_string()).into())],
        repeat: None,
        end: ConnectionEnd::KeepOpen,
    };
    script.enqueue((0..CONCURRENT).map(delayed));
    let barrier = Arc::new(Barrier::new(CONCURRENT));
    let mut calls = Vec::new();
    for _ in 0..CONCURRENT {
        let (addr, barrier) = (proxy.addr, barrier.clone());
        calls.push(tokio::spawn(async move {
            barrier.wait().await;
            // Slots may be released a moment after the clients disconnected; while they are scarce, no client
            // connection is kept.
            loop {
                if let (200, body) = TestClient(connect(addr).await).call("look").await {
                    return body;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }));
    }
    script.wait_for_requests(sent_before + CONCURRENT).await;
    (0..CONCURRENT).for_each(|_| release.notify_one());
    let mut bodies = Vec::new();
    for call in calls {
        // Each notification releases one task that waits by then.
        release.notify_one();
        bodies.push(within_deadline(call).await.expect("task completed"));
    }
    bodies.sort();
    assert_eq!(bodies, (0..CONCURRENT).map(|n| n.to_string()).collect::<Vec<_>>());
}

/// A backend is restarted under its address while an attempt is in flight: the response counts, but the connection
/// belongs to the old process and is not reused.
#[tokio::test]
async fn a_connection_to_a_replaced_process_is_not_reused() {
    let s = start_scripted(settings()).await;
    let release = Arc::new(Notify::new());
    s.script.enqueue([ScriptedResponse {
        read_len: None,
        writes: vec![(Some(release.clone()), ok_response("old").into())],
        repeat: None,
        end: ConnectionEnd::KeepOpen,
    }]);
    let mut client = s.proxy.connect_client().await;
    let pending = tokio::spawn(async move { client.call("once").await });
    s.script.wait_for_requests(1).await;
    let restarted = s.backends.map(|addr| {
        let mut line = endpoint_entry(if addr == s.backends[0] { "a" } else { "b" }, addr, "SERVING");
        line["born_ms"] = 1.0.into();
        line
    });
    s.discovery.publish(restarted.to_vec()).await;
    assert_eq!(s.proxy.call("once").await, (200, "served".into()));
    release.notify_one();
    assert_eq!(within_deadline(pending).await.expect("task completed"), (200, "old".into()));
    s.script.wait_for_close(0).await;
    for _ in 0..10 {
        assert_eq!(s.proxy.call("once").await, (200, "served".into()));
    }
    assert_eq!(s.script.request_connections().iter().filter(|n| **n == 0).count(), 1);
}

/// Responses arrive shortly before or after their timeout: each client gets exactly one response, its own, and a late
/// response goes to no client.
#[tokio::test]
async fn a_response_that_races_with_its_timeout_is_delivered_at_most_once() {
    let s = start_scripted(settings()).await;
    let mut sender = connect(s.proxy.addr).await;
    let mut late = 0;
    for n in 0..30_u64 {
        let (release, own) = (Arc::new(Notify::new()), format!("own{n}"));
        let sent_before = s.script.request_connections().len();
        let writes = vec![(Some(release.clone()), ok_response(&own).into())];
        s.script.enqueue([ScriptedResponse {
            read_len: None,
            writes,
            repeat: None,
            end: ConnectionEnd::KeepOpen,
        }]);
        let call = request("once").body(Full::default()).expect("valid request");
        let (mut head, body) = call.into_parts();
        head.headers.insert("req-deadline-ms", 250.into());
        within_deadline(sender.ready()).await.expect("connection is open");
        let mut response = pin!(sender.send_request(hyper::Request::from_parts(head, body)));
        let respond = async {
            s.script.wait_for_requests(sent_before + 1).await;
            // The proxy gives up after some 225 ms.
            tokio::time::sleep(Duration::from_millis(210 + n)).await;
            release.notify_one();
        };
        let response = tokio::select! {
            response = &mut response => response,
            () = respond => within_deadline(response).await,
        };
        release.notify_one();
        s.script.clear();
        let response = response.expect("a response");
        let status = response.status().as_u16();
        let body = within_deadline(response.into_body().collect()).await.expect("a complete body").to_bytes();
        let sent = s.script.request_connections().len() - sent_before;
        match status {
            200 => assert_eq!((body, sent), (own.into(), 1)),
            503 => assert_eq!(sent, 0, "a request that may have run was rejected"),
            _ => assert!((500..600).contains(&status) && sent <= 1, "{status}, sent {sent} times"),
        }
        late += usize::from(status != 200);
    }
    assert!(late > 0, "no response was late");
}
