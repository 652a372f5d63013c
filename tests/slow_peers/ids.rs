//! Requests whose client left: they are not sent on afterwards, and an id that may have run is not run again.

use crate::rig::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Time after a client's close from which no attempt for it may begin.
const LEAVE_GRACE: Duration = Duration::from_millis(100);

async fn start() -> (ProxyFixture, serde_json::Value) {
    let mut config = serde_json::Value::Null;
    let s = start_fixture_with(settings(), |with_ops| {
        with_ops["ops"] = "127.0.0.1:0".into();
        config = with_ops.clone();
    })
    .await;
    config["listen"] = s.proxy.addr.to_string().into();
    (s, config)
}

fn request_text(class: &str, id: &str) -> String {
    let (method, fields) = match class {
        "look" => ("GET", ""),
        "keep" => ("POST", "Content-Length: 2\r\nIdempotency-Key: 5c0f6e1a\r\n"),
        _ => ("POST", "Content-Length: 2\r\n"),
    };
    let body = if class == "look" { "" } else { "ab" };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 20000\r\n\
         {fields}\r\n{body}"
    )
}

async fn send(addr: SocketAddr, text: &str) -> TcpStream {
    let mut stream = within_deadline(TcpStream::connect(addr)).await.expect("proxy accepts connections");
    stream.write_all(text.as_bytes()).await.expect("connection is open");
    stream
}

async fn status(stream: &mut TcpStream) -> String {
    let mut start = [0; 12];
    within_deadline(stream.read_exact(&mut start)).await.expect("an answer");
    String::from_utf8_lossy(&start[9..]).to_string()
}

/// Returns how often each id reached a backend.
fn runs(s: &ProxyFixture) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for (_, head, _) in s.control.requests.borrow().iter() {
        *runs.entry(head.headers["req-id"].to_str().expect("UTF-8 text").to_string()).or_default() += 1;
    }
    runs
}

/// How the first request with an id ends.
#[derive(Clone, Copy, Debug)]
enum First {
    /// Its client leaves while the backend has it.
    ClientLeaves,
    /// Its client leaves by a reset.
    ClientResets,
    /// It is served.
    Served,
    /// The backend closes its connection without an answer.
    BackendCloses,
}
use First::*;

async fn send_first(s: &ProxyFixture, first: First, text: &str) {
    let release = Arc::new(Notify::new());
    s.control.enqueue([match first {
        ClientLeaves | ClientResets => BackendAction::ServeAfter(release.clone()),
        Served => BackendAction::Serve,
        BackendCloses => BackendAction::CloseConnection,
    }]);
    let mut stream = send(s.proxy.addr, text).await;
    s.control.wait_for_requests(1).await;
    match first {
        ClientLeaves => {}
        ClientResets => stream.set_zero_linger().expect("connection is open"),
        Served => assert_eq!(status(&mut stream).await, "200"),
        BackendCloses => assert_eq!(status(&mut stream).await, "502"),
    }
    drop(stream);
    sleep(LEAVE_GRACE).await;
    s.control.clear();
}

/// An id ran twice when it came again after its client had left, or at the other process of an upgrade.
#[rstest]
#[tokio::test]
async fn an_id_that_may_have_run_is_not_run_again(
    #[values(ClientLeaves, ClientResets, Served, BackendCloses)] first: First,
    #[values("once", "keep")] class: &str,
    #[values(false, true)] at_the_other_process: bool,
) {
    // A keyed request is tried again by the proxy itself.
    if class == "keep" && matches!(first, BackendCloses) {
        return;
    }
    let (mut s, config) = start().await;
    let text = request_text(class, "same-id");
    send_first(&s, first, &text).await;
    if at_the_other_process {
        let next = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
        s.discovery.wait_until_synced().await;
        let mut old = std::mem::replace(&mut s.proxy, next);
        old.terminate().await;
        old.kill().await;
    }
    let mut again = send(s.proxy.addr, &text).await;
    let answered = status(&mut again).await;
    assert_eq!(runs(&s)["same-id"], 1, "{answered}");
    assert!(
        !["200", "429", "503"].contains(&answered.as_str()),
        "{answered} says that it ran or has no effect"
    );
}

/// The other side: what was never sent on is served when it comes again, and so is what may run twice.
#[rstest]
#[case::refused_for_want_of_backends("once", true)]
#[case::left_before_its_last_byte("once", false)]
#[tokio::test]
async fn an_id_that_was_never_sent_on_is_served(#[case] class: &str, #[case] without_backends: bool) {
    let (s, _) = start().await;
    let text = request_text(class, "same-id");
    if without_backends {
        let backends = vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("DRAINING")];
        s.discovery.publish(backends).await;
        let mut first = send(s.proxy.addr, &text).await;
        sleep(LEAVE_GRACE).await;
        first.shutdown().await.expect("connection is open");
        let _ = within_deadline(first.read(&mut [0; 64])).await;
        s.discovery.publish(vec![s.a.endpoint_entry("SERVING"), s.b.endpoint_entry("SERVING")]).await;
    } else {
        drop(send(s.proxy.addr, &text[..text.len() - 1]).await);
    }
    let mut again = send(s.proxy.addr, &text).await;
    assert_eq!(status(&mut again).await, "200");
    assert_eq!(runs(&s)["same-id"], 1);
    let mut other = send(s.proxy.addr, &request_text("look", "read")).await;
    assert_eq!(status(&mut other).await, "200");
    let mut repeated = send(s.proxy.addr, &request_text("look", "read")).await;
    assert_eq!(status(&mut repeated).await, "200", "an idempotent request may run again");
}

/// A client closed its connection with much still unread, and its requests were sent on afterwards.
#[rstest]
#[tokio::test]
async fn nothing_is_sent_on_for_a_client_that_left_with_much_unread(
    #[values("once", "look")] class: &str,
    #[values(3, 200, 20_000)] pipelined: usize,
    #[values(true, false)] first_waits: bool,
    #[values(true, false)] reset: bool,
) {
    let (s, _) = start().await;
    let release = Arc::new(Notify::new());
    if first_waits {
        s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    }
    let texts: String = (0..pipelined).map(|n| request_text(class, &format!("id{n}"))).collect();
    let mut stream = TcpStream::connect(s.proxy.addr).await.expect("proxy accepts connections");
    // More than the buffers hold is not written.
    let _ = tokio::time::timeout(Duration::from_millis(300), stream.write_all(texts.as_bytes())).await;
    if reset {
        stream.set_zero_linger().expect("connection is open");
    }
    drop(stream);
    sleep(LEAVE_GRACE).await;
    let before = s.control.requests.borrow().len();
    release.notify_one();
    sleep(5 * LEAVE_GRACE).await;
    let after = s.control.requests.borrow().len();
    assert_eq!(after, before, "requests were sent on after their client had left");
}
