//! Client deadlines and settings that are shorter than the proxy's own time constants.

mod rig;
mod waits;

use http_body_util::Full;
use rig::*;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Request with a deadline of `ms` milliseconds.
fn request_with_deadline(class: &str, ms: u64) -> hyper::Request<Full<bytes::Bytes>> {
    let mut request = request(class).body(Full::default()).expect("valid request");
    request.headers_mut().insert("req-deadline-ms", ms.into());
    request
}

/// Settings with the shortest times of each class that a customer may configure.
fn short_settings() -> serde_json::Value {
    let mut s = settings();
    for class in s["classes"].as_array_mut().expect("an array of classes") {
        (class["aim"], class["giveUp"], class["window"]) = (json!(50.0), json!(100.0), json!(100.0));
    }
    (s["caps"]["connIdle"], s["caps"]["connectTimeout"]) = (json!(300.0), json!(500.0));
    s["guarantees"]["stopSendingWithin"] = json!(50.0);
    s
}

/// The margin before a short client deadline is a fraction of it, so that a backend that responds at once still serves.
#[tokio::test]
async fn a_short_deadline_is_met_by_a_backend_that_responds_at_once() {
    let s = start_fixture(short_settings()).await;
    for class in ["look", "keep", "once"] {
        for ms in [10, 15, 20, 25, 30, 50, 100] {
            // On a loaded machine some responses are late.
            let served = async {
                while s.proxy.connect_client().await.send(request_with_deadline(class, ms)).await.0 != 200 {}
            };
            within_deadline(served).await;
            let seen = s.control.requests.borrow();
            let forwarded_ms = seen.last().expect("a recorded request").1.headers["req-deadline-ms"]
                .to_str()
                .expect("UTF-8 text");
            let forwarded_ms: u64 = forwarded_ms.parse().expect("a number");
            assert!(forwarded_ms > 0 && forwarded_ms < ms, "{forwarded_ms} of {ms}");
        }
    }
}

/// With a backend that never responds, the client gets an error of the right status when its deadline ends, not later.
#[tokio::test]
async fn a_short_deadline_is_kept_when_the_backend_never_responds() {
    let s = start_fixture(short_settings()).await;
    for (class, statuses) in [("look", [503, 504]), ("keep", [503, 504]), ("once", [502, 504])] {
        for ms in [0, 1, 5, 20, 30, 100] {
            let never_released = Arc::new(Notify::new());
            s.control.enqueue((0..6).map(|_| BackendAction::ServeAfter(never_released.clone())));
            let started = Instant::now();
            let (status, _) = s.proxy.connect_client().await.send(request_with_deadline(class, ms)).await;
            assert!(statuses.contains(&status), "{class} {ms}: {status}");
            // The allowance is for a loaded machine; the proxy's own time constants are longer still.
            assert!(started.elapsed() < Duration::from_millis(ms + 1000), "{class} {ms}");
            s.control.clear();
        }
    }
}

/// The upper bound on the deadline that a client may send does not limit the give-up time of the settings.
#[tokio::test]
async fn a_give_up_time_above_the_bound_on_client_deadlines_applies_in_full() {
    for (give_up_ms, max_ms) in [(100.0, 600_000), (1_200_000.0, 1_200_000), (1e300, 86_400_000)] {
        let mut settings = settings();
        settings["classes"][0]["giveUp"] = json!(give_up_ms);
        let s = start_fixture(settings).await;
        assert_eq!(s.proxy.connect_client().await.send(request_with_deadline("look", u64::MAX)).await.0, 200);
        let seen = s.control.requests.borrow();
        let left: u64 =
            seen[0].1.headers["req-deadline-ms"].to_str().expect("UTF-8 text").parse().expect("a number");
        assert!(left < max_ms && left + 60_000 > max_ms, "{left} of {max_ms}");
    }
}

#[tokio::test]
async fn an_invalid_deadline_gets_400_and_an_excessive_one_is_served() {
    let s = start_fixture(short_settings()).await;
    for (text, status) in [
        ("", 400),
        ("-1", 400),
        ("1.5", 400),
        ("1e3", 400),
        ("NaN", 400),
        ("18446744073709551616", 400),
        ("18446744073709551615", 200),
        ("600001", 200),
    ] {
        let mut request = request_with_deadline("look", 1);
        request.headers_mut().insert("req-deadline-ms", text.parse().expect("a valid header value"));
        assert_eq!(s.proxy.connect_client().await.send(request).await.0, status, "{text:?}");
    }
}
