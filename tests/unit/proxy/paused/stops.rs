//! A planned stop: what is owed comes before the kill.

use super::clock::{flowing, standing};
use super::program::Program;
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

/// The longest that a client waits here.
const LONGEST: Duration = Duration::from_millis(300);
/// From SIGTERM on: the protocol's least time between the longest deadline and the kill.
const KILL: Duration = Duration::from_millis(300 + 700);

struct Site {
    orders: Arc<BackendControl>,
    a: TestBackend,
    b: TestBackend,
    program: Program,
}

/// The program before two backends, where clients wait for `LONGEST` at most.
async fn site() -> Site {
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    let discovery =
        TestDiscovery::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let program = Program::start(&discovery.proxy_config(short_waits())).await;
    discovery.wait_until_synced().await;
    Site { orders, a, b, program }
}

fn short_waits() -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("a list") {
        class["giveUp"] = json!(LONGEST.as_millis() as f64);
    }
    settings
}

fn call(class: &str) -> Request<Full<bytes::Bytes>> {
    let mut call = request(class).body(Full::default()).expect("well formed");
    let waits = LONGEST.as_millis().to_string();
    call.headers_mut().insert("req-deadline-ms", waits.parse().expect("a value"));
    call
}

/// Whoever comes once all is to be answered has no time left: turned away unsent, and before the kill.
#[tokio::test(start_paused = true)]
async fn a_request_past_the_last_answer_is_refused_before_the_kill() {
    standing(async {
        let s = site().await;
        // Both backends have a connection at rest, on which a request would go out at once.
        let holds = [(); 2].map(|()| Arc::new(Notify::new()));
        s.orders.enqueue(holds.each_ref().map(|release| BackendAction::ServeAfter(release.clone())));
        let addr = s.program.addr;
        let both = [(); 2]
            .map(|()| spawn_local(async move { TestClient(connect(addr).await).call("look").await.0 }));
        flowing(s.orders.wait_for_requests(2)).await;
        holds.iter().for_each(|release| release.notify_one());
        for call in both {
            assert_eq!(flowing(call).await.expect("no panic"), 200);
        }
        s.orders.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
        let (mut busy, mut late) = (s.program.caller().await, Vec::new());
        let held = spawn_local(async move { busy.call("once").await.0 });
        flowing(s.orders.wait_for_requests(3)).await;
        for _ in 0..3 {
            late.push(s.program.caller().await);
        }
        s.program.terminate().await;
        let stopped = Instant::now();
        let silent = flowing(held).await.expect("no panic");
        assert_eq!(silent, 504, "the last moment ends what a silent backend has");
        let mut answers = Vec::new();
        for (caller, class) in late.iter_mut().zip(["look", "keep", "once"]) {
            answers.push(flowing(caller.send(call(class))).await.0);
        }
        assert!(stopped.elapsed() < KILL, "answered only {:?} on", stopped.elapsed());
        drop(late);
        assert!(flowing(within_deadline(s.program.ended())).await);
        flowing(s.a.wait_all_closed()).await;
        flowing(s.b.wait_all_closed()).await;
        assert_eq!(s.orders.requests.borrow().len(), 3, "something was sent that nobody waits for");
        assert_eq!(answers, [503; 3]);
    })
    .await;
}

/// Half of the backends hang just then, and clients go on sending wherever they can up to the kill.
#[tokio::test(start_paused = true)]
async fn with_short_deadlines_and_backends_that_hang_all_is_answered_before_the_kill() {
    standing(async {
        let s = site().await;
        let silent = Arc::new(Notify::new());
        for _ in 0..200 {
            s.orders.enqueue([BackendAction::Serve, BackendAction::ServeAfter(silent.clone())]);
        }
        let mut callers = Vec::new();
        for _ in 0..8 {
            callers.push(s.program.caller().await);
        }
        s.program.terminate().await;
        let stopped = Instant::now();
        let send = |(n, mut caller): (usize, TestClient)| {
            let class = ["look", "keep", "once"][n % 3];
            spawn_local(async move {
                // Spread over the whole time: the first ones at once, the last ones when no time is left.
                sleep_until(stopped + KILL * n as u32 / 9).await;
                (class, caller.send(call(class)).await.0, stopped.elapsed())
            })
        };
        let sending: Vec<_> = callers.into_iter().enumerate().map(send).collect();
        for sent in sending {
            let sent = flowing(sent).await;
            let (class, status, at) = sent.expect("an answer on every connection that was open");
            assert!([200, 502, 503, 504].contains(&status), "{class}: {status}");
            assert!(at < KILL, "{class}: answered only {at:?} on");
        }
        assert!(flowing(within_deadline(s.program.ended())).await);
        assert!(stopped.elapsed() < Duration::from_secs(5), "nobody is waited for who is owed nothing");
    })
    .await;
}
