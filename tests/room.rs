//! Room for the bodies that are held: taken, missed, and given back, whatever the end.

mod rig;
mod waits;

use http_body_util::Full;
use rig::*;
use std::sync::Arc;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// The longest body that is held. A process with 1 MB has room for four of them.
const LONGEST: usize = 64 * 1024;

async fn with_room_for_four() -> ProxyFixture {
    let s = start_fixture_with(settings(), |config| config["limits"]["memory_mb"] = 1.into()).await;
    // A new process takes twice as many calls as it has members.
    let more = ["c", "d", "e", "f"].map(|name| endpoint_entry(name, s.a.addr, "SERVING"));
    s.discovery
        .publish([vec![s.a.endpoint_entry("SERVING"), s.b.endpoint_entry("SERVING")], more.to_vec()].concat())
        .await;
    s
}

fn body(class: &str) -> hyper::Request<Full<bytes::Bytes>> {
    request(class).body(Full::from(vec![b'x'; LONGEST])).expect("well formed")
}

/// Four requests that are with a backend and take all the room.
async fn full(s: &ProxyFixture, release: &Arc<Notify>) -> Vec<JoinHandle<u16>> {
    let mut held = Vec::new();
    for _ in 0..4 {
        let came = s.control.requests.borrow().len();
        s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
        let mut caller = s.proxy.connect_client().await;
        held.push(tokio::spawn(async move { caller.send(body("keep")).await.0 }));
        s.control.wait_for_requests(came + 1).await;
    }
    held
}

/// Whether a body is held: then its request is sent again after a broken attempt, else it is not.
async fn is_held(s: &ProxyFixture) -> bool {
    s.control.enqueue([BackendAction::CloseConnection]);
    let came = s.control.requests.borrow().len();
    let (status, _) = s.proxy.connect_client().await.send(body("keep")).await;
    let tries = s.control.requests.borrow().len() - came;
    assert!((status, tries) == (200, 2) || status == 503 && tries == 1, "{status} in {tries}");
    status == 200
}

#[tokio::test]
async fn a_body_flows_while_there_is_no_room_and_is_held_once_it_is_given_back() {
    let s = with_room_for_four().await;
    for _ in 0..3 {
        assert!(is_held(&s).await, "there is room for four");
        let release = Arc::new(Notify::new());
        let held = full(&s, &release).await;
        assert!(!is_held(&s).await, "and for no more");
        assert_eq!(s.proxy.connect_client().await.send(body("once")).await.0, 200, "it flows, unchanged");
        assert_eq!(s.control.requests.borrow().last().expect("it came").2.len(), LONGEST);
        // One is over: there is room for one.
        release.notify_one();
        within_deadline(async {
            while !held.iter().any(JoinHandle::is_finished) {
                tokio::task::yield_now().await;
            }
        })
        .await;
        within_deadline(async { while !is_held(&s).await {} }).await;
        (0..3).for_each(|_| release.notify_one());
        for call in held {
            assert_eq!(call.await.expect("no panic"), 200);
        }
    }
}

/// What was held for clients that have gone is given back, though their backends still have the requests.
#[tokio::test]
async fn the_room_of_clients_that_have_gone_is_given_back() {
    let s = with_room_for_four().await;
    let held = full(&s, &Arc::new(Notify::new())).await;
    assert!(!is_held(&s).await, "there is no more room");
    held.iter().for_each(JoinHandle::abort);
    within_deadline(async { while !is_held(&s).await {} }).await;
}
