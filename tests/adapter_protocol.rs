//! Wire protocol of the simulator adapter, tested on the built binary: replies to valid frames and errors for invalid
//! input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    // The adapter may exit before it has read all input, which the tests check by its status and output.
    let _ = child.stdin.take().expect("a piped stdin").write_all(input);
    child.wait_with_output().expect("adapter exits")
}

const CLOCK: f64 = 8256.25;

fn frame(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut f = (records.len() as u32).to_le_bytes().to_vec();
    f.extend((body.len() as u32 + 8).to_le_bytes());
    f.extend(CLOCK.to_le_bytes());
    f.extend(body);
    f
}

fn record_head(code: u16, instance: u16) -> Vec<u8> {
    [code.to_le_bytes(), instance.to_le_bytes()].concat()
}

fn with_fields(mut record: Vec<u8>, fields: &[&[u8]]) -> Vec<u8> {
    fields.iter().for_each(|f| record.extend(*f));
    record
}

fn settings() -> serde_json::Value {
    serde_json::json!({
        "slotNo": 0, "peersTotal": 1, "tier": 0, "locality": 0, "tick": 5.0, "overShareWorth": 0.05,
        "discovery": "automatic", "weights": "silent", "tenants": [{"quotaPerS": 10.0}], "someNewKey": -1,
        "classes": [{"aim": 500.0, "giveUp": 2000.0, "points": 1.0, "lateWorth": 0.0,
                     "semantics": "dedup", "group": "zone", "window": 4000.0, "fifoByKey": true}],
        "caps": {"cancelling": true, "mayDuplicate": true, "probes": false, "peers": false, "retryAfter": true,
                 "maxRetryAfter": 1000.0, "tryLimit": 3, "connectTimeout": 250.0},
        "guarantees": {"coldFrom": 0.1, "cold": 9000.0, "fallMultiple": 3.0, "fall": 1000.0,
                       "stopSendingWithin": 250.0, "graceToAnswer": 20.0,
                       "releaseWithin": 500.0, "settleAfterDoubt": 300.0}
    })
}

fn launch(settings: &str) -> Vec<u8> {
    with_fields(
        record_head(1, 3),
        &[&7u64.to_le_bytes(), &(settings.len() as u32).to_le_bytes(), settings.as_bytes()],
    )
}

fn census(page: u32, backends: &[u32]) -> Vec<u8> {
    let mut r = with_fields(
        11u16.to_le_bytes().to_vec(),
        &[&page.to_le_bytes(), &(backends.len() as u32).to_le_bytes()],
    );
    for b in backends {
        let (zone, started, weight) = (0u16.to_le_bytes(), 0f64.to_le_bytes(), 1f32.to_le_bytes());
        r = with_fields(r, &[&[0], &b.to_le_bytes(), &zone, &started, &weight, &[0, 0], &[0, 0]]);
    }
    r
}

fn discovery(page: u32, kind: u8) -> Vec<u8> {
    with_fields(record_head(2, 3), &[&page.to_le_bytes(), &[kind], &1u64.to_le_bytes()])
}

fn ingress(xid: u64) -> Vec<u8> {
    ingress_of(xid, 0)
}

fn ingress_of(xid: u64, key: u64) -> Vec<u8> {
    let deadline = CLOCK + 2000.0;
    let (key, hint) = (key.to_le_bytes(), 0f64.to_le_bytes());
    with_fields(
        record_head(3, 3),
        &[&xid.to_le_bytes(), &key, &[0, 0], &[0], &hint, &[0, 0], &deadline.to_le_bytes()],
    )
}

fn replies(out: &[u8]) -> Vec<Vec<u8>> {
    let (mut at, mut all) = (0, Vec::new());
    while at < out.len() {
        let n = u32::from_le_bytes(out[at..at + 4].try_into().unwrap()) as usize;
        all.push(out[at + 4..at + 4 + n].to_vec());
        at += 4 + n;
    }
    all
}

#[test]
fn a_request_is_sent_to_the_backend_of_the_latest_page() {
    let start = frame(&[launch(&settings().to_string()), census(1, &[11]), discovery(1, 3)]);
    // The page number is redefined within a batch: from there on it stands for the newer list.
    let next = frame(&[census(1, &[22]), discovery(1, 0), census(1, &[33]), ingress(99)]);
    let out = run_adapter(&[start, next].concat());
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let replies = replies(&out.stdout);
    assert_eq!(replies.len(), 2, "one reply to each batch");
    let mut sent = with_fields(record_head(1, 3), &[&99u64.to_le_bytes(), &22u32.to_le_bytes()]);
    sent.extend((CLOCK + 2000.0).to_le_bytes());
    assert_eq!(replies[1], sent);
}

/// The `fifoByKey` and drain settings and the key of a request reach the balancer: requests of a key are sent one at
/// a time, and connections to a draining backend are closed.
#[test]
fn key_order_and_drain_closing_are_passed_to_the_balancer() {
    let start = frame(&[launch(&settings().to_string()), census(1, &[11]), discovery(1, 3)]);
    let two = frame(&[ingress_of(1, 77), ingress_of(2, 77)]);
    let mut drained = census(2, &[11]);
    drained[10] = 2; // the phase of its only entry
    let out = run_adapter(&[start, two, frame(&[drained, discovery(2, 1)])].concat());
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let replies = replies(&out.stdout);
    assert_eq!(replies[1].len(), 24, "one attempt and no more: {:?}", replies[1]);
    assert_eq!(replies[2], with_fields(record_head(7, 3), &[&11u32.to_le_bytes()]));
}

#[test]
fn an_end_of_input_between_frames_exits_with_zero() {
    let out = run_adapter(&[]);
    assert!(out.status.success() && out.stdout.is_empty());
    let out = run_adapter(&frame(&[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0, 0, 0, 0]);
}

#[test]
fn invalid_input_gets_one_error_line_and_no_reply() {
    let good = frame(&[launch(&settings().to_string()), census(1, &[11]), discovery(1, 3)]);
    let with_settings = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut f = settings();
        change(&mut f);
        frame(&[launch(&f.to_string())])
    };
    let mut long = frame(&[census(1, &[11])]);
    long[4] += 4;
    long.extend([0; 4]);
    let mut short = frame(&[]);
    short[4] = 3;
    let mut clock = frame(&[]);
    clock[8..16].copy_from_slice(&f64::NAN.to_le_bytes());
    let cases: Vec<(Vec<u8>, &[&str])> = vec![
        (good[..10].to_vec(), &["frame", "header", "10 of 16"]),
        (good[..good.len() - 3].to_vec(), &["frame", "truncated"]),
        (short, &["byte 4", "length 3"]),
        (clock, &["byte 8", "clock"]),
        (long, &["4 bytes left over"]),
        (frame(&[record_head(44, 3)]), &["record 0", "byte 16", "event 44"]),
        (frame(&[census(16, &[])]), &["page 16"]),
        (frame(&[with_fields(record_head(6, 3), &[&[1, 2, 3]])]), &["byte 20", "xid"]),
        (frame(&[ingress(1)]), &["instance 3"]),
        (frame(&[record_head(10, 3)]), &["instance 3"]),
        (
            frame(&[launch(&settings().to_string()), discovery(5, 0)]),
            &["record 1", "page 5", "never defined"],
        ),
        (frame(&[launch(&settings().to_string()), discovery(5, 9)]), &["list kind 9"]),
        (frame(&[launch("{nonsense")]), &["record 0", "settings"]),
        (with_settings(&|f| drop(f.as_object_mut().unwrap().remove("tick"))), &["settings", "tick"]),
        (with_settings(&|f| f["classes"][0]["aim"] = (-4.0).into()), &["classes[0].aim", "negative"]),
        (with_settings(&|f| f["guarantees"]["cold"] = "x".into()), &["guarantees.cold"]),
        (with_settings(&|f| f["slotNo"] = 5.into()), &["copy"]),
        (frame(&[launch(&settings().to_string().replace("500.0", "1e999"))]), &["settings"]),
    ];
    for (input, words) in cases {
        let out = run_adapter(&input);
        let error = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{words:?}: {error}");
        assert!(out.stdout.is_empty(), "{words:?}: a reply was written");
        assert_eq!(error.lines().count(), 1, "{words:?}: {error}");
        words.iter().for_each(|w| assert!(error.contains(w), "'{w}' is missing in: {error}"));
    }
}

/// Events that the balancer does not use are parsed and ignored for running instances, and rejected for unknown ones.
#[test]
fn unused_events_are_parsed_and_ignored() {
    let first_byte = |i| {
        with_fields(
            record_head(4, i),
            &[&1u64.to_le_bytes(), &[0], &11u32.to_le_bytes(), &5f64.to_le_bytes()],
        )
    };
    let report = [&[1u8][..], &0.5f32.to_le_bytes()].concat();
    let sampled =
        with_fields(record_head(8, 3), &[&5f64.to_le_bytes(), &11u32.to_le_bytes(), &[0, 0], &report]);
    let datagram = with_fields(record_head(9, 3), &[&1u32.to_le_bytes(), &2u16.to_le_bytes(), b"hi"]);
    let start = frame(&[launch(&settings().to_string()), census(1, &[11]), discovery(1, 3)]);
    let rest = frame(&[first_byte(3), sampled, datagram]);
    let out = run_adapter(&[start.clone(), rest].concat());
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(replies(&out.stdout)[1], Vec::<u8>::new());
    let out = run_adapter(&[start, frame(&[first_byte(8)])].concat());
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("instance 8 is unknown"));
}
