//! Callers and settings with times shorter than the program's own constants.

mod rig;
mod waits;

use http_body_util::Full;
use rig::*;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A request whose caller waits for so many milliseconds.
fn hurried(class: &str, ms: u64) -> hyper::Request<Full<bytes::Bytes>> {
    let mut request = request(class).body(Full::default()).expect("well formed");
    request.headers_mut().insert("req-deadline-ms", ms.into());
    request
}

/// Each class's times as short as a customer may have them.
fn short() -> serde_json::Value {
    let mut s = settings();
    for class in s["classes"].as_array_mut().expect("classes") {
        (class["aim"], class["giveUp"], class["window"]) = (json!(50.0), json!(100.0), json!(100.0));
    }
    (s["caps"]["connIdle"], s["caps"]["connectTimeout"]) = (json!(300.0), json!(500.0));
    s["guarantees"]["stopSendingWithin"] = json!(50.0);
    s
}

/// The margin before a caller's deadline is a part of it, where it is short: a backend that answers at once serves.
#[tokio::test]
async fn a_short_deadline_is_no_refusal_while_backends_answer_at_once() {
    let s = start_fixture(short()).await;
    for class in ["look", "keep", "once"] {
        for ms in [10, 15, 20, 25, 30, 50, 100] {
            // On a loaded machine some of them are late.
            let served =
                async { while s.proxy.connect_client().await.send(hurried(class, ms)).await.0 != 200 {} };
            within_deadline(served).await;
            let seen = s.control.requests.borrow();
            let told = seen.last().expect("it came").1.headers["req-deadline-ms"].to_str().expect("text");
            let told: u64 = told.parse().expect("a number");
            assert!(told > 0 && told < ms, "{told} of {ms}");
        }
    }
}

/// A backend that is silent costs the caller's time and no more: the answer is prompt, and the right one.
#[tokio::test]
async fn a_short_deadline_is_kept_when_the_backend_is_silent() {
    let s = start_fixture(short()).await;
    for (class, statuses) in [("look", [503, 504]), ("keep", [503, 504]), ("once", [502, 504])] {
        for ms in [0, 1, 5, 20, 30, 100] {
            let held = Arc::new(Notify::new());
            s.control.enqueue((0..6).map(|_| BackendAction::ServeAfter(held.clone())));
            let begun = Instant::now();
            let (status, _) = s.proxy.connect_client().await.send(hurried(class, ms)).await;
            assert!(statuses.contains(&status), "{class} {ms}: {status}");
            // Room for a loaded machine; the program's own constants are longer still.
            assert!(begun.elapsed() < Duration::from_millis(ms + 1000), "{class} {ms}");
            s.control.clear();
        }
    }
}

/// The bound on what a caller may say is none on what the settings give.
#[tokio::test]
async fn a_class_that_waits_longer_than_the_bound_has_all_its_time() {
    for (class_waits, told) in [(100.0, 600_000), (1_200_000.0, 1_200_000), (1e300, 86_400_000)] {
        let mut settings = settings();
        settings["classes"][0]["giveUp"] = json!(class_waits);
        let s = start_fixture(settings).await;
        assert_eq!(s.proxy.connect_client().await.send(hurried("look", u64::MAX)).await.0, 200);
        let seen = s.control.requests.borrow();
        let left: u64 =
            seen[0].1.headers["req-deadline-ms"].to_str().expect("text").parse().expect("a number");
        assert!(left < told && left + 60_000 > told, "{left} of {told}");
    }
}

#[tokio::test]
async fn a_deadline_that_is_no_number_or_absurd_is_answered_plainly() {
    let s = start_fixture(short()).await;
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
        let mut request = hurried("look", 1);
        request.headers_mut().insert("req-deadline-ms", text.parse().expect("a value"));
        assert_eq!(s.proxy.connect_client().await.send(request).await.0, status, "{text:?}");
    }
}
