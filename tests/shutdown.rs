//! Shutdown: requests that arrive between SIGTERM and SIGKILL are answered; each race is forced. `tests/startup.rs`
//! covers the startup of the next process.

mod rig;
mod waits;

use http_body_util::Full;
use hyper::Request;
use rig::*;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Minimum time between the longest client deadline and SIGKILL that the protocol guarantees.
const KILL_DELAY: Duration = Duration::from_millis(700);

/// Settings with a give-up time of `longest` for every class.
fn settings_with_give_up(longest: Duration) -> Value {
    let mut s = settings();
    for class in s["classes"].as_array_mut().expect("an array of classes") {
        class["giveUp"] = json!(longest.as_millis() as f64);
    }
    s
}

fn request_with_deadline(class: &str, deadline: Duration) -> Request<Full<bytes::Bytes>> {
    let mut call = request(class).body(Full::default()).expect("valid request");
    let deadline_ms = deadline.as_millis().to_string();
    call.headers_mut().insert("req-deadline-ms", deadline_ms.parse().expect("a valid header value"));
    call
}

/// Request in wire format; its last byte is part of the head (`GET`) or of the body.
fn request_text(class: &str, id: &str) -> String {
    let (method, body, length) = match class {
        "look" => ("GET", "", ""),
        _ => ("POST", "claim", "Content-Length: 5\r\n"),
    };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 60000\r\n{length}\r\n{body}"
    )
}

/// Reads from a connection until it is closed.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut response = String::new();
    within_deadline(stream.read_to_string(&mut response)).await.expect("connection closed without a reset");
    response
}

/// Waits until the proxy closes the idle connection.
async fn wait_until_closed(client: &mut TestClient) {
    within_deadline(async {
        while client.0.ready().await.is_ok() {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

/// SIGTERM during startup ends the process before it listens for clients.
#[tokio::test]
async fn sigterm_during_startup_ends_the_process_before_it_listens() {
    let discovery = TestDiscovery::start(Vec::new()).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut config = discovery.proxy_config(settings());
    config["discovery"] = silent.local_addr().expect("listener is bound").to_string().into();
    config["ops"] = "127.0.0.1:0".into();
    let mut proxy = ProxyProcess::spawn(&config, "exec \"$0\"");
    proxy.ops = Some(proxy.wait_for_address("ops on ").await);
    // The process has called discovery and waits for its first endpoint list.
    let (_discovery_call, _) = within_deadline(silent.accept()).await.expect("a call to discovery");
    proxy.send_signal("-TERM");
    assert_eq!(proxy.wait_for_exit().await.code(), Some(0));
    let log = proxy.remaining_log().await;
    assert!(!log.iter().any(|line| line.contains("listening on")), "{log:?}");
}

/// Only the first SIGTERM counts, and a reload during shutdown ends no request.
#[tokio::test]
async fn further_signals_during_shutdown_change_nothing() {
    let mut s = start_fixture(settings()).await;
    let release = Arc::new(Notify::new());
    s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    let mut busy = s.proxy.connect_client().await;
    let pending = tokio::spawn(async move { busy.call("once").await });
    s.control.wait_for_requests(1).await;
    let mut idle = s.proxy.connect_client().await;
    s.proxy.terminate().await;
    s.proxy.send_signal("-TERM");
    let moved =
        TestDiscovery::start(vec![s.a.endpoint_entry("SERVING"), s.b.endpoint_entry("SERVING")]).await;
    s.proxy.reload(&moved.proxy_config(settings()).to_string(), "reloaded").await;
    moved.wait_until_synced().await;
    s.proxy.reload("{", "not reloaded").await;
    assert_eq!(idle.call("look").await.0, 200);
    release.notify_one();
    assert_eq!(pending.await.expect("task completed").0, 200);
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}

/// The last byte of each request arrives only after idle connections were closed: of the first head on a connection, of
/// a body, and of the body of a later request.
#[tokio::test]
async fn a_request_whose_last_byte_arrives_late_in_a_shutdown_is_answered() {
    let mut s = start_fixture(settings()).await;
    let mut idle = s.proxy.connect_client().await;
    assert_eq!(idle.call("look").await.0, 200);
    let mut partial_requests = Vec::new();
    for (class, used) in [("look", false), ("once", false), ("keep", true), ("once", true)] {
        let id = format!("late-{class}-{used}");
        let mut stream = TcpStream::connect(s.proxy.addr).await.expect("proxy accepts a connection");
        if used {
            stream
                .write_all(request_text("look", &format!("first-{class}")).as_bytes())
                .await
                .expect("connection is open");
            let mut response = [0; 16];
            within_deadline(stream.read_exact(&mut response)).await.expect("a response");
            assert!(response.starts_with(b"HTTP/1.1 200"));
        }
        let mut text = request_text(class, &id);
        if class == "keep" {
            text = text.replacen("Host", "Idempotency-Key: k1\r\nHost", 1);
        }
        let last = text.pop().expect("non-empty text");
        stream.write_all(text.as_bytes()).await.expect("connection is open");
        partial_requests.push((stream, last, id));
    }
    // The heads were read before SIGTERM: these responses come on connections that were accepted after them.
    for _ in 0..3 {
        assert_eq!(s.proxy.call("look").await.0, 200);
    }
    s.proxy.terminate().await;
    wait_until_closed(&mut idle).await;
    for (mut stream, last, id) in partial_requests {
        stream.write_all(&[last as u8]).await.expect("connection is open");
        let response = read_to_end(stream).await;
        assert!(
            response.contains("HTTP/1.1 200") && response.contains("connection: close"),
            "{id}: {response}"
        );
        let seen = s.control.requests.borrow();
        assert_eq!(seen.iter().filter(|(_, head, _)| head.headers["req-id"] == *id).count(), 1);
    }
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}

/// The process is suspended while connections arrive, until its listener is due to close: the accept queue holds them.
#[tokio::test]
async fn requests_in_the_accept_queue_as_the_listener_closes_are_answered() {
    let mut s = start_fixture(settings()).await;
    s.proxy.terminate().await;
    s.proxy.send_signal("-STOP");
    let mut waiting = Vec::new();
    for n in 0..20 {
        let mut stream = TcpStream::connect(s.proxy.addr).await.expect("accept queue has space");
        stream
            .write_all(request_text("once", &format!("queued{n}")).as_bytes())
            .await
            .expect("connection is open");
        waiting.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    s.proxy.send_signal("-CONT");
    let mut served = 0;
    for stream in waiting {
        // They arrive at once, and a new process admits no more than twice as many requests as it has backends.
        let response = read_to_end(stream).await;
        assert!(["HTTP/1.1 200", "HTTP/1.1 503"].contains(&&response[..12]), "{response}");
        assert!(response.contains("connection: close"), "{response}");
        served += usize::from(response.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
    assert!(served >= 4 && s.control.requests.borrow().len() == served, "{served} served");
}

/// A request that arrives after the last response is due has no time left: it is rejected without an attempt, so that a
/// retry by the client is safe. (The unit tests of the proxy check on a paused clock that this precedes SIGKILL.)
#[tokio::test]
async fn a_request_after_the_shutdown_deadline_is_rejected_and_reaches_no_backend() {
    let longest = Duration::from_millis(300);
    let mut s = start_fixture(settings_with_give_up(longest)).await;
    // Both backends have an idle connection, on which a request would be sent at once.
    let holds = [(); 2].map(|()| Arc::new(Notify::new()));
    s.control.enqueue(holds.each_ref().map(|release| BackendAction::ServeAfter(release.clone())));
    let both: Vec<_> = (0..2)
        .map(|_| {
            let addr = s.proxy.addr;
            tokio::spawn(async move { TestClient(connect(addr).await).call("look").await.0 })
        })
        .collect();
    s.control.wait_for_requests(2).await;
    holds.iter().for_each(|release| release.notify_one());
    for call in both {
        assert_eq!(call.await.expect("task completed"), 200);
    }
    s.control.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
    let (mut busy, mut late_clients) = (s.proxy.connect_client().await, Vec::new());
    let pending = tokio::spawn(async move { busy.call("once").await.0 });
    s.control.wait_for_requests(3).await;
    for _ in 0..3 {
        late_clients.push(s.proxy.connect_client().await);
    }
    s.proxy.terminate().await;
    assert_eq!(
        pending.await.expect("task completed"),
        504,
        "the shutdown deadline ends a request that a silent backend has"
    );
    let mut answers = Vec::new();
    for (client, class) in late_clients.iter_mut().zip(["look", "keep", "once"]) {
        answers.push(client.send(request_with_deadline(class, longest)).await.0);
    }
    drop(late_clients);
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
    s.a.wait_all_closed().await;
    s.b.wait_all_closed().await;
    assert_eq!(s.control.requests.borrow().len(), 3, "a request was sent after the shutdown deadline");
    assert_eq!(answers, [503; 3]);
}

/// Half of the responses stall, and clients send on every open connection up to SIGKILL: each request is answered. (The
/// unit tests of the proxy check on a paused clock that this precedes SIGKILL.)
#[tokio::test]
async fn with_short_deadlines_and_stalled_backends_every_request_is_answered() {
    let longest = Duration::from_millis(300);
    let mut s = start_fixture(settings_with_give_up(longest)).await;
    let kill_after = longest + KILL_DELAY;
    let never_released = Arc::new(Notify::new());
    for _ in 0..200 {
        s.control.enqueue([BackendAction::Serve, BackendAction::ServeAfter(never_released.clone())]);
    }
    let mut clients = Vec::new();
    for _ in 0..8 {
        clients.push(s.proxy.connect_client().await);
    }
    s.proxy.terminate().await;
    let stopped = Instant::now();
    let sending: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(n, mut client)| {
            let class = ["look", "keep", "once"][n % 3];
            tokio::spawn(async move {
                // Spread over the whole time: the first ones at once, the last ones when no time is left.
                tokio::time::sleep_until((stopped + kill_after * n as u32 / 9).into()).await;
                (class, client.send(request_with_deadline(class, longest)).await.0)
            })
        })
        .collect();
    for sent in sending {
        let (class, status) = sent.await.expect("a response on every open connection");
        assert!([200, 502, 503, 504].contains(&status), "{class}: {status}");
    }
    // The process ends by itself once no response is due.
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}
