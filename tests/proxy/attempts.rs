//! Tests of attempts: which requests are retried, and what happens to an attempt whose client leaves or times out.

use crate::rig::*;
use http_body_util::Full;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

#[tokio::test]
async fn a_request_is_forwarded_once_with_its_headers_and_body() {
    let s = start_fixture(settings()).await;
    let body = "a claim".repeat(9000);
    let call = request("keep").body(Full::from(body.clone())).expect("a valid request");
    let id = call.headers()["req-id"].clone();
    let (status, response) = s.proxy.connect_client().await.send(call).await;
    assert_eq!(status, 200);
    let requests = s.control.requests.borrow();
    let [(name, head, received_body)] = &requests[..] else { panic!("expected exactly one attempt") };
    assert_eq!((response.as_str(), received_body), (*name, &body.into()));
    assert_eq!((head.method.as_str(), head.uri.to_string().as_str()), ("POST", "/keep?k=7f3a"));
    assert_eq!(
        (&head.headers["req-id"], &head.headers["idempotency-key"]),
        (&id, &"5c0f6e1a".parse().unwrap())
    );
    let timeout_ms: u64 =
        head.headers["req-deadline-ms"].to_str().expect("an ASCII value").parse().expect("a number");
    assert!((1..60_000).contains(&timeout_ms), "the backend was sent a timeout of {timeout_ms} ms");
}

#[tokio::test]
async fn a_request_that_never_ran_is_retried_in_any_class() {
    let s = start_fixture(settings()).await;
    for (n, status) in [503, 504].into_iter().enumerate() {
        s.control.enqueue([BackendAction::Decline(status)]);
        assert_eq!(s.proxy.call("once").await.0, 200);
        assert_eq!(s.control.requests.borrow().len(), 2 * (n + 1));
    }
}

/// A non-idempotent request that may have run fails without a retry and is not reported as rejected. An idempotent
/// request, or one with an idempotency key, is retried.
#[tokio::test]
async fn a_request_that_may_have_run_is_retried_only_if_that_is_safe() {
    for action in [
        || BackendAction::Status(500),
        || BackendAction::Status(503),
        || BackendAction::Status(418),
        || BackendAction::CloseConnection,
        || BackendAction::BreakBody,
    ] {
        let s = start_fixture(settings()).await;
        s.control.enqueue([action()]);
        assert_eq!(s.proxy.call("once").await.0, 502);
        assert_eq!(s.control.requests.borrow().len(), 1);
        for class in ["look", "keep"] {
            let before = s.control.requests.borrow().len();
            s.control.enqueue([action()]);
            let (status, body) = s.proxy.call(class).await;
            assert_eq!((status, body.len()), (200, 1));
            assert_eq!(s.control.requests.borrow().len(), before + 2);
        }
    }
}

/// Every backend would reject the request as malformed, so that it gets one attempt even if a retry would be safe.
#[tokio::test]
async fn a_request_that_a_backend_rejects_as_malformed_is_not_retried() {
    let s = start_fixture(settings()).await;
    for (n, class) in ["look", "keep", "once"].into_iter().enumerate() {
        s.control.enqueue([BackendAction::Status(400)]);
        assert!((500..600).contains(&s.proxy.call(class).await.0));
        assert_eq!(s.control.requests.borrow().len(), n + 1);
    }
}

/// Checks that a non-idempotent request is retried after a failed connect to `addr`. Backend `b` declines it first,
/// so that the next attempt must go to the unreachable backend at `addr`; after that `b` serves it.
/// Such a request is retried only if the failed attempt proves that it never ran.
async fn check_retry_after_failed_connect(addr: std::net::SocketAddr) {
    let control = Arc::new(BackendControl::default());
    let b = TestBackend::start("b", &control).await;
    let discovery =
        TestDiscovery::start(vec![endpoint_entry("a", addr, "SERVING"), b.endpoint_entry("SERVING")]).await;
    let proxy = ProxyProcess::start_synced(&discovery, with_cap("connectTimeout", 250.0.into())).await;
    control.enqueue([BackendAction::Decline(503)]);
    assert_eq!(proxy.call("once").await, (200, "b".into()));
    assert_eq!(control.request_count("b"), 2);
}

#[tokio::test]
async fn a_non_idempotent_request_is_retried_after_a_refused_connection() {
    let (_reserved, addr) = refusing_address();
    check_retry_after_failed_connect(addr).await;
}

#[tokio::test]
async fn a_non_idempotent_request_is_retried_after_a_connect_timeout() {
    let (listener, _queued) = unresponsive_listener().await;
    check_retry_after_failed_connect(listener.local_addr().expect("the listener's address")).await;
}

#[tokio::test]
async fn an_attempt_is_cancelled_when_its_client_leaves() {
    let s = start_fixture(with_cap("mayDuplicate", false.into())).await;
    s.control.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
    let mut client = s.proxy.connect_client().await;
    let call = tokio::spawn(async move { client.call("look").await });
    s.control.wait_for_requests(1).await;
    call.abort();
    // Without `mayDuplicate`, a cancelled attempt closes its connection.
    within_deadline(s.control.abandoned.subscribe().wait_for(|n| *n == 1))
        .await
        .expect("the counter's sender is alive");
    assert_eq!(s.proxy.call("look").await.0, 200);
}

#[tokio::test]
async fn a_request_fails_before_its_client_timeout_and_the_backend_connection_is_kept() {
    let s = start_fixture(settings()).await;
    let release = Arc::new(Notify::new());
    s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    let call = request("once").body(Full::default()).expect("a valid request");
    let (mut parts, body) = call.into_parts();
    parts.headers.insert("req-deadline-ms", "700".parse().expect("a header value"));
    let start = Instant::now();
    let (status, _) = s.proxy.connect_client().await.send(hyper::Request::from_parts(parts, body)).await;
    assert!((500..600).contains(&status) && status != 503, "status {status}, but the request may have run");
    assert!(start.elapsed() >= Duration::from_millis(500), "the request failed before its deadline");
    // No client awaits the response, but closing the connection would not save the backend any work. A close would
    // have been detected by the time these calls are served.
    for _ in 0..20 {
        assert_eq!(s.proxy.call("look").await.0, 200);
    }
    assert_eq!(*s.control.abandoned.borrow(), 0);
    release.notify_one();
    for _ in 0..20 {
        assert_eq!(s.proxy.call("look").await.0, 200);
    }
    assert_eq!(
        (*s.a.open_connections.borrow(), *s.b.open_connections.borrow()),
        (s.a.connections_total(), s.b.connections_total()),
        "a backend connection was closed"
    );
}
