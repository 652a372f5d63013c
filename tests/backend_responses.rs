//! Responses and connection ends of a backend, byte by byte: an incomplete response is not passed on as complete, a
//! request that may have run is retried only if its class allows it, and a connection with stray bytes is not reused.

mod rig;
mod scripted;
mod waits;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use rig::{TestClient, connect, request, settings, wait_for_peer_close, within_deadline};
use rstest::rstest;
use scripted::{ConnectionEnd, ScriptedResponse, ok_response, start_scripted};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

fn request_with_deadline(class: &str, body: Vec<u8>, deadline_ms: u64) -> hyper::Request<Full<Bytes>> {
    let (mut head, body) = request(class).body(Full::from(body)).expect("valid request").into_parts();
    head.headers.insert("req-deadline-ms", deadline_ms.into());
    hyper::Request::from_parts(head, body)
}

const OK: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Each malformed or incomplete response comes after the request's last byte, so that the request may have run.
#[tokio::test]
async fn an_invalid_response_counts_as_possibly_run_and_its_connection_is_not_reused() {
    let long = format!("{OK}X: {}\r\nContent-Length: 3\r\n\r\nbad", "x".repeat(20_000));
    let many = format!("{OK}{}Content-Length: 3\r\n\r\nbad", "X: y\r\n".repeat(200));
    let invalid = [
        (String::new(), ConnectionEnd::Close),
        (String::new(), ConnectionEnd::Reset),
        ("HTTP/1.1 20".into(), ConnectionEnd::Close),
        ("HTTP/1.1 20".into(), ConnectionEnd::Reset),
        ("nothing like it\r\n\r\n".into(), ConnectionEnd::KeepOpen),
        ("HTTP/1.1 100 Continue\r\n\r\n".into(), ConnectionEnd::Close),
        (format!("{OK}\r\nbad"), ConnectionEnd::Reset),
        (format!("{OK}Content-Length: 9\r\n\r\nbad"), ConnectionEnd::Close),
        (format!("{OK}Content-Length: 9\r\n\r\nbad"), ConnectionEnd::Reset),
        (format!("{OK}Content-Length: 3\r\nContent-Length: 9\r\n\r\nbad"), ConnectionEnd::KeepOpen),
        (format!("{OK}Content-Length: -3\r\n\r\nbad"), ConnectionEnd::KeepOpen),
        (
            format!("{OK}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"),
            ConnectionEnd::KeepOpen,
        ),
        (format!("{CHUNKED}3\r\nbad\r\n"), ConnectionEnd::Close),
        (format!("{CHUNKED}3\r\nbad\r\n0\r\n"), ConnectionEnd::Close),
        (format!("{CHUNKED}3\r\nbad\r\n"), ConnectionEnd::Reset),
        (format!("{CHUNKED}3\r\nbadx\r\n0\r\n\r\n"), ConnectionEnd::KeepOpen),
        (format!("{CHUNKED}z\r\nbad\r\n0\r\n\r\n"), ConnectionEnd::KeepOpen),
        (long, ConnectionEnd::KeepOpen),
        (many, ConnectionEnd::KeepOpen),
    ];
    for (text, end) in invalid {
        let case = format!("{:?}, then {end:?}", &text[..text.len().min(90)]);
        let s = start_scripted(settings()).await;
        for (class, status, attempts) in [("once", 502, 1), ("look", 200, 2), ("keep", 200, 2)] {
            let before = s.script.request_connections().len();
            s.script.enqueue([ScriptedResponse::raw(&text, end)]);
            let (got, body) = s.proxy.call(class).await;
            assert_eq!((got, body == "served"), (status, status == 200), "{case}: {class}: {body:?}");
            let connections = s.script.request_connections();
            assert_eq!(connections.len() - before, attempts, "{case}: {class}");
            s.script.wait_for_close(connections[before]).await;
            assert!(
                !connections[before + 1..].contains(&connections[before]),
                "{case}: {class}: connection reused"
            );
        }
    }
}

#[tokio::test]
async fn a_complete_response_is_passed_on() {
    let s = start_scripted(settings()).await;
    let hints = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let answers = [
        // Without a length, the orderly end of the connection ends the response.
        (format!("{OK}\r\ngood"), ConnectionEnd::Close, "good"),
        (format!("{OK}Content-Length: 4\r\nContent-Length: 4\r\n\r\ngood"), ConnectionEnd::KeepOpen, "good"),
        (format!("{OK}Content-Length: 0\r\n\r\n"), ConnectionEnd::KeepOpen, ""),
        (format!("{hints}{}", ok_response("good")), ConnectionEnd::KeepOpen, "good"),
        // Bytes or a reset after the last byte do not invalidate the response.
        (ok_response("good"), ConnectionEnd::Reset, "good"),
        (format!("{}{}", ok_response("good"), ok_response("stray")), ConnectionEnd::KeepOpen, "good"),
        (format!("{}HTTP/1.1 4", ok_response("good")), ConnectionEnd::KeepOpen, "good"),
    ];
    for (text, end, body) in answers {
        let before = s.script.request_connections().len();
        let stays_open = end == ConnectionEnd::KeepOpen && !text.ends_with("stray") && !text.ends_with('4');
        s.script.enqueue([ScriptedResponse::raw(&text, end)]);
        assert_eq!(s.proxy.call("once").await, (200, body.to_string()), "{text:?}");
        assert_eq!(s.script.request_connections().len(), before + 1, "more than one attempt: {text:?}");
        if !stays_open {
            let connection = s.script.request_connections()[before];
            s.script.wait_for_close(connection).await;
            // A request written before the FIN has arrived may have run, and an unsafe one would not be retried.
            let (backend, proxy) = s.script.connection_addrs(connection);
            wait_for_peer_close(proxy, backend).await;
        }
        assert_eq!(s.proxy.call("once").await, (200, "served".into()), "after {text:?}");
    }
}

/// Unsolicited bytes on an idle connection close it, and the next request gets its own response.
#[tokio::test]
async fn bytes_on_an_idle_connection_are_no_response() {
    for stray in [ok_response("stray"), "HTTP/1.1 4".into(), "\r\n".into(), format!("{OK}\r\n")] {
        let s = start_scripted(settings()).await;
        let release = Arc::new(Notify::new());
        s.script.enqueue([ScriptedResponse::ok("first").then_write(&release, &stray)]);
        assert_eq!(s.proxy.call("once").await, (200, "first".into()));
        release.notify_one();
        s.script.wait_for_close(0).await;
        for _ in 0..5 {
            assert_eq!(s.proxy.call("once").await, (200, "served".into()), "{stray:?}");
        }
        assert_eq!(s.script.request_connections().iter().filter(|n| **n == 0).count(), 1, "{stray:?}");
    }
}

/// A backend runs a request once it has the last byte: a response before that is discarded, and since the rest of the
/// request is never written, it does not run.
#[tokio::test]
async fn a_response_before_the_requests_last_byte_is_discarded() {
    let s = start_scripted(settings()).await;
    let early = ScriptedResponse {
        read_len: Some(2000),
        ..ScriptedResponse::raw(&ok_response("early"), ConnectionEnd::KeepOpen)
    };
    s.script.enqueue([early]);
    let body = vec![b'x'; 16 << 20];
    let (status, body) =
        s.proxy.connect_client().await.send(request_with_deadline("once", body, 20_000)).await;
    assert!((500..600).contains(&status), "{status} {body:?}");
    assert_eq!(s.script.request_connections().len(), 1, "a partly forwarded request was retried");
    assert_eq!(s.proxy.call("once").await, (200, "served".into()));
}

/// An endless response, slow or fast, is cut off so that its client can tell that it is incomplete, and the connections
/// on both sides are closed. The unit tests of the proxy check on a paused clock how soon.
#[rstest]
#[case::trickle("1\r\nx\r\n".into(), 50)]
#[case::flood(format!("10000\r\n{}\r\n", "x".repeat(65_536)), 0)]
#[tokio::test]
async fn an_endless_response_is_cut_off_at_its_deadline(#[case] piece: String, #[case] pause: u64) {
    const DEADLINE: Duration = Duration::from_secs(5);
    let s = start_scripted(settings()).await;
    let repeat = Arc::new(Notify::new());
    let mut response = ScriptedResponse::raw(CHUNKED, ConnectionEnd::KeepOpen);
    response.writes.push((None, piece.clone().into()));
    response.repeat = Some((repeat.clone(), piece.into()));
    s.script.enqueue([response]);
    let repeater = tokio::spawn(async move {
        loop {
            repeat.notify_one();
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    });
    let mut sender = connect(s.proxy.addr).await;
    let sent_at = Instant::now();
    let request = request_with_deadline("once", vec![], DEADLINE.as_millis() as u64);
    let response = within_deadline(sender.send_request(request)).await.expect("a response head");
    assert_eq!(response.status(), 200);
    assert!(
        within_deadline(drain_body(response.into_body())).await.is_err(),
        "a cut-off response was passed on as complete"
    );
    assert!(sent_at.elapsed() >= DEADLINE, "cut off before its deadline: {:?}", sent_at.elapsed());
    s.script.wait_for_close(0).await;
    repeater.abort();
    assert_eq!(s.proxy.call("once").await, (200, "served".into()));
}

/// Reads a response body to its end and drops it.
async fn drain_body(mut body: hyper::body::Incoming) -> hyper::Result<()> {
    while let Some(frame) = body.frame().await {
        frame?;
    }
    Ok(())
}

/// Responses stall half-way, with a known length or without, and the deadline is so short that the proxy has not
/// started to forward them. The unit tests of the proxy check on a paused clock how soon they fail and that a status
/// is sent.
#[tokio::test]
async fn a_stalled_response_with_a_short_deadline_gets_an_error_status() {
    let s = start_scripted(settings()).await;
    for text in [
        format!("{OK}Content-Length: 9\r\n\r\nhalf"),
        format!("{CHUNKED}4\r\nhalf\r\n"),
        format!("{OK}\r\nhalf"),
    ] {
        let release = Arc::new(Notify::new());
        s.script.enqueue([ScriptedResponse::raw(&text, ConnectionEnd::KeepOpen).then_write(&release, "")]);
        let mut client: TestClient = s.proxy.connect_client().await;
        let sent_before = s.script.request_connections().len();
        let (status, _) = client.send(request_with_deadline("once", vec![], 250)).await;
        assert!((500..600).contains(&status), "{text:?}: {status}");
        assert!(
            status != 503 || s.script.request_connections().len() == sent_before,
            "{text:?}: a request that may have run was rejected"
        );
        release.notify_one();
    }
}
