//! What an attempt holds at a backend: its place, its connection, its answer. Whatever ends it, each is given back once.

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

/// Connections to backends that the proxy may have at once, by its descriptors.
const PLACES: usize = 8;
/// So many requests a fresh proxy sends to one backend at once.
const TOGETHER: usize = 2;

async fn not_connecting(addr: SocketAddr) {
    while timeout(Duration::ZERO, wait_for_connecting(addr)).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Attempts that are withdrawn while they dial, wait and read, more of each than there are places: afterwards there is one
/// for each that asks.
#[tokio::test]
async fn a_withdrawn_attempt_gives_its_place_back() {
    let (full, _held) = unresponsive_listener().await;
    let script = Arc::new(Script::default());
    let (c, a) = (full.local_addr().expect("bound"), script.start_backend().await);
    let discovery = TestDiscovery::start(vec![endpoint_entry("c", c, "SERVING")]).await;
    let mut config = discovery.proxy_config(with_cap("mayDuplicate", false.into()));
    config["limits"]["sockets"] = (48 + 2 * PLACES).into();
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_synced().await;
    for _ in 0..=PLACES {
        let mut caller = proxy.connect_client().await;
        let call = tokio::spawn(async move { caller.call("look").await });
        within_deadline(wait_for_connecting(c)).await;
        call.abort();
        let _ = call.await;
        within_deadline(not_connecting(c)).await;
    }
    discovery.publish(vec![endpoint_entry("c", c, "DRAINING"), endpoint_entry("a", a, "SERVING")]).await;
    let never = Arc::new(Notify::new());
    for n in 0..=PLACES {
        for said in ["", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"] {
            let heard = script.request_connections().len();
            script.enqueue([ScriptedResponse::raw(said, ConnectionEnd::KeepOpen).then_write(&never, "")]);
            let mut caller = proxy.connect_client().await;
            let call = tokio::spawn(async move { caller.call("look").await });
            within_deadline(script.requests.subscribe().wait_for(|h| h.len() > heard)).await.expect("open");
            call.abort();
            let _ = call.await;
            assert_eq!(script.request_connections().len(), heard + 1, "{n}: sent again for nobody");
        }
    }
    // So many at once, and none is answered before all are there.
    let release = Arc::new(Notify::new());
    let heard = script.request_connections().len();
    let held = |n: usize| ScriptedResponse {
        read_len: None,
        writes: vec![(Some(release.clone()), ok_response(&n.to_string()).into())],
        repeat: None,
        end: ConnectionEnd::KeepOpen,
    };
    script.enqueue((0..TOGETHER).map(held));
    let together = Arc::new(Barrier::new(TOGETHER));
    let mut calls = Vec::new();
    for _ in 0..TOGETHER {
        let (addr, together) = (proxy.addr, together.clone());
        calls.push(tokio::spawn(async move {
            together.wait().await;
            // Places may come free a moment after the callers left; where they are short no caller's is kept.
            loop {
                if let (200, body) = TestClient(connect(addr).await).call("look").await {
                    return body;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }));
    }
    script.wait_for_requests(heard + TOGETHER).await;
    (0..TOGETHER).for_each(|_| release.notify_one());
    let mut bodies = Vec::new();
    for call in calls {
        // Each notice releases one that waits by then.
        release.notify_one();
        bodies.push(within_deadline(call).await.expect("no panic"));
    }
    bodies.sort();
    assert_eq!(bodies, (0..TOGETHER).map(|n| n.to_string()).collect::<Vec<_>>());
}

/// A backend that was started anew under its address while an attempt was out: the answer counts, its connection is the
/// old process's and carries nothing more.
#[tokio::test]
async fn a_connection_to_a_process_that_was_replaced_is_not_kept() {
    let s = start_scripted(settings()).await;
    let release = Arc::new(Notify::new());
    s.script.enqueue([ScriptedResponse {
        read_len: None,
        writes: vec![(Some(release.clone()), ok_response("old").into())],
        repeat: None,
        end: ConnectionEnd::KeepOpen,
    }]);
    let mut caller = s.proxy.connect_client().await;
    let out = tokio::spawn(async move { caller.call("once").await });
    s.script.wait_for_requests(1).await;
    let anew = s.backends.map(|addr| {
        let mut line = endpoint_entry(if addr == s.backends[0] { "a" } else { "b" }, addr, "SERVING");
        line["born_ms"] = 1.0.into();
        line
    });
    s.discovery.publish(anew.to_vec()).await;
    assert_eq!(s.proxy.call("once").await, (200, "served".into()));
    release.notify_one();
    assert_eq!(within_deadline(out).await.expect("no panic"), (200, "old".into()));
    s.script.wait_for_close(0).await;
    for _ in 0..10 {
        assert_eq!(s.proxy.call("once").await, (200, "served".into()));
    }
    assert_eq!(s.script.request_connections().iter().filter(|n| **n == 0).count(), 1);
}

/// Answers that come in the moment of their time-out, a little before or after: each caller has one answer, its own, and a
/// late one is nobody's.
#[tokio::test]
async fn an_answer_in_the_moment_of_its_time_out_is_given_once_or_not_at_all() {
    let s = start_scripted(settings()).await;
    let mut sender = connect(s.proxy.addr).await;
    let mut late = 0;
    for n in 0..30_u64 {
        let (release, own) = (Arc::new(Notify::new()), format!("own{n}"));
        let heard = s.script.request_connections().len();
        let writes = vec![(Some(release.clone()), ok_response(&own).into())];
        s.script.enqueue([ScriptedResponse {
            read_len: None,
            writes,
            repeat: None,
            end: ConnectionEnd::KeepOpen,
        }]);
        let call = request("once").body(Full::default()).expect("well formed");
        let (mut head, body) = call.into_parts();
        head.headers.insert("req-deadline-ms", 250.into());
        within_deadline(sender.ready()).await.expect("open");
        let mut answer = pin!(sender.send_request(hyper::Request::from_parts(head, body)));
        let timed = async {
            s.script.wait_for_requests(heard + 1).await;
            // The proxy gives it up after some 225 ms.
            tokio::time::sleep(Duration::from_millis(210 + n)).await;
            release.notify_one();
        };
        let answer = tokio::select! {
            answer = &mut answer => answer,
            () = timed => within_deadline(answer).await,
        };
        release.notify_one();
        s.script.clear();
        let answer = answer.expect("an answer");
        let status = answer.status().as_u16();
        let body = within_deadline(answer.into_body().collect()).await.expect("a whole one").to_bytes();
        let sent = s.script.request_connections().len() - heard;
        match status {
            200 => assert_eq!((body, sent), (own.into(), 1)),
            503 => assert_eq!(sent, 0, "what may have run is not refused"),
            _ => assert!((500..600).contains(&status) && sent <= 1, "{status}, sent {sent} times"),
        }
        late += usize::from(status != 200);
    }
    assert!(late > 0, "each came in time");
}
