//! Memory for buffered bodies: it is used up, is missing, and is released however a request ends.

mod rig;
mod waits;

use http_body_util::Full;
use rig::*;
use std::sync::Arc;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Length of the longest body that is buffered. A process with 1 MB of memory buffers four of them.
const MAX_BUFFERED: usize = 64 * 1024;

/// Starts a fixture with memory for four buffered bodies.
async fn start_with_memory_for_four() -> ProxyFixture {
    let s = start_fixture_with(settings(), |config| config["limits"]["memory_mb"] = 1.into()).await;
    // A new process admits twice as many requests as it has backends.
    let more_backends = ["c", "d", "e", "f"].map(|name| endpoint_entry(name, s.a.addr, "SERVING"));
    s.discovery
        .publish(
            [vec![s.a.endpoint_entry("SERVING"), s.b.endpoint_entry("SERVING")], more_backends.to_vec()]
                .concat(),
        )
        .await;
    s
}

fn request_with_body(class: &str) -> hyper::Request<Full<bytes::Bytes>> {
    request(class).body(Full::from(vec![b'x'; MAX_BUFFERED])).expect("valid request")
}

/// Sends four requests that wait at a backend and use up the memory for bodies.
async fn fill_memory(s: &ProxyFixture, release: &Arc<Notify>) -> Vec<JoinHandle<u16>> {
    let mut pending = Vec::new();
    for _ in 0..4 {
        let seen_before = s.control.requests.borrow().len();
        s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
        let mut client = s.proxy.connect_client().await;
        pending.push(tokio::spawn(async move { client.send(request_with_body("keep")).await.0 }));
        s.control.wait_for_requests(seen_before + 1).await;
    }
    pending
}

/// Whether a new body is buffered: only then its request is retried after a failed attempt.
async fn is_buffered(s: &ProxyFixture) -> bool {
    s.control.enqueue([BackendAction::CloseConnection]);
    let seen_before = s.control.requests.borrow().len();
    let (status, _) = s.proxy.connect_client().await.send(request_with_body("keep")).await;
    let attempts = s.control.requests.borrow().len() - seen_before;
    assert!(
        (status, attempts) == (200, 2) || status == 503 && attempts == 1,
        "{status} in {attempts} attempts"
    );
    status == 200
}

#[tokio::test]
async fn a_body_is_streamed_without_memory_and_buffered_once_memory_is_released() {
    let s = start_with_memory_for_four().await;
    for _ in 0..3 {
        assert!(is_buffered(&s).await, "memory for four bodies is missing");
        let release = Arc::new(Notify::new());
        let pending = fill_memory(&s, &release).await;
        assert!(!is_buffered(&s).await, "memory is left for a fifth body");
        assert_eq!(
            s.proxy.connect_client().await.send(request_with_body("once")).await.0,
            200,
            "a streamed body fails"
        );
        assert_eq!(s.control.requests.borrow().last().expect("a recorded request").2.len(), MAX_BUFFERED);
        // One request completes, which releases the memory of one body.
        release.notify_one();
        within_deadline(async {
            while !pending.iter().any(JoinHandle::is_finished) {
                tokio::task::yield_now().await;
            }
        })
        .await;
        within_deadline(async { while !is_buffered(&s).await {} }).await;
        (0..3).for_each(|_| release.notify_one());
        for call in pending {
            assert_eq!(call.await.expect("task completed"), 200);
        }
    }
}

/// Memory of clients that disconnected is released although their backends still have the requests.
#[tokio::test]
async fn the_memory_of_disconnected_clients_is_released() {
    let s = start_with_memory_for_four().await;
    let pending = fill_memory(&s, &Arc::new(Notify::new())).await;
    assert!(!is_buffered(&s).await, "memory is left for a fifth body");
    pending.iter().for_each(JoinHandle::abort);
    within_deadline(async { while !is_buffered(&s).await {} }).await;
}
