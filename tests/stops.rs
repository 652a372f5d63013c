//! The process ends: what is owed between SIGTERM and the kill, each crossing forced. `tests/restarts.rs` has the
//! starts that follow.

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

/// The protocol's least time between the longest deadline and the kill.
const KILL: Duration = Duration::from_millis(700);

/// Settings under which a client waits so long at most.
fn waiting(longest: Duration) -> Value {
    let mut s = settings();
    for class in s["classes"].as_array_mut().expect("a list") {
        class["giveUp"] = json!(longest.as_millis() as f64);
    }
    s
}

fn call(class: &str, waits: Duration) -> Request<Full<bytes::Bytes>> {
    let mut call = request(class).body(Full::default()).expect("well formed");
    let waits = waits.as_millis().to_string();
    call.headers_mut().insert("req-deadline-ms", waits.parse().expect("a value"));
    call
}

/// A request as its bytes, the last of which is part of its head (`GET`) or of its body.
fn bytes_of(class: &str, id: &str) -> String {
    let (method, body, length) = match class {
        "look" => ("GET", "", ""),
        _ => ("POST", "claim", "Content-Length: 5\r\n"),
    };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 60000\r\n{length}\r\n{body}"
    )
}

/// What a connection still gives, up to its close.
async fn rest_of(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    within_deadline(stream.read_to_string(&mut answer)).await.expect("closed, not reset");
    answer
}

/// Waits until the proxy lets go of connections at rest.
async fn let_go(caller: &mut TestClient) {
    within_deadline(async {
        while caller.0.ready().await.is_ok() {
            tokio::task::yield_now().await;
        }
    })
    .await;
}

/// Nothing was taken before it listened: a start that is told to end ends, and takes no client any more.
#[tokio::test]
async fn a_stop_before_it_listens_ends_the_start_and_nobody_is_taken() {
    let discovery = TestDiscovery::start(Vec::new()).await;
    let mute = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut config = discovery.proxy_config(settings());
    config["discovery"] = mute.local_addr().expect("bound").to_string().into();
    config["ops"] = "127.0.0.1:0".into();
    let mut proxy = ProxyProcess::spawn(&config, "exec \"$0\"");
    proxy.ops = Some(proxy.wait_for_address("ops on ").await);
    // It has asked for its first list and waits for it.
    let (_asked, _) = within_deadline(mute.accept()).await.expect("a call");
    proxy.send_signal("-TERM");
    assert_eq!(proxy.wait_for_exit().await.code(), Some(0));
    let log = proxy.remaining_log().await;
    assert!(!log.iter().any(|line| line.contains("listening on")), "{log:?}");
}

/// The platform may signal as often as it likes: only the first SIGTERM counts, and a reload ends nothing.
#[tokio::test]
async fn further_signals_during_a_stop_change_nothing() {
    let mut s = start_fixture(settings()).await;
    let release = Arc::new(Notify::new());
    s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    let mut busy = s.proxy.connect_client().await;
    let held = tokio::spawn(async move { busy.call("once").await });
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
    assert_eq!(held.await.expect("no panic").0, 200);
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}

/// The last byte of each comes only after connections at rest were let go: of a first head, of a body behind it, and of
/// the body of a later request.
#[tokio::test]
async fn a_request_whose_last_byte_comes_late_in_a_stop_is_answered() {
    let mut s = start_fixture(settings()).await;
    let mut rests = s.proxy.connect_client().await;
    assert_eq!(rests.call("look").await.0, 200);
    let mut halves = Vec::new();
    for (class, used) in [("look", false), ("once", false), ("keep", true), ("once", true)] {
        let id = format!("late-{class}-{used}");
        let mut stream = TcpStream::connect(s.proxy.addr).await.expect("it listens");
        if used {
            stream.write_all(bytes_of("look", &format!("first-{class}")).as_bytes()).await.expect("open");
            let mut answer = [0; 16];
            within_deadline(stream.read_exact(&mut answer)).await.expect("an answer");
            assert!(answer.starts_with(b"HTTP/1.1 200"));
        }
        let mut text = bytes_of(class, &id);
        if class == "keep" {
            text = text.replacen("Host", "Idempotency-Key: k1\r\nHost", 1);
        }
        let last = text.pop().expect("not empty");
        stream.write_all(text.as_bytes()).await.expect("open");
        halves.push((stream, last, id));
    }
    // Those heads were read before the stop: this answer comes on a connection that was taken after them.
    for _ in 0..3 {
        assert_eq!(s.proxy.call("look").await.0, 200);
    }
    s.proxy.terminate().await;
    let_go(&mut rests).await;
    for (mut stream, last, id) in halves {
        stream.write_all(&[last as u8]).await.expect("open");
        let answer = rest_of(stream).await;
        assert!(answer.contains("HTTP/1.1 200") && answer.contains("connection: close"), "{id}: {answer}");
        let seen = s.control.requests.borrow();
        assert_eq!(seen.iter().filter(|(_, head, _)| head.headers["req-id"] == *id).count(), 1);
    }
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}

/// The process stands still while connections come, until it is to take no more: the system's queue holds them.
#[tokio::test]
async fn what_waits_in_the_listeners_queue_as_it_closes_is_answered() {
    let mut s = start_fixture(settings()).await;
    s.proxy.terminate().await;
    s.proxy.send_signal("-STOP");
    let mut waiting = Vec::new();
    for n in 0..20 {
        let mut stream = TcpStream::connect(s.proxy.addr).await.expect("the queue takes it");
        stream.write_all(bytes_of("once", &format!("queued{n}")).as_bytes()).await.expect("open");
        waiting.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    s.proxy.send_signal("-CONT");
    let mut served = 0;
    for stream in waiting {
        // They come at once, and a young process holds no more than twice as many as it has backends.
        let answer = rest_of(stream).await;
        assert!(["HTTP/1.1 200", "HTTP/1.1 503"].contains(&&answer[..12]), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        served += usize::from(answer.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
    assert!(served >= 4 && s.control.requests.borrow().len() == served, "{served} served");
}

/// Whoever comes once all is to be answered has no time left: turned away unsent, since another try is harmless.
/// (And before the kill: `paused::stops`.)
#[tokio::test]
async fn a_request_past_the_last_answer_is_refused_and_reaches_no_backend() {
    let longest = Duration::from_millis(300);
    let mut s = start_fixture(waiting(longest)).await;
    // Both backends have a connection at rest, on which a request would go out at once.
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
        assert_eq!(call.await.expect("no panic"), 200);
    }
    s.control.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
    let (mut busy, mut late) = (s.proxy.connect_client().await, Vec::new());
    let held = tokio::spawn(async move { busy.call("once").await.0 });
    s.control.wait_for_requests(3).await;
    for _ in 0..3 {
        late.push(s.proxy.connect_client().await);
    }
    s.proxy.terminate().await;
    assert_eq!(held.await.expect("no panic"), 504, "the last moment ends what a silent backend has");
    let mut answers = Vec::new();
    for (caller, class) in late.iter_mut().zip(["look", "keep", "once"]) {
        answers.push(caller.send(call(class, longest)).await.0);
    }
    drop(late);
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
    s.a.wait_all_closed().await;
    s.b.wait_all_closed().await;
    assert_eq!(s.control.requests.borrow().len(), 3, "something was sent that nobody waits for");
    assert_eq!(answers, [503; 3]);
}

/// Half of the backends hang just then, and clients go on sending wherever they can up to the kill: all has its answer.
/// (That it comes before the kill, `paused::stops` judges on the program's own clock.)
#[tokio::test]
async fn with_short_deadlines_and_backends_that_hang_all_is_answered() {
    let longest = Duration::from_millis(300);
    let mut s = start_fixture(waiting(longest)).await;
    let kill = longest + KILL;
    let silent = Arc::new(Notify::new());
    for _ in 0..200 {
        s.control.enqueue([BackendAction::Serve, BackendAction::ServeAfter(silent.clone())]);
    }
    let mut callers = Vec::new();
    for _ in 0..8 {
        callers.push(s.proxy.connect_client().await);
    }
    s.proxy.terminate().await;
    let stopped = Instant::now();
    let sending: Vec<_> = callers
        .into_iter()
        .enumerate()
        .map(|(n, mut caller)| {
            let class = ["look", "keep", "once"][n % 3];
            tokio::spawn(async move {
                // Spread over the whole time: the first ones at once, the last ones when no time is left.
                tokio::time::sleep_until((stopped + kill * n as u32 / 9).into()).await;
                (class, caller.send(call(class, longest)).await.0)
            })
        })
        .collect();
    for sent in sending {
        let (class, status) = sent.await.expect("an answer on every connection that was open");
        assert!([200, 502, 503, 504].contains(&status), "{class}: {status}");
    }
    // Nobody is waited for who is owed nothing: it ends by itself.
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}
