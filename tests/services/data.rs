//! Data directories of builds before and after this one.

use super::*;
use std::path::Path;
use std::process::Stdio;
use tokio::process::Command;

/// A record as the log holds it.
fn frame(payload: &str) -> Vec<u8> {
    let mut record = (payload.len() as u32).to_le_bytes().to_vec();
    record.extend(crc32fast::hash(payload.as_bytes()).to_le_bytes());
    record.extend(payload.as_bytes());
    record
}

fn write(data: &Path, file: &str, records: &[String]) {
    std::fs::create_dir_all(data).expect("made");
    let bytes: Vec<u8> = records.iter().flat_map(|record| frame(record)).collect();
    std::fs::write(data.join(file), bytes).expect("written");
}

/// A change as the build before services wrote it.
fn change(seq: u64, host: &str, health: &str) -> String {
    format!(
        r#"{{"seq":{seq},"entry":{{"host":"{host}","dial":"127.0.0.1:9000","site":"a","class":"m2","block":1,"health":"{health}","share":1.0,"born_ms":0.0}},"ttl_ms":600000}}"#
    )
}

/// The payloads of all records of a log.
fn payloads(data: &Path) -> Vec<String> {
    let bytes = std::fs::read(data.join("log")).expect("log");
    let (mut rest, mut payloads) = (&bytes[..], Vec::new());
    while !rest.is_empty() {
        let length = u32::from_le_bytes(rest[..4].try_into().expect("four bytes")) as usize;
        payloads.push(String::from_utf8(rest[8..8 + length].to_vec()).expect("text"));
        rest = &rest[8 + length..];
    }
    payloads
}

#[tokio::test]
async fn a_directory_from_before_services_opens_and_goes_on_in_its_form() {
    let data = data_dir("services-old");
    let lease = r#"{"duty":"routes","holder":"x","token":7,"ttl_ms":3600000}"#;
    let snapshot = format!(
        r#"{{"seq":120,"horizon":105,"gaps":[[0,100]],"token":100,"leases":[],"changes":[{},{}]}}"#,
        change(110, "old-a", "SERVING"),
        change(120, "old-b", "DELETED")
    );
    write(&data, "snapshot", &[snapshot]);
    let without_ttl = change(131, "old-c", "DRAINING").replace(r#","ttl_ms":600000"#, "");
    let log = [
        // Met again, as after a crash between the snapshot and the new log.
        change(120, "old-b", "DELETED"),
        r#"{"start":130}"#.to_string(),
        without_ttl,
        change(132, "old-d", "SERVING"),
        r#"{"renewal":{"host":"old-c","ttl_ms":500000}}"#.to_string(),
        format!(r#"{{"lease":{lease}}}"#),
        change(133, "old-d", "DELETED"),
    ];
    write(&data, "log", &log);
    let before = payloads(&data);

    let registry = Registry::start(&data, &[]).await;
    let page = list(&registry, "").await;
    assert_eq!(host_names(&page), ["old-a", "old-c"]);
    let whole: Vec<u64> = [104, 105, 119, 120, 125, 130, 132, 133].into_iter().collect();
    let mut answers = Vec::new();
    for after in &whole {
        let page = watch(registry.address, "", *after, 0).await;
        answers.push((page["whole"] == true, host_names(&page).len()));
    }
    // From before the horizon and from the gap: whole lists; else what changed after it.
    let deltas =
        [(true, 2), (false, 4), (false, 3), (false, 2), (true, 2), (false, 2), (false, 1), (false, 0)];
    assert_eq!(answers, deltas);
    let (status, leases) = registry.call("GET", "/registry/leases", "").await;
    assert!(status == 200 && leases.contains(lease), "{leases}");
    assert!(host_names(&list(&registry, "named").await).is_empty());

    // What the service of no name writes is read by the build before, too.
    let seq = put(&registry, "", "new", "SERVING").await;
    let named = put(&registry, "named", "new", "SERVING").await;
    registry.kill().await;
    let after = payloads(&data);
    assert_eq!(after[..before.len()], before, "what was there stays");
    assert!(after[before.len()].starts_with(r#"{"start":"#));
    assert_eq!(after[before.len() + 1], change(seq, "new", "SERVING"));
    assert!(
        after[before.len() + 2]
            .starts_with(&format!(r#"{{"service":{{"name":"named","update":{{"change":{{"seq":{named},"#))
    );
}

#[tokio::test]
async fn a_snapshot_holds_every_service_and_one_without_has_the_old_form() {
    let data = data_dir("services-snapshot");
    let every = ["--snapshot-every", "1"];
    let registry = Registry::start(&data, &every).await;
    put(&registry, "", "u", "SERVING").await;
    registry.kill().await;
    let text = |data: &Path| {
        String::from_utf8(std::fs::read(data.join("snapshot")).expect("snapshot")[8..].to_vec())
    };
    let old: Value = serde_json::from_str(&text(&data).expect("text")).expect("json");
    let keys: Vec<&str> = old.as_object().expect("an object").keys().map(String::as_str).collect();
    assert_eq!(keys, ["changes", "gaps", "horizon", "leases", "seq", "token"]);

    let registry = Registry::start(&data, &every).await;
    let first = put(&registry, "a", "a0", "SERVING").await;
    put(&registry, "a", "a1", "SERVING").await;
    put(&registry, "a", "a0", "DELETED").await;
    put(&registry, "b", "u", "SERVING").await;
    registry.kill().await;
    let registry = Registry::start(&data, &every).await;
    for (service, host) in [("", "u"), ("a", "a1"), ("b", "u")] {
        assert_eq!(host_names(&list(&registry, service).await), [host]);
    }
    let delta = watch(registry.address, "a", first, 0).await;
    assert_eq!(
        (&delta["whole"], host_names(&delta)),
        (&false.into(), vec!["a1".to_string(), "a0".to_string()])
    );
}

/// What a start says that does not come to listen.
async fn refused(data: &Path) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_registry"));
    command.args(["--listen", "127.0.0.1:0", "--data"]).arg(data).stdin(Stdio::null());
    // One that does come to listen is ended with the test.
    let output = within_deadline(command.kill_on_drop(true).output()).await.expect("the registry runs");
    assert!(!output.status.success());
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[tokio::test]
async fn a_record_of_a_later_build_ends_the_start_and_nothing_is_cut() {
    let later = [
        r#"{"shard":{"of":4}}"#.to_string(),
        r#"{"service":{"name":"a","update":{"split":9}}}"#.to_string(),
        r#"{"service":{"name":"Not A Name","update":{"renewal":{"host":"h","ttl_ms":5}}}}"#.to_string(),
        change(3, "c", "SERVING").replace("\"ttl_ms\"", "\"region\":\"eu\",\"ttl_ms\""),
        "{}".to_string(),
    ];
    for (index, later) in later.into_iter().enumerate() {
        let data = data_dir(&format!("services-later-{index}"));
        write(&data, "log", &[change(1, "a", "SERVING"), later.clone(), change(4, "d", "SERVING")]);
        let before = std::fs::read(data.join("log")).expect("log");
        let said = refused(&data).await;
        assert!(said.contains("a later build wrote it: start that one"), "{later}: {said}");
        assert!(said.contains("record 2 "), "{said}");
        assert_eq!(std::fs::read(data.join("log")).expect("log"), before, "{later}");
        assert!(!data.join("snapshot").exists());
    }
    let data = data_dir("services-later-snapshot");
    write(&data, "snapshot", &[r#"{"seq":1,"horizon":0,"changes":[],"shards":[]}"#.to_string()]);
    let said = refused(&data).await;
    assert!(said.contains("snapshot: ") && said.contains("a later build wrote it"), "{said}");
}

#[tokio::test]
async fn zeros_after_the_last_record_are_a_torn_tail() {
    let data = data_dir("services-zeros");
    write(&data, "log", &[change(1, "a", "SERVING")]);
    let mut bytes = std::fs::read(data.join("log")).expect("log");
    bytes.extend([0; 64]);
    std::fs::write(data.join("log"), bytes).expect("written");
    let mut registry = Registry::start(&data, &[]).await;
    assert_eq!(registry.wait_for_log("torn or spoilt tail cut off the log").await["bytes"], 64);
    assert_eq!(host_names(&list(&registry, "").await), ["a"]);
}
