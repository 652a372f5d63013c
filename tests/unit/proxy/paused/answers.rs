//! Answers that do not end, or stop half-way: what their client hears, and when.

use super::clock::{flowing, standing};
use super::program::Program;
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

/// The program before two backends that follow one script.
async fn stage() -> (Arc<Script>, Program) {
    let script = Arc::new(Script::default());
    let hosts = vec![
        endpoint_entry("a", script.start_backend().await, "SERVING"),
        endpoint_entry("b", script.start_backend().await, "SERVING"),
    ];
    let discovery = TestDiscovery::start(hosts).await;
    let program = Program::start(&discovery.proxy_config(settings())).await;
    discovery.wait_until_synced().await;
    (script, program)
}

fn once(patience_ms: u64) -> Request<Full<Bytes>> {
    let mut request = request("once").body(Full::default()).expect("well formed");
    request.headers_mut().insert("req-deadline-ms", patience_ms.into());
    request
}

/// It may trickle or be a flood: its client can tell that it is not whole, half a second after its time at the latest,
/// and its connections come to an end on both sides.
#[rstest]
#[case::trickle("1\r\nx\r\n".into(), Some(50))]
#[case::flood(format!("400\r\n{}\r\n", "x".repeat(0x400)), None)]
#[tokio::test(start_paused = true)]
async fn an_answer_that_never_ends_is_broken_off_in_time(
    #[case] piece: String,
    #[case] pause_ms: Option<u64>,
) {
    standing(async {
        let (script, program) = stage().await;
        let going = Arc::new(Notify::new());
        let mut act = ScriptedResponse::raw(CHUNKED, ConnectionEnd::KeepOpen);
        act.repeat = Some((going.clone(), piece.into()));
        script.enqueue([act]);
        let beat = spawn_local(async move {
            loop {
                going.notify_one();
                match pause_ms {
                    Some(pause) => sleep(Duration::from_millis(pause)).await,
                    // Something more at every turn, and no more than is read in it: nothing lies before the end.
                    None => yield_now().await,
                }
            }
        });
        let mut sender = connect(program.addr).await;
        let asked = Instant::now();
        let answer = flowing(within_deadline(sender.send_request(once(1000)))).await.expect("it begins");
        assert_eq!(answer.status(), 200);
        let rest = flowing(within_deadline(read_through(answer.into_body()))).await;
        let took = asked.elapsed();
        assert!(rest.is_err(), "it passed for a whole one");
        assert!(took >= Duration::from_millis(1000), "it could have ended in time: {took:?}");
        assert!(took < Duration::from_millis(1500), "lost half a second after its time: {took:?}");
        flowing(script.wait_for_close(0)).await;
        beat.abort();
        assert_eq!(flowing(program.call("once")).await, (200, "served".into()));
    })
    .await;
}

/// Reads an answer to its end and keeps nothing of it.
async fn read_through(mut body: Incoming) -> hyper::Result<()> {
    while let Some(frame) = body.frame().await {
        frame?;
    }
    Ok(())
}

/// Their length told or not, with less time left than long ones are held back.
#[tokio::test(start_paused = true)]
async fn an_answer_that_stops_half_way_is_failed_in_time_where_time_is_short() {
    standing(async {
        let (script, program) = stage().await;
        for text in [
            format!("{OK}Content-Length: 9\r\n\r\nhalf"),
            format!("{CHUNKED}4\r\nhalf\r\n"),
            format!("{OK}\r\nhalf"),
        ] {
            let held = Arc::new(Notify::new());
            script.enqueue([ScriptedResponse::raw(&text, ConnectionEnd::KeepOpen).then_write(&held, "")]);
            let mut caller = program.caller().await;
            let asked = Instant::now();
            let (status, _) = flowing(caller.send(once(250))).await;
            assert!((500..600).contains(&status) && status != 503, "{text:?}: {status} promises nothing");
            assert!(asked.elapsed() < Duration::from_millis(750), "{text:?}: {:?}", asked.elapsed());
            held.notify_one();
        }
    })
    .await;
}
