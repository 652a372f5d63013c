//! Tests of a planned stop: all admitted requests are answered before the platform's SIGKILL.

use super::clock::{advance_until, with_stopped_clock};
use super::program::InProcessProxy;
use super::rig::{
    BackendAction, BackendControl, TestBackend, TestClient, TestDiscovery, connect, request, settings,
    within_deadline,
};
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Longest client timeout in these tests.
const LONGEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Time from SIGTERM to SIGKILL: the longest client timeout plus the protocol's minimum of 0.7 s.
const TIME_TO_KILL: Duration = Duration::from_millis(300 + 700);

/// A proxy with two backends that share one control.
struct InProcessFixture {
    control: Arc<BackendControl>,
    a: TestBackend,
    b: TestBackend,
    proxy: InProcessProxy,
}

/// Starts a proxy with two backends, where clients wait for [`LONGEST_TIMEOUT`] at most.
async fn start_in_process() -> InProcessFixture {
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    let discovery =
        TestDiscovery::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let proxy = InProcessProxy::start(&discovery.proxy_config(settings_with_short_timeouts())).await;
    discovery.wait_until_synced().await;
    InProcessFixture { control, a, b, proxy }
}

/// Returns the settings with [`LONGEST_TIMEOUT`] as the client timeout of every class.
fn settings_with_short_timeouts() -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("an array of classes") {
        class["giveUp"] = json!(LONGEST_TIMEOUT.as_millis() as f64);
    }
    settings
}

/// Returns a request of a class with [`LONGEST_TIMEOUT`].
fn request_with_timeout(class: &str) -> Request<Full<bytes::Bytes>> {
    let mut call = request(class).body(Full::default()).expect("a valid request");
    let timeout = LONGEST_TIMEOUT.as_millis().to_string();
    call.headers_mut().insert("req-deadline-ms", timeout.parse().expect("a header value"));
    call
}

/// A request that arrives after the time of the last answer has no time left for an attempt. It must be rejected
/// without being sent, and before the SIGKILL.
#[tokio::test(start_paused = true)]
async fn a_request_after_the_last_answer_time_is_rejected_before_the_kill() {
    with_stopped_clock(async {
        let s = start_in_process().await;
        // Both backends get an idle connection, on which a request would be sent immediately.
        let releases = [(); 2].map(|()| Arc::new(Notify::new()));
        s.control.enqueue(releases.each_ref().map(|release| BackendAction::ServeAfter(release.clone())));
        let addr = s.proxy.addr;
        let both = [(); 2]
            .map(|()| spawn_local(async move { TestClient(connect(addr).await).call("look").await.0 }));
        advance_until(s.control.wait_for_requests(2)).await;
        releases.iter().for_each(|release| release.notify_one());
        for call in both {
            assert_eq!(advance_until(call).await.expect("the task must not panic"), 200);
        }
        s.control.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
        let (mut busy, mut late) = (s.proxy.connect_client().await, Vec::new());
        let pending = spawn_local(async move { busy.call("once").await.0 });
        advance_until(s.control.wait_for_requests(3)).await;
        for _ in 0..3 {
            late.push(s.proxy.connect_client().await);
        }
        s.proxy.terminate().await;
        let stopped = Instant::now();
        let status = advance_until(pending).await.expect("the task must not panic");
        assert_eq!(status, 504, "a request at an unresponsive backend must end at the last answer time");
        let mut statuses = Vec::new();
        for (client, class) in late.iter_mut().zip(["look", "keep", "once"]) {
            statuses.push(advance_until(client.send(request_with_timeout(class))).await.0);
        }
        assert!(stopped.elapsed() < TIME_TO_KILL, "answered {:?} after SIGTERM", stopped.elapsed());
        drop(late);
        assert!(advance_until(within_deadline(s.proxy.wait_for_exit())).await);
        advance_until(s.a.wait_all_closed()).await;
        advance_until(s.b.wait_all_closed()).await;
        assert_eq!(s.control.requests.borrow().len(), 3, "a late request was sent to a backend");
        assert_eq!(statuses, [503; 3]);
    })
    .await;
}

/// Every second attempt gets no response, and clients keep sending on open connections up to the SIGKILL.
#[tokio::test(start_paused = true)]
async fn all_requests_are_answered_before_the_kill_with_short_timeouts_and_hanging_backends() {
    with_stopped_clock(async {
        let s = start_in_process().await;
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
        let send = |(n, mut client): (usize, TestClient)| {
            let class = ["look", "keep", "once"][n % 3];
            spawn_local(async move {
                // Spread over the whole time: the first request immediately, the last ones when no time is left.
                sleep_until(stopped + TIME_TO_KILL * n as u32 / 9).await;
                (class, client.send(request_with_timeout(class)).await.0, stopped.elapsed())
            })
        };
        let sending: Vec<_> = clients.into_iter().enumerate().map(send).collect();
        for sent in sending {
            let sent = advance_until(sent).await;
            let (class, status, at) = sent.expect("a response on every open connection");
            assert!([200, 502, 503, 504].contains(&status), "{class}: {status}");
            assert!(at < TIME_TO_KILL, "{class}: answered {at:?} after SIGTERM");
        }
        assert!(advance_until(within_deadline(s.proxy.wait_for_exit())).await);
        assert!(
            stopped.elapsed() < Duration::from_secs(5),
            "the proxy waited for a connection without a request"
        );
    })
    .await;
}
