//! Requests and answers in pieces, and in all the forms that HTTP/1.1 allows; backends that end a connection behind their
//! accept; what a further attempt tells its backend.

mod registry_rig;
mod rig;
mod scripted;
mod waits;

use registry_rig::{Registry, data_dir};
use rig::{
    BackendControl, ProxyProcess, TestBackend, TestDiscovery, endpoint_entry, settings, start_fixture,
    within_deadline,
};
use rstest::rstest;
use scripted::{ConnectionEnd, ScriptedResponse, start_scripted};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Writes text a byte at a time, each in a segment of its own.
async fn in_pieces(stream: &mut TcpStream, text: &str) {
    stream.set_nodelay(true).expect("open");
    for byte in text.as_bytes() {
        stream.write_all(&[*byte]).await.expect("open");
        tokio::task::yield_now().await;
    }
}

/// What comes up to the end of the connection.
async fn to_the_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    within_deadline(stream.read_to_string(&mut text)).await.expect("closed, not reset");
    text
}

const MUST: &str = "Req-Id: p1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\nConnection: close\r\n";

/// Each is one request that a client may write: it runs once, as it came.
#[rstest]
#[case::plain("GET /look?k=1 HTTP/1.1\r\nHost: o\r\n{MUST}\r\n", "/look?k=1", "")]
#[case::any_case(
    "GET /look HTTP/1.1\r\nHOST: o\r\nREQ-ID: p1\r\nreq-owner: acme\r\nrEq-DeAdLiNe-Ms: 60000\r\nCONNECTION: Close\r\n\r\n",
    "/look",
    ""
)]
#[case::blanks(
    "GET /look HTTP/1.1\r\nHost:o\r\nReq-Id:p1\r\nReq-Owner: \t acme \t\r\nReq-Deadline-Ms:   60000\r\nConnection:close\r\n\r\n",
    "/look",
    ""
)]
#[case::empty_line_before("\r\nGET /look HTTP/1.1\r\nHost: o\r\n{MUST}\r\n", "/look", "")]
#[case::further_headers(
    "GET /look HTTP/1.1\r\nHost: o\r\nReq-Retry: 1\r\nReq-Extra: a=1,b=2.5\r\nX-Odd:\r\nAccept: */*\r\n{MUST}\r\n",
    "/look",
    ""
)]
#[case::body("POST /once HTTP/1.1\r\nHost: o\r\nContent-Length: 7\r\n{MUST}\r\na claim", "/once", "a claim")]
#[case::body_twice_told(
    "POST /once HTTP/1.1\r\nHost: o\r\nContent-Length: 7\r\nContent-Length: 7\r\n{MUST}\r\na claim",
    "/once",
    "a claim"
)]
#[case::no_body("POST /once HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n{MUST}\r\n", "/once", "")]
#[case::body_untold("POST /once HTTP/1.1\r\nHost: o\r\n{MUST}\r\n", "/once", "")]
#[case::keyed(
    "POST /keep HTTP/1.1\r\nHost: o\r\nidempotency-KEY: 5c\r\nContent-Length: 3\r\n{MUST}\r\nabc",
    "/keep",
    "abc"
)]
#[case::chunks(
    "POST /once HTTP/1.1\r\nHost: o\r\nTRANSFER-ENCODING: Chunked\r\n{MUST}\r\n\
     1\r\na\r\n00B;x=\"y\"\r\n claims to \r\n2\r\nbe\r\n0\r\nSum: 1\r\n\r\n",
    "/once",
    "a claims to be"
)]
#[tokio::test]
async fn a_request_in_pieces_and_in_any_form_runs_once_as_it_came(
    #[case] text: &str,
    #[case] path: &str,
    #[case] body: &str,
) {
    let s = start_fixture(settings()).await;
    let mut stream = within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("it listens");
    in_pieces(&mut stream, &text.replace("{MUST}", MUST)).await;
    let answer = to_the_end(stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let seen = s.control.requests.borrow();
    let [(_, head, came)] = &seen[..] else { panic!("it ran {} times", seen.len()) };
    assert_eq!(
        (head.uri.to_string().as_str(), &came[..], &head.headers["req-id"]),
        (path, body.as_bytes(), &"p1".parse().unwrap())
    );
}

/// Many requests in one write, and the same in pieces: each has its own answer, in their order.
#[tokio::test]
async fn many_requests_at_once_are_answered_in_their_order() {
    const MANY: usize = 40;
    for in_one_write in [true, false] {
        let s = start_scripted(settings()).await;
        s.script.enqueue((0..MANY).map(|n| ScriptedResponse::ok(&format!("<answer {n}>"))));
        let mut text = String::new();
        for n in 0..MANY {
            let end = if n + 1 < MANY { "" } else { "Connection: close\r\n" };
            text += &format!(
                "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: m{n}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n{end}\r\n"
            );
        }
        let mut stream = within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("it listens");
        if in_one_write {
            stream.write_all(text.as_bytes()).await.expect("open");
        } else {
            in_pieces(&mut stream, &text).await;
        }
        let answers = to_the_end(stream).await;
        let came: Vec<&str> = answers.split('<').skip(1).filter_map(|part| part.split('>').next()).collect();
        let owed: Vec<String> = (0..MANY).map(|n| format!("answer {n}")).collect();
        assert_eq!(came, owed);
    }
}

/// A backend's answer may come byte by byte and in any form, too: it is passed on whole.
#[rstest]
#[case::any_case("HTTP/1.1 200 OK\r\ncontent-LENGTH:4\r\n\r\ngood", ConnectionEnd::KeepOpen)]
#[case::no_reason("HTTP/1.1 200 \r\nContent-Length: \t4 \r\nX-Odd:\r\n\r\ngood", ConnectionEnd::KeepOpen)]
#[case::other_reason(
    "HTTP/1.1 200 Not Really (no: yes)\r\nContent-Length: 4\r\n\r\ngood",
    ConnectionEnd::KeepOpen
)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding:CHUNKED\r\n\r\n1;a=b\r\ng\r\n003\r\nood\r\n0\r\nT: u\r\n\r\n",
    ConnectionEnd::KeepOpen
)]
#[case::says_close(
    "HTTP/1.1 200 OK\r\nConnection: CLOSE\r\nContent-Length: 4\r\n\r\ngood",
    ConnectionEnd::Close
)]
#[case::without_length("HTTP/1.1 200 OK\r\n\r\ngood", ConnectionEnd::Close)]
#[tokio::test]
async fn an_answer_in_pieces_and_in_any_form_is_passed_on(#[case] text: &str, #[case] end: ConnectionEnd) {
    let s = start_scripted(settings()).await;
    let writes = text.bytes().map(|byte| (None, vec![byte])).collect();
    s.script.enqueue([ScriptedResponse { read_len: None, writes, repeat: None, end }]);
    assert_eq!(s.proxy.call("once").await, (200, "good".into()));
    assert_eq!(s.script.request_connections().len(), 1, "one attempt");
}

/// Bytes that wait unread on a connection that this process's system has taken for an address.
fn unread(addr: SocketAddr) -> bool {
    let port = format!(":{:04X}", addr.port());
    let waits = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let queue = fields.get(4).and_then(|queues| queues.split(':').nth(1));
        let own = fields.get(1).is_some_and(|local| local.ends_with(&port));
        let established = fields.get(3) == Some(&"01");
        own && established && queue.is_some_and(|bytes| bytes.bytes().any(|digit| digit != b'0'))
    };
    std::fs::read_to_string("/proc/net/tcp").expect("a table").lines().any(waits)
}

/// The system takes a connection and its request for a process that stands still and is killed then: what may have run
/// there is failed if its class is unsafe, and is answered elsewhere if not. (Any program that listens will do.)
#[rstest]
#[case::unsafe_to_repeat("once", 502, 0)]
#[case::safe("look", 200, 1)]
#[case::keyed("keep", 200, 1)]
#[tokio::test]
async fn a_backend_that_is_killed_behind_an_accept_costs_one_attempt(
    #[case] class: &'static str,
    #[case] status: u16,
    #[case] elsewhere: usize,
) {
    let killed = Registry::start(&data_dir(&format!("behind-{class}")), &[]).await;
    let addr = killed.address;
    let orders = Arc::new(BackendControl::default());
    let b = TestBackend::start("b", &orders).await;
    let discovery = TestDiscovery::start(vec![endpoint_entry("killed", addr, "SERVING")]).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings()).await;
    killed.send_signal("STOP");
    let mut caller = proxy.connect_client().await;
    let call = tokio::spawn(async move { caller.call(class).await });
    within_deadline(async {
        while !unread(addr) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    discovery.publish(vec![endpoint_entry("killed", addr, "SERVING"), b.endpoint_entry("SERVING")]).await;
    killed.kill().await;
    assert_eq!(within_deadline(call).await.expect("no panic").0, status);
    assert_eq!(orders.request_count("b"), elsewhere);
    assert_eq!(proxy.call("once").await, (200, "b".into()), "the next one is served");
}

/// What a further attempt tells is what is left to its client: less than the first by all the time that went by.
#[tokio::test]
async fn a_further_attempt_tells_no_more_time_than_is_left() {
    const TOOK: Duration = Duration::from_millis(400);
    let s = start_scripted(settings()).await;
    let told = |n: usize| {
        let heard = s.script.requests.borrow();
        let head = String::from_utf8_lossy(&heard[n].1).to_lowercase();
        let value =
            head.lines().find_map(|l| l.strip_prefix("req-deadline-ms:").map(str::trim)).expect("it is told");
        value.parse::<u128>().expect("a number")
    };
    for class in ["look", "keep", "once"] {
        let (before, declines) = (s.script.request_connections().len(), Arc::new(Notify::new()));
        let declined = "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
        let act = ScriptedResponse {
            read_len: None,
            writes: vec![(Some(declines.clone()), declined.into())],
            repeat: None,
            end: ConnectionEnd::KeepOpen,
        };
        s.script.enqueue([act]);
        let mut caller = s.proxy.connect_client().await;
        let call = tokio::spawn(async move { caller.call(class).await });
        s.script.wait_for_requests(before + 1).await;
        tokio::time::sleep(TOOK).await;
        declines.notify_one();
        assert_eq!(within_deadline(call).await.expect("no panic"), (200, "served".into()));
        let (first, further) = (told(before), told(before + 1));
        assert!(further > 0 && further + TOOK.as_millis() <= first, "{class}: {further} ms after {first} ms");
    }
}
