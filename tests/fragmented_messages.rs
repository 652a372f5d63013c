//! Requests and responses that arrive byte by byte and in every form that HTTP/1.1 allows; a backend that is killed
//! after the kernel accepted a connection for it; the deadline that a retry carries.

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

/// Writes text one byte per TCP segment.
async fn write_bytewise(stream: &mut TcpStream, text: &str) {
    stream.set_nodelay(true).expect("connection is open");
    for byte in text.as_bytes() {
        stream.write_all(&[*byte]).await.expect("connection is open");
        tokio::task::yield_now().await;
    }
}

/// Reads until the connection is closed.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    within_deadline(stream.read_to_string(&mut text)).await.expect("connection closed without a reset");
    text
}

/// Headers that every request must have.
const REQUIRED_HEADERS: &str =
    "Req-Id: p1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\nConnection: close\r\n";

/// Each case is one valid request; it runs once, unchanged.
#[rstest]
#[case::plain("GET /look?k=1 HTTP/1.1\r\nHost: o\r\n{REQUIRED}\r\n", "/look?k=1", "")]
#[case::any_case(
    "GET /look HTTP/1.1\r\nHOST: o\r\nREQ-ID: p1\r\nreq-owner: acme\r\nrEq-DeAdLiNe-Ms: 60000\r\nCONNECTION: Close\r\n\r\n",
    "/look",
    ""
)]
#[case::whitespace(
    "GET /look HTTP/1.1\r\nHost:o\r\nReq-Id:p1\r\nReq-Owner: \t acme \t\r\nReq-Deadline-Ms:   60000\r\nConnection:close\r\n\r\n",
    "/look",
    ""
)]
#[case::empty_line_before("\r\nGET /look HTTP/1.1\r\nHost: o\r\n{REQUIRED}\r\n", "/look", "")]
#[case::further_headers(
    "GET /look HTTP/1.1\r\nHost: o\r\nReq-Retry: 1\r\nReq-Extra: a=1,b=2.5\r\nX-Odd:\r\nAccept: */*\r\n{REQUIRED}\r\n",
    "/look",
    ""
)]
#[case::content_length(
    "POST /once HTTP/1.1\r\nHost: o\r\nContent-Length: 7\r\n{REQUIRED}\r\na claim",
    "/once",
    "a claim"
)]
#[case::repeated_content_length(
    "POST /once HTTP/1.1\r\nHost: o\r\nContent-Length: 7\r\nContent-Length: 7\r\n{REQUIRED}\r\na claim",
    "/once",
    "a claim"
)]
#[case::no_body("POST /once HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n{REQUIRED}\r\n", "/once", "")]
#[case::no_content_length("POST /once HTTP/1.1\r\nHost: o\r\n{REQUIRED}\r\n", "/once", "")]
#[case::keyed(
    "POST /keep HTTP/1.1\r\nHost: o\r\nidempotency-KEY: 5c\r\nContent-Length: 3\r\n{REQUIRED}\r\nabc",
    "/keep",
    "abc"
)]
#[case::chunks(
    "POST /once HTTP/1.1\r\nHost: o\r\nTRANSFER-ENCODING: Chunked\r\n{REQUIRED}\r\n\
     1\r\na\r\n00B;x=\"y\"\r\n claims to \r\n2\r\nbe\r\n0\r\nSum: 1\r\n\r\n",
    "/once",
    "a claims to be"
)]
#[tokio::test]
async fn a_bytewise_request_in_any_valid_form_runs_once_unchanged(
    #[case] text: &str,
    #[case] path: &str,
    #[case] body: &str,
) {
    let s = start_fixture(settings()).await;
    let mut stream =
        within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("proxy accepts a connection");
    write_bytewise(&mut stream, &text.replace("{REQUIRED}", REQUIRED_HEADERS)).await;
    let response = read_to_end(stream).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let seen = s.control.requests.borrow();
    let [(_, head, received_body)] = &seen[..] else { panic!("it ran {} times", seen.len()) };
    assert_eq!(
        (head.uri.to_string().as_str(), &received_body[..], &head.headers["req-id"]),
        (path, body.as_bytes(), &"p1".parse().unwrap())
    );
}

/// Pipelined requests, in one write and byte by byte, each get their own response, in order.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    const REQUESTS: usize = 40;
    for in_one_write in [true, false] {
        let s = start_scripted(settings()).await;
        s.script.enqueue((0..REQUESTS).map(|n| ScriptedResponse::ok(&format!("<response {n}>"))));
        let mut text = String::new();
        for n in 0..REQUESTS {
            let end = if n + 1 < REQUESTS { "" } else { "Connection: close\r\n" };
            text += &format!(
                "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: m{n}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n{end}\r\n"
            );
        }
        let mut stream =
            within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("proxy accepts a connection");
        if in_one_write {
            stream.write_all(text.as_bytes()).await.expect("connection is open");
        } else {
            write_bytewise(&mut stream, &text).await;
        }
        let responses = read_to_end(stream).await;
        let received: Vec<&str> =
            responses.split('<').skip(1).filter_map(|part| part.split('>').next()).collect();
        let expected: Vec<String> = (0..REQUESTS).map(|n| format!("response {n}")).collect();
        assert_eq!(received, expected);
    }
}

/// A backend's response that arrives byte by byte and in any valid form is passed on whole.
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
#[case::connection_close(
    "HTTP/1.1 200 OK\r\nConnection: CLOSE\r\nContent-Length: 4\r\n\r\ngood",
    ConnectionEnd::Close
)]
#[case::without_length("HTTP/1.1 200 OK\r\n\r\ngood", ConnectionEnd::Close)]
#[tokio::test]
async fn a_bytewise_response_in_any_valid_form_is_passed_on(#[case] text: &str, #[case] end: ConnectionEnd) {
    let s = start_scripted(settings()).await;
    let writes = text.bytes().map(|byte| (None, vec![byte])).collect();
    s.script.enqueue([ScriptedResponse { read_len: None, writes, repeat: None, end }]);
    assert_eq!(s.proxy.call("once").await, (200, "good".into()));
    assert_eq!(s.script.request_connections().len(), 1, "one attempt");
}

/// Whether the kernel holds unread bytes on an established connection of a local address.
fn has_unread_bytes(addr: SocketAddr) -> bool {
    let port = format!(":{:04X}", addr.port());
    let has_unread = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let queue = fields.get(4).and_then(|queues| queues.split(':').nth(1));
        let is_local = fields.get(1).is_some_and(|local| local.ends_with(&port));
        let established = fields.get(3) == Some(&"01");
        is_local && established && queue.is_some_and(|bytes| bytes.bytes().any(|digit| digit != b'0'))
    };
    std::fs::read_to_string("/proc/net/tcp").expect("a readable TCP table").lines().any(has_unread)
}

/// The kernel accepts a connection and its request for a suspended process, which is then killed: the request may
/// have run, so that it fails if its class is unsafe to retry, and is retried otherwise. (Any listening program will
/// do; this is a registry.)
#[rstest]
#[case::unsafe_to_repeat("once", 502, 0)]
#[case::safe("look", 200, 1)]
#[case::keyed("keep", 200, 1)]
#[tokio::test]
async fn a_backend_that_is_killed_with_an_unread_request_costs_one_attempt(
    #[case] class: &'static str,
    #[case] status: u16,
    #[case] retries: usize,
) {
    let killed = Registry::start(&data_dir(&format!("behind-{class}")), &[]).await;
    let addr = killed.address;
    let control = Arc::new(BackendControl::default());
    let b = TestBackend::start("b", &control).await;
    let discovery = TestDiscovery::start(vec![endpoint_entry("killed", addr, "SERVING")]).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings()).await;
    killed.send_signal("STOP");
    let mut client = proxy.connect_client().await;
    let call = tokio::spawn(async move { client.call(class).await });
    within_deadline(async {
        while !has_unread_bytes(addr) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    discovery.publish(vec![endpoint_entry("killed", addr, "SERVING"), b.endpoint_entry("SERVING")]).await;
    killed.kill().await;
    assert_eq!(within_deadline(call).await.expect("task completed").0, status);
    assert_eq!(control.request_count("b"), retries);
    assert_eq!(proxy.call("once").await, (200, "b".into()), "the next request is served");
}

/// The deadline that a retry carries is the time left to its client: less than the first one by all the time elapsed.
#[tokio::test]
async fn a_retry_carries_no_more_than_the_remaining_deadline() {
    const DELAY: Duration = Duration::from_millis(400);
    let s = start_scripted(settings()).await;
    let deadline_ms = |n: usize| {
        let requests = s.script.requests.borrow();
        let head = String::from_utf8_lossy(&requests[n].1).to_lowercase();
        let value = head
            .lines()
            .find_map(|l| l.strip_prefix("req-deadline-ms:").map(str::trim))
            .expect("a deadline header");
        value.parse::<u128>().expect("a number")
    };
    for class in ["look", "keep", "once"] {
        let (before, release) = (s.script.request_connections().len(), Arc::new(Notify::new()));
        let declined = "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
        let response = ScriptedResponse {
            read_len: None,
            writes: vec![(Some(release.clone()), declined.into())],
            repeat: None,
            end: ConnectionEnd::KeepOpen,
        };
        s.script.enqueue([response]);
        let mut client = s.proxy.connect_client().await;
        let call = tokio::spawn(async move { client.call(class).await });
        s.script.wait_for_requests(before + 1).await;
        tokio::time::sleep(DELAY).await;
        release.notify_one();
        assert_eq!(within_deadline(call).await.expect("task completed"), (200, "served".into()));
        let (first, retry) = (deadline_ms(before), deadline_ms(before + 1));
        assert!(retry > 0 && retry + DELAY.as_millis() <= first, "{class}: {retry} ms after {first} ms");
    }
}
