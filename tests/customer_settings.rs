//! Settings of two customers, in the form of the simulator's first message: names and limits come only from the
//! settings, from the configuration file to the request at a backend.

mod rig;
mod waits;

use http_body_util::Full;
use hyper::Request;
use rig::*;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

const CUSTOMERS: [&str; 2] =
    [include_str!("settings/kiosk-riga.json"), include_str!("settings/archive-nuuk.json")];

/// Proxy with a customer's settings, and two backends in each of two zones, the proxy's own zone first.
struct CustomerFixture {
    settings: Value,
    control: Arc<BackendControl>,
    /// Serves the endpoint list.
    _discovery: TestDiscovery,
    proxy: ProxyProcess,
}

const BACKEND_NAMES: [&str; 4] = ["own-1", "own-2", "far-1", "far-2"];

impl CustomerFixture {
    async fn start(settings: Value) -> CustomerFixture {
        let control = Arc::new(BackendControl::default());
        let zones = settings["localities"].as_array().expect("an array of zones");
        let own = settings["locality"].as_u64().expect("a zone index") as usize;
        let far = (own + 1) % zones.len();
        let mut lines = Vec::new();
        for (name, zone) in BACKEND_NAMES.into_iter().zip([own, own, far, far]) {
            let backend = TestBackend::start(name, &control).await;
            let mut line = backend.endpoint_entry("SERVING");
            (line["site"], line["block"]) = (zones[zone].clone(), zone.into());
            lines.push(line);
        }
        let discovery = TestDiscovery::start(lines).await;
        let proxy = ProxyProcess::start_synced(&discovery, settings.clone()).await;
        CustomerFixture { settings, control, _discovery: discovery, proxy }
    }

    fn classes(&self) -> Vec<Value> {
        self.settings["classes"].as_array().expect("an array of classes").clone()
    }

    fn tenants(&self) -> Vec<String> {
        let tenants = self.settings["tenants"].as_array().expect("an array of tenants");
        tenants.iter().map(|t| t["name"].as_str().expect("a name").to_string()).collect()
    }

    /// Returns the class with these semantics.
    fn class_with_semantics(&self, semantics: &str) -> Value {
        self.classes().into_iter().find(|c| c["semantics"] == semantics).expect("one class of each semantics")
    }

    async fn send(&self, request: Request<Full<bytes::Bytes>>) -> u16 {
        self.proxy.connect_client().await.send(request).await.0
    }

    /// Number of attempts that have reached a backend.
    fn attempts(&self) -> usize {
        self.control.requests.borrow().len()
    }
}

fn name(class: &Value) -> &str {
    class["name"].as_str().expect("a name")
}

fn has_idempotency_key(class: &Value) -> bool {
    class["semantics"] == "dedup"
}

fn method(class: &Value) -> &'static str {
    if class["semantics"] == "retryable" { "GET" } else { "POST" }
}

/// Builds a request with the headers that every client sends.
fn build_request(
    method: &str,
    path: &str,
    owner: &[u8],
    key: bool,
    deadline: u64,
) -> Request<Full<bytes::Bytes>> {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let request = Request::builder()
        .method(method)
        .uri(format!("/{path}?k=7f3a"))
        .header("host", "origin.svc")
        .header("req-id", format!("{:016x}", NEXT.fetch_add(1, SeqCst)))
        .header("req-owner", owner)
        .header("req-deadline-ms", deadline);
    let request = if key { request.header("idempotency-key", "5c0f6e1a") } else { request };
    request.body(Full::default()).expect("valid request")
}

fn valid_request(class: &Value, owner: &str) -> Request<Full<bytes::Bytes>> {
    build_request(method(class), name(class), owner.as_bytes(), has_idempotency_key(class), 60_000)
}

#[tokio::test]
async fn every_class_and_tenant_of_a_customer_is_served_under_its_name() {
    for text in CUSTOMERS {
        let customer = CustomerFixture::start(serde_json::from_str(text).expect("valid settings")).await;
        for class in customer.classes() {
            for owner in customer.tenants() {
                let request = valid_request(&class, &owner);
                let (id, uri) = (request.headers()["req-id"].clone(), request.uri().clone());
                assert_eq!(customer.send(request).await, 200, "{class} {owner}");
                let seen = customer.control.requests.borrow();
                let (_, head, _) = seen.last().expect("a recorded request");
                assert_eq!((head.method.as_str(), &head.uri), (method(&class), &uri));
                assert_eq!(head.headers["req-id"], id);
                assert_eq!(head.headers.get("idempotency-key").is_some(), has_idempotency_key(&class));
                let left = head.headers["req-deadline-ms"].to_str().expect("UTF-8 text");
                assert!((1..60_000).contains(&left.parse::<u64>().expect("a number")), "{left}");
            }
        }
    }
}

#[tokio::test]
async fn requests_outside_a_customers_settings_are_rejected_and_reach_no_backend() {
    for text in CUSTOMERS {
        let customer = CustomerFixture::start(serde_json::from_str(text).expect("valid settings")).await;
        let owner = customer.tenants()[0].clone();
        let owner = owner.as_bytes();
        for class in customer.classes() {
            let (path, key, method) = (name(&class), has_idempotency_key(&class), method(&class));
            let wrong_method = if method == "GET" { "POST" } else { "GET" };
            let longer_path = format!("{path}s");
            for (request, status) in [
                (build_request(wrong_method, path, owner, key, 60_000), 405),
                (build_request(method, path, b"acme", key, 60_000), 400),
                (build_request(method, path, "\u{e6}r\u{f8}".as_bytes(), key, 60_000), 400),
                (build_request(method, path, b"", key, 60_000), 400),
                (build_request(method, &longer_path, owner, key, 60_000), 404),
                (build_request(method, &path[..path.len() - 1], owner, key, 60_000), 404),
                (build_request(method, "checkout", owner, key, 60_000), 404),
            ] {
                assert_eq!(customer.send(request).await, status, "{class}");
            }
            if method == "POST" {
                assert_eq!(
                    customer.send(build_request(method, path, owner, !key, 60_000)).await,
                    400,
                    "{class}"
                );
            }
        }
        assert_eq!(customer.attempts(), 0);
    }
}

#[tokio::test]
async fn retries_follow_the_semantics_and_limits_of_the_customer() {
    for text in CUSTOMERS {
        let customer = CustomerFixture::start(serde_json::from_str(text).expect("valid settings")).await;
        let (owner, try_limit) = (&customer.tenants()[0], customer.settings["caps"]["tryLimit"].as_u64());
        let try_limit = try_limit.expect("a number") as usize;

        customer.control.enqueue((0..try_limit).map(|_| BackendAction::CloseConnection));
        assert_eq!(
            customer.send(valid_request(&customer.class_with_semantics("retryable"), owner)).await,
            503
        );
        assert_eq!(customer.attempts(), try_limit, "attempts up to the limit");

        customer.control.enqueue([BackendAction::CloseConnection]);
        assert_eq!(customer.send(valid_request(&customer.class_with_semantics("fragile"), owner)).await, 502);
        assert_eq!(customer.attempts(), try_limit + 1, "no retry of a request that may have run");

        customer.control.enqueue([BackendAction::CloseConnection]);
        let dedup_class = customer.class_with_semantics("dedup");
        assert_eq!(customer.send(valid_request(&dedup_class, owner)).await, 200);
        assert_eq!(customer.attempts(), try_limit + 3, "one retry with its idempotency key");
        let zone = |at: usize| {
            customer.control.requests.borrow()[at].0.split('-').next().expect("a zone").to_string()
        };
        assert!(
            dedup_class["group"] == "all" || zone(try_limit + 1) == zone(try_limit + 2),
            "retried outside of its deduplication scope"
        );
    }
}

#[tokio::test]
async fn a_dedup_class_without_a_window_is_not_retried() {
    for text in CUSTOMERS {
        let mut settings: Value = serde_json::from_str(text).expect("valid settings");
        let classes = settings["classes"].as_array_mut().expect("an array of classes");
        classes.iter_mut().for_each(|c| c["window"] = json!(0.0));
        let customer = CustomerFixture::start(settings).await;
        customer.control.enqueue([BackendAction::CloseConnection]);
        let dedup_class = customer.class_with_semantics("dedup");
        // Backends discard no duplicate without a window, so that a retry is unsafe.
        assert_eq!(customer.send(valid_request(&dedup_class, &customer.tenants()[0])).await, 502);
        assert_eq!(customer.attempts(), 1);
    }
}

/// Class and tenant names may contain slashes and other punctuation, literal or percent-encoded, and non-ASCII letters.
#[tokio::test]
async fn names_with_punctuation_and_non_ascii_letters_match_in_paths_and_headers() {
    let mut settings: Value = serde_json::from_str(CUSTOMERS[0]).expect("valid settings");
    let names = ["l\u{e5}n/page:x@y+z", "l\u{e5}n", "a b%41/"];
    for (class, name) in
        settings["classes"].as_array_mut().expect("an array of classes").iter_mut().zip(names)
    {
        (class["name"], class["semantics"]) = (name.into(), "retryable".into());
    }
    let owner = "\u{c6}r\u{f8}/\u{f8}st:1";
    settings["tenants"][1]["name"] = owner.into();
    let customer = CustomerFixture::start(settings).await;
    for (path, status) in [
        ("l\u{e5}n", 200),
        ("l\u{e5}n/7", 200),
        ("l%C3%A5n", 200),
        ("l%c3%a5n%2Fpage%3Ax%40y%2Bz", 200),
        ("l\u{e5}n/page:x@y+z/7", 200),
        ("a%20b%2541%2F", 200),
        ("a%20b%2541/", 200),
        ("l%C3", 404),
        ("l%E5n", 404),
        ("l\u{e5}", 404),
        ("l\u{e5}nx", 404),
        ("%", 404),
        ("", 404),
    ] {
        assert_eq!(
            customer.send(build_request("GET", path, owner.as_bytes(), false, 60_000)).await,
            status,
            "{path}"
        );
    }
    assert_eq!(customer.attempts(), 7);
}
