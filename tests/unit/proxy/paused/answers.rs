//! Tests of responses that never end or stop before their end: what the client receives, and when.

use super::clock::{advance_until, with_stopped_clock};
use super::program::InProcessProxy;
use super::rig::{
    ConnectionEnd, Script, ScriptedResponse, TestDiscovery, connect, endpoint_entry, request, settings,
    within_deadline,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep};

const OK: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a proxy with two backends that follow one script.
async fn start_scripted_proxy() -> (Arc<Script>, InProcessProxy) {
    let script = Arc::new(Script::default());
    let hosts = vec![
        endpoint_entry("a", script.start_backend().await, "SERVING"),
        endpoint_entry("b", script.start_backend().await, "SERVING"),
    ];
    let discovery = TestDiscovery::start(hosts).await;
    let proxy = InProcessProxy::start(&discovery.proxy_config(settings())).await;
    discovery.wait_until_synced().await;
    (script, proxy)
}

/// Returns a request of the class `once` with a client timeout.
fn once(timeout_ms: u64) -> Request<Full<Bytes>> {
    let mut request = request("once").body(Full::default()).expect("a valid request");
    request.headers_mut().insert("req-deadline-ms", timeout_ms.into());
    request
}

/// A response may arrive slowly, or as fast as it is read, past the length of any response. In both cases the client must detect that it is
/// incomplete at most half a second after its timeout, and both connections must close.
#[rstest]
#[case::trickle("1\r\nx\r\n".into(), Some(50), 1000)]
#[case::flood(format!("2000\r\n{}\r\n", "x".repeat(0x2000)), None, 20_000)]
#[tokio::test(start_paused = true)]
async fn a_response_that_never_ends_is_aborted_soon_after_the_deadline(
    #[case] chunk: String,
    #[case] pause_ms: Option<u64>,
    #[case] timeout_ms: u64,
) {
    with_stopped_clock(async {
        let (script, proxy) = start_scripted_proxy().await;
        let send_next = Arc::new(Notify::new());
        let mut response = ScriptedResponse::raw(CHUNKED, ConnectionEnd::KeepOpen);
        response.repeat = Some((send_next.clone(), chunk.into()));
        script.enqueue([response]);
        let sending = spawn_local(async move {
            loop {
                send_next.notify_one();
                match pause_ms {
                    Some(pause) => sleep(Duration::from_millis(pause)).await,
                    // One chunk at each turn, which is read in that turn, so that no unread bytes precede the abort.
                    None => yield_now().await,
                }
            }
        });
        let mut sender = connect(proxy.addr).await;
        let sent_at = Instant::now();
        let response = advance_until(within_deadline(sender.send_request(once(timeout_ms))))
            .await
            .expect("a response head");
        assert_eq!(response.status(), 200);
        let rest = advance_until(within_deadline(read_to_end(response.into_body()))).await;
        let took = sent_at.elapsed();
        assert!(rest.is_err(), "the response looked complete");
        assert!(took >= Duration::from_millis(timeout_ms), "aborted before the client's deadline: {took:?}");
        assert!(
            took < Duration::from_millis(timeout_ms + 500),
            "aborted half a second or more too late: {took:?}"
        );
        advance_until(script.wait_for_close(0)).await;
        sending.abort();
        assert_eq!(advance_until(proxy.call("once")).await, (200, "served".into()));
    })
    .await;
}

/// Reads a response body to its end and discards it.
async fn read_to_end(mut body: Incoming) -> hyper::Result<()> {
    while let Some(frame) = body.frame().await {
        frame?;
    }
    Ok(())
}

/// The client timeout is shorter than the time for which a response without a length is buffered. The length is
/// announced or not.
#[tokio::test(start_paused = true)]
async fn a_response_that_stops_before_its_end_fails_within_a_short_timeout() {
    with_stopped_clock(async {
        let (script, proxy) = start_scripted_proxy().await;
        for text in [
            format!("{OK}Content-Length: 9\r\n\r\nhalf"),
            format!("{CHUNKED}4\r\nhalf\r\n"),
            format!("{OK}\r\nhalf"),
        ] {
            let release = Arc::new(Notify::new());
            script.enqueue([ScriptedResponse::raw(&text, ConnectionEnd::KeepOpen).then_write(&release, "")]);
            let mut client = proxy.connect_client().await;
            let sent_at = Instant::now();
            let (status, _) = advance_until(client.send(once(250))).await;
            assert!(
                (500..600).contains(&status) && status != 503,
                "{text:?}: status {status}, but the request may have run"
            );
            assert!(sent_at.elapsed() < Duration::from_millis(750), "{text:?}: {:?}", sent_at.elapsed());
            release.notify_one();
        }
    })
    .await;
}
