//! Two customers' settings, as the simulator's first message gives them, from a configuration to a backend: the names
//! and numbers come from there alone.

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

/// A proxy for a customer, and two backends in each of two of its zones, the proxy's own first.
struct Shop {
    settings: Value,
    orders: Arc<BackendControl>,
    /// Keeps the list.
    _discovery: TestDiscovery,
    proxy: ProxyProcess,
}

const NAMES: [&str; 4] = ["own-1", "own-2", "far-1", "far-2"];

impl Shop {
    async fn open(settings: Value) -> Shop {
        let orders = Arc::new(BackendControl::default());
        let zones = settings["localities"].as_array().expect("zones");
        let own = settings["locality"].as_u64().expect("a place") as usize;
        let far = (own + 1) % zones.len();
        let mut lines = Vec::new();
        for (name, zone) in NAMES.into_iter().zip([own, own, far, far]) {
            let backend = TestBackend::start(name, &orders).await;
            let mut line = backend.endpoint_entry("SERVING");
            (line["site"], line["block"]) = (zones[zone].clone(), zone.into());
            lines.push(line);
        }
        let discovery = TestDiscovery::start(lines).await;
        let proxy = ProxyProcess::start_synced(&discovery, settings.clone()).await;
        Shop { settings, orders, _discovery: discovery, proxy }
    }

    fn classes(&self) -> Vec<Value> {
        self.settings["classes"].as_array().expect("classes").clone()
    }

    fn tenants(&self) -> Vec<String> {
        let tenants = self.settings["tenants"].as_array().expect("tenants");
        tenants.iter().map(|t| t["name"].as_str().expect("a name").to_string()).collect()
    }

    /// The class of these semantics.
    fn class_of(&self, semantics: &str) -> Value {
        self.classes().into_iter().find(|c| c["semantics"] == semantics).expect("one of each")
    }

    async fn send(&self, request: Request<Full<bytes::Bytes>>) -> u16 {
        self.proxy.connect_client().await.send(request).await.0
    }

    /// How many attempts have reached a backend.
    fn came(&self) -> usize {
        self.orders.requests.borrow().len()
    }
}

fn name(class: &Value) -> &str {
    class["name"].as_str().expect("a name")
}

fn keyed(class: &Value) -> bool {
    class["semantics"] == "dedup"
}

fn method(class: &Value) -> &'static str {
    if class["semantics"] == "retryable" { "GET" } else { "POST" }
}

/// A request as that customer's clients send it.
fn call(method: &str, path: &str, owner: &[u8], key: bool, deadline: u64) -> Request<Full<bytes::Bytes>> {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let request = Request::builder()
        .method(method)
        .uri(format!("/{path}?k=7f3a"))
        .header("host", "origin.svc")
        .header("req-id", format!("{:016x}", NEXT.fetch_add(1, SeqCst)))
        .header("req-owner", owner)
        .header("req-deadline-ms", deadline);
    let request = if key { request.header("idempotency-key", "5c0f6e1a") } else { request };
    request.body(Full::default()).expect("well formed")
}

fn proper(class: &Value, owner: &str) -> Request<Full<bytes::Bytes>> {
    call(method(class), name(class), owner.as_bytes(), keyed(class), 60_000)
}

#[tokio::test]
async fn every_class_and_tenant_of_a_customer_is_served_by_its_own_names() {
    for text in CUSTOMERS {
        let shop = Shop::open(serde_json::from_str(text).expect("settings")).await;
        for class in shop.classes() {
            for owner in shop.tenants() {
                let request = proper(&class, &owner);
                let (id, uri) = (request.headers()["req-id"].clone(), request.uri().clone());
                assert_eq!(shop.send(request).await, 200, "{class} {owner}");
                let seen = shop.orders.requests.borrow();
                let (_, head, _) = seen.last().expect("it came");
                assert_eq!((head.method.as_str(), &head.uri), (method(&class), &uri));
                assert_eq!(head.headers["req-id"], id);
                assert_eq!(head.headers.get("idempotency-key").is_some(), keyed(&class));
                let left = head.headers["req-deadline-ms"].to_str().expect("text");
                assert!((1..60_000).contains(&left.parse::<u64>().expect("a number")), "{left}");
            }
        }
    }
}

#[tokio::test]
async fn what_is_not_a_customers_is_turned_down_at_once_and_reaches_no_backend() {
    for text in CUSTOMERS {
        let shop = Shop::open(serde_json::from_str(text).expect("settings")).await;
        let owner = shop.tenants()[0].clone();
        let owner = owner.as_bytes();
        for class in shop.classes() {
            let (path, key, method) = (name(&class), keyed(&class), method(&class));
            let other = if method == "GET" { "POST" } else { "GET" };
            let longer = format!("{path}s");
            for (request, status) in [
                (call(other, path, owner, key, 60_000), 405),
                (call(method, path, b"acme", key, 60_000), 400),
                (call(method, path, "\u{e6}r\u{f8}".as_bytes(), key, 60_000), 400),
                (call(method, path, b"", key, 60_000), 400),
                (call(method, &longer, owner, key, 60_000), 404),
                (call(method, &path[..path.len() - 1], owner, key, 60_000), 404),
                (call(method, "checkout", owner, key, 60_000), 404),
            ] {
                assert_eq!(shop.send(request).await, status, "{class}");
            }
            if method == "POST" {
                assert_eq!(shop.send(call(method, path, owner, !key, 60_000)).await, 400, "{class}");
            }
        }
        assert_eq!(shop.came(), 0);
    }
}

#[tokio::test]
async fn each_effect_is_repeated_as_that_customers_settings_allow() {
    for text in CUSTOMERS {
        let shop = Shop::open(serde_json::from_str(text).expect("settings")).await;
        let (owner, most) = (&shop.tenants()[0], shop.settings["caps"]["tryLimit"].as_u64());
        let most = most.expect("a number") as usize;

        shop.orders.enqueue((0..most).map(|_| BackendAction::CloseConnection));
        assert_eq!(shop.send(proper(&shop.class_of("retryable"), owner)).await, 503);
        assert_eq!(shop.came(), most, "as often as the limit allows");

        shop.orders.enqueue([BackendAction::CloseConnection]);
        assert_eq!(shop.send(proper(&shop.class_of("fragile"), owner)).await, 502);
        assert_eq!(shop.came(), most + 1, "it may have run");

        shop.orders.enqueue([BackendAction::CloseConnection]);
        let keyed = shop.class_of("dedup");
        assert_eq!(shop.send(proper(&keyed, owner)).await, 200);
        assert_eq!(shop.came(), most + 3, "repeated under its key");
        let zone =
            |at: usize| shop.orders.requests.borrow()[at].0.split('-').next().expect("a zone").to_string();
        assert!(keyed["group"] == "all" || zone(most + 1) == zone(most + 2), "in its group");
    }
}

#[tokio::test]
async fn a_keyed_class_whose_window_is_over_is_not_repeated() {
    for text in CUSTOMERS {
        let mut settings: Value = serde_json::from_str(text).expect("settings");
        let classes = settings["classes"].as_array_mut().expect("classes");
        classes.iter_mut().for_each(|c| c["window"] = json!(0.0));
        let shop = Shop::open(settings).await;
        shop.orders.enqueue([BackendAction::CloseConnection]);
        let keyed = shop.class_of("dedup");
        // No repeat is discarded any more, wherever it comes: a further try is not harmless.
        assert_eq!(shop.send(proper(&keyed, &shop.tenants()[0])).await, 502);
        assert_eq!(shop.came(), 1);
    }
}

/// Slashes and the other signs that a name may have, as they are or percent-encoded; letters beyond ASCII.
#[tokio::test]
async fn names_with_unusual_letters_are_found_in_paths_and_headers() {
    let mut settings: Value = serde_json::from_str(CUSTOMERS[0]).expect("settings");
    let names = ["l\u{e5}n/page:x@y+z", "l\u{e5}n", "a b%41/"];
    for (class, name) in settings["classes"].as_array_mut().expect("classes").iter_mut().zip(names) {
        (class["name"], class["semantics"]) = (name.into(), "retryable".into());
    }
    let owner = "\u{c6}r\u{f8}/\u{f8}st:1";
    settings["tenants"][1]["name"] = owner.into();
    let shop = Shop::open(settings).await;
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
        assert_eq!(shop.send(call("GET", path, owner.as_bytes(), false, 60_000)).await, status, "{path}");
    }
    assert_eq!(shop.came(), 7);
}
