//! The JSON that the platform gives: the file that `RELAY_CONFIG` names, and in it the settings, which the simulator's
//! first message has in the same form.
//!
//! The platform writes these keys; the project cannot change them. A key that is optional here would be passed over in
//! silence if its name changed, so each is also given a value of a wrong type, whose refusal names it.

use crate::proxy_golden::{golden, same};
use crate::proxy_program::{Running, exchange, file, proxy, refusal, without_types};
use crate::rig::{BackendControl, TestBackend};
use crate::waits::within_deadline;
use load_balancer::client::list::{EndpointEntry, Health, ListPage, ParsedEntries};
use load_balancer::interface::{DedupScope, Idempotency};
use load_balancer::platform_settings::{PlatformSettings, parse};
use serde_json::{Value, json};
use std::fmt::Write;
use std::sync::Arc;
use tokio::net::TcpStream;

fn config() -> Value {
    serde_json::from_str(&golden("platform_config.json")).expect("JSON")
}

/// Pointers to every value of a document that stands under a key; of a list, to those of its first element.
fn keys(value: &Value, at: &str, all: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let at = format!("{at}/{key}");
                all.push(at.clone());
                keys(value, &at, all);
            }
        }
        Value::Array(values) => values.iter().take(1).for_each(|value| keys(value, &format!("{at}/0"), all)),
        _ => {}
    }
}

fn keys_of(value: &Value) -> Vec<String> {
    let mut all = Vec::new();
    keys(value, "", &mut all);
    all
}

fn without(mut value: Value, pointer: &str) -> Value {
    let (holder, key) = pointer.rsplit_once('/').expect("a pointer");
    value.pointer_mut(holder).and_then(Value::as_object_mut).expect("an object").remove(key);
    value
}

/// With a value that no key takes.
fn spoilt(mut value: Value, pointer: &str) -> Value {
    let at = value.pointer_mut(pointer).expect("it is there");
    *at = if at.is_object() { json!(["odd"]) } else { json!({"odd": "odd"}) };
    value
}

#[test]
fn every_key_of_the_settings_is_read_into_its_value() {
    let PlatformSettings { settings: s, site } =
        parse(config()["settings"].to_string().as_bytes()).expect("sound");
    assert_eq!((s.instance_index, s.instance_count, s.tier, s.zone), (2, 3, 1, 1));
    assert_eq!((s.tick_ms, s.over_quota_weight, s.must_subscribe), (5.5, 0.05, true));
    let classes = s
        .classes
        .iter()
        .map(|c| (c.latency_objective_ms, c.priority_weight, c.idempotency, c.in_order))
        .collect::<Vec<_>>();
    let dedup = |group, window| Idempotency::Keyed { scope: group, dedup_window_ms: window };
    let wanted = [
        (20_000.0, 1.5, Idempotency::Idempotent, false),
        (300.0, 2.5, dedup(DedupScope::All, 4000.0), true),
        (301.0, 3.5, dedup(DedupScope::Zone, 4001.0), false),
        (302.0, 4.5, dedup(DedupScope::Cell, 4002.0), false),
        (303.0, 5.5, Idempotency::NonIdempotent, false),
    ];
    assert_eq!(classes, wanted);
    assert_eq!(s.tenants.iter().map(|t| t.quota_per_s).collect::<Vec<_>>(), [1000.0, 20.5]);
    let caps = &s.caps;
    assert_eq!((caps.cancelling, caps.retry_after), (true, true));
    assert_eq!((caps.max_retry_after_ms, caps.max_attempts), (1001.0, 6));
    let r = &s.rules;
    assert_eq!((r.initial_capacity, r.warm_up_ms, r.overload_multiple), (0.1, 9000.0, 3.5));
    assert_eq!((r.max_silence_ms, r.idle_close_within_ms, r.key_settle_ms), (9001.0, 9002.0, 9003.0));
    assert_eq!((s.goal.worst_class_weight, s.goal.cross_zone_price), (0.25, 0.04));
    assert_eq!((s.list_guard.panic_threshold, s.list_guard.confirm_after_ms), (0.0, 0.0));
    assert_eq!(site.classes, ["look", "keep", "zone", "cell", "once"]);
    assert_eq!(
        (site.tenants, site.zones),
        (vec!["acme".into(), "bolt".into()], vec!["a".into(), "b".into()])
    );
    assert_eq!(
        (site.connection_idle_ms, site.connect_timeout_ms, site.max_open_requests),
        (60_003.0, 2004.0, 1002)
    );
    assert_eq!(
        (site.may_hedge, site.drain_grace_ms, site.longest_client_timeout_ms),
        (true, 504.0, 60_000.0)
    );
}

/// An entry of the list, which discovery writes in the same form as the platform does under `known`.
#[test]
fn every_key_of_a_listed_backend_is_read_into_its_value() {
    let page: ListPage = serde_json::from_value(config()["known"].clone()).expect("a list");
    assert_eq!((page.version, page.is_full), (41, true));
    let ParsedEntries { entries: hosts, unreadable } = page.into_entries();
    assert_eq!((hosts.len(), unreadable), (3, 0));
    let told = |h: &EndpointEntry| {
        (h.name.clone(), h.address.map(|at| at.port()), h.zone.clone(), h.class.clone(), h.cell)
    };
    let text = String::from;
    assert_eq!(told(&hosts[0]), (text("s-1"), Some(9), text("b"), text("m2"), 3));
    assert_eq!(told(&hosts[1]), (text("s-2"), Some(9), text("a"), text("m2"), 4));
    assert_eq!(told(&hosts[2]), (text("s-3"), None, text(""), text(""), 0));
    let figures: Vec<_> = hosts.iter().map(|h| (h.weight, h.started_ms)).collect();
    assert_eq!(figures, [(1.5, 1_764_633_600_000.0), (1.0, 0.0), (0.0, 0.0)]);
    let health = |n: usize| hosts[n].health;
    assert!(health(0) == Health::Serving && health(1) == Health::Draining && health(2) == Health::Deleted);
}

#[test]
fn the_other_words_of_the_settings_are_read() {
    let mut settings = config()["settings"].clone();
    settings["discovery"] = "automatic".into();
    settings["caps"]["cancelling"] = false.into();
    settings["caps"]["retryAfter"] = false.into();
    let facts = parse(settings.to_string().as_bytes()).expect("sound");
    let caps = facts.settings.caps;
    assert_eq!((facts.settings.must_subscribe, caps.cancelling, caps.retry_after), (false, false, false));
}

/// What a key's absence and its wrong type bring: an error that names it, or nothing where it is optional or unknown.
#[test]
fn a_key_of_the_settings_that_is_missing_or_of_a_wrong_type_is_named() {
    let settings = config()["settings"].clone();
    let said = |value: Value| match parse(value.to_string().as_bytes()) {
        Ok(_) => "taken".to_string(),
        Err(e) => {
            let text = without_types(&e.to_string());
            text.split(" at line ").next().expect("text").to_string()
        }
    };
    let mut all = String::new();
    for key in keys_of(&settings) {
        writeln!(all, "{key} missing: {}", said(without(settings.clone(), &key))).expect("text");
        writeln!(all, "{key} odd: {}", said(spoilt(settings.clone(), &key))).expect("text");
    }
    let trailing = parse(format!("{settings} {{}}").as_bytes()).expect_err("refused").to_string();
    writeln!(all, "trailing: {trailing}").expect("text");
    same("platform_settings_errors.txt", &all);
}

/// Starts the proxy on a document; what it says where that ends the start.
async fn refused(value: &Value, name: &str) -> Option<String> {
    let path = file(&format!("{name}.json"), &value.to_string()).display().to_string();
    let mut command = proxy(&[], &[("RELAY_CONFIG", &path)]);
    let mut child = command.spawn().expect("it starts");
    let mut said = child.stderr.take().expect("piped");
    // Either it ends, or it listens on the operators' address, which is after all that is read.
    let mut text = String::new();
    let ended = within_deadline(async {
        use tokio::io::AsyncReadExt;
        let mut part = [0; 4096];
        loop {
            match said.read(&mut part).await.expect("readable") {
                0 => return true,
                n => text += std::str::from_utf8(&part[..n]).expect("text"),
            }
            if text.lines().any(|line| line.contains("membership on ") || line.contains("ops on ")) {
                return false;
            }
        }
    })
    .await;
    if !ended {
        child.start_kill().expect("it runs");
        within_deadline(child.wait()).await.expect("it ran");
        return None;
    }
    assert_eq!(within_deadline(child.wait()).await.expect("it ran").code(), Some(1), "{text}");
    Some(refusal(proxy(&[], &[("RELAY_CONFIG", &path)]), &path).await)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_of_the_file_that_is_missing_or_of_a_wrong_type_is_named_at_the_start() {
    let config = config();
    let is_figure = |key: &String| !key.starts_with("/settings/") || key.starts_with("/settings/caps/");
    let mut all = String::new();
    for key in keys_of(&config).into_iter().filter(is_figure) {
        for (what, value) in
            [("missing", without(config.clone(), &key)), ("odd", spoilt(config.clone(), &key))]
        {
            let said = refused(&value, &format!("file{}-{what}", key.replace('/', "-"))).await;
            let said = without_types(&said.unwrap_or_else(|| "taken".into()));
            let said = said.split(" at line ").collect::<Vec<_>>();
            let rest = said.get(1).and_then(|rest| rest.split_once("; ")).map_or("", |(_, rest)| rest);
            writeln!(all, "{key} {what}: {} {rest}", said[0]).expect("text");
        }
    }
    same("platform_file_errors.txt", &all);
}

/// Discovery is down: what serves is the list under `known`, whose entries have every key that an entry may have.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_file_with_every_key_starts_a_proxy_that_serves_by_the_list_it_was_given() {
    let orders = Arc::new(BackendControl::default());
    let backend = TestBackend::start("a", &orders).await;
    let mut config = config();
    config["known"]["hosts"][0]["dial"] = backend.addr.to_string().into();
    let path = file("every-key.json", &config.to_string()).display().to_string();
    let mut running = Running::start(proxy(&[], &[("RELAY_CONFIG", &path)]));
    running.says_address("membership on ").await;
    running.says_address("ops on ").await;
    let at = running.says_address("listening on ").await;
    let mut stream = within_deadline(TcpStream::connect(at)).await.expect("it listens");
    let request =
        "GET /look HTTP/1.1\r\nHost: s\r\nReq-Id: 1\r\nReq-Owner: bolt\r\nReq-Deadline-Ms: 20000\r\n\r\n";
    let (head, body) = exchange(&mut stream, request).await;
    assert_eq!((head.split("\r\n").next(), body), (Some("HTTP/1.1 200 OK"), b"a".to_vec()));
}
