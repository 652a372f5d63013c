//! Data directories of earlier and later builds, and a torn end of the log.

use super::*;
use std::path::Path;
use std::process::Stdio;
use tokio::process::Command;

/// Encodes a payload as a framed record of the log.
fn frame(payload: &str) -> Vec<u8> {
    let mut framed = (payload.len() as u32).to_le_bytes().to_vec();
    framed.extend(crc32fast::hash(payload.as_bytes()).to_le_bytes());
    framed.extend(payload.as_bytes());
    framed
}

/// Creates a file of framed records in a data directory.
fn write_records(data: &Path, file: &str, records: &[String]) {
    std::fs::create_dir_all(data).expect("the data directory is created");
    let bytes: Vec<u8> = records.iter().flat_map(|record| frame(record)).collect();
    std::fs::write(data.join(file), bytes).expect("the file is written");
}

/// Returns the payload of a change, as builds from before named services wrote it.
fn change(seq: u64, host: &str, health: &str) -> String {
    format!(
        r#"{{"seq":{seq},"entry":{{"host":"{host}","dial":"127.0.0.1:9000","site":"a","class":"m2","block":1,"health":"{health}","share":1.0,"born_ms":0.0}},"ttl_ms":600000}}"#
    )
}

fn read_log(data: &Path) -> Vec<u8> {
    std::fs::read(data.join("log")).expect("the log is read")
}

/// Returns the payloads of all records of a log.
fn log_payloads(data: &Path) -> Vec<String> {
    let bytes = read_log(data);
    let (mut rest, mut payloads) = (&bytes[..], Vec::new());
    while !rest.is_empty() {
        let length = u32::from_le_bytes(rest[..4].try_into().expect("the slice has four bytes")) as usize;
        payloads.push(String::from_utf8(rest[8..8 + length].to_vec()).expect("the payload is UTF-8"));
        rest = &rest[8 + length..];
    }
    payloads
}

#[tokio::test]
async fn a_directory_from_before_named_services_opens_and_keeps_its_format() {
    let data = data_dir("services-old");
    let lease = r#"{"duty":"routes","holder":"x","token":7,"ttl_ms":3600000}"#;
    let snapshot = format!(
        r#"{{"seq":120,"horizon":105,"gaps":[[0,100]],"token":100,"leases":[],"changes":[{},{}]}}"#,
        change(110, "old-a", "SERVING"),
        change(120, "old-b", "DELETED")
    );
    write_records(&data, "snapshot", &[snapshot]);
    let without_ttl = change(131, "old-c", "DRAINING").replace(r#","ttl_ms":600000"#, "");
    let log = [
        // Also in the snapshot, as after a crash between writing the snapshot and truncating the log.
        change(120, "old-b", "DELETED"),
        r#"{"start":130}"#.to_string(),
        without_ttl,
        change(132, "old-d", "SERVING"),
        r#"{"renewal":{"host":"old-c","ttl_ms":500000}}"#.to_string(),
        format!(r#"{{"lease":{lease}}}"#),
        change(133, "old-d", "DELETED"),
    ];
    write_records(&data, "log", &log);
    let before = log_payloads(&data);

    let registry = Registry::start(&data, &[]).await;
    let page = list(&registry, "").await;
    assert_eq!(host_names(&page), ["old-a", "old-c"]);
    let versions: Vec<u64> = [104, 105, 119, 120, 125, 130, 132, 133].into_iter().collect();
    let mut answers = Vec::new();
    for after in &versions {
        let page = watch(registry.address, "", *after, 0).await;
        answers.push((page["whole"] == true, host_names(&page).len()));
    }
    // A version before the horizon or in a gap gets the full list, any other the changes after it.
    let expected =
        [(true, 2), (false, 4), (false, 3), (false, 2), (true, 2), (false, 2), (false, 1), (false, 0)];
    assert_eq!(answers, expected);
    let (status, leases) = registry.call("GET", "/registry/leases", "").await;
    assert!(status == 200 && leases.contains(lease), "{leases}");
    assert!(host_names(&list(&registry, "named").await).is_empty());

    // Records of the unnamed service keep the format that earlier builds read.
    let seq = put(&registry, "", "new", "SERVING").await;
    let named = put(&registry, "named", "new", "SERVING").await;
    registry.kill().await;
    let after = log_payloads(&data);
    assert_eq!(after[..before.len()], before, "the existing records are unchanged");
    assert!(after[before.len()].starts_with(r#"{"start":"#));
    assert_eq!(after[before.len() + 1], change(seq, "new", "SERVING"));
    assert!(
        after[before.len() + 2]
            .starts_with(&format!(r#"{{"service":{{"name":"named","update":{{"change":{{"seq":{named},"#))
    );
}

#[tokio::test]
async fn a_snapshot_has_every_service_and_without_named_ones_keeps_the_old_format() {
    let data = data_dir("services-snapshot");
    let flags = ["--snapshot-every", "1"];
    let registry = Registry::start(&data, &flags).await;
    put(&registry, "", "u", "SERVING").await;
    registry.kill().await;
    let framed = std::fs::read(data.join("snapshot")).expect("the snapshot is read");
    let snapshot = String::from_utf8(framed[8..].to_vec()).expect("the snapshot is UTF-8");
    let snapshot: Value = serde_json::from_str(&snapshot).expect("the snapshot is JSON");
    let keys: Vec<&str> =
        snapshot.as_object().expect("the snapshot is an object").keys().map(String::as_str).collect();
    assert_eq!(keys, ["changes", "gaps", "horizon", "leases", "seq", "token"]);

    let registry = Registry::start(&data, &flags).await;
    let first = put(&registry, "a", "a0", "SERVING").await;
    put(&registry, "a", "a1", "SERVING").await;
    put(&registry, "a", "a0", "DELETED").await;
    put(&registry, "b", "u", "SERVING").await;
    registry.kill().await;
    let registry = Registry::start(&data, &flags).await;
    for (service, host) in [("", "u"), ("a", "a1"), ("b", "u")] {
        assert_eq!(host_names(&list(&registry, service).await), [host]);
    }
    let delta = watch(registry.address, "a", first, 0).await;
    assert_eq!(
        (&delta["whole"], host_names(&delta)),
        (&false.into(), vec!["a1".to_string(), "a0".to_string()])
    );
}

/// Starts a registry that must fail before it listens, and returns its output.
async fn failed_start_output(data: &Path) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_registry"));
    command.args(["--listen", "127.0.0.1:0", "--data"]).arg(data).stdin(Stdio::null());
    // A registry that listens nevertheless is killed at the end of the test.
    let output = within_deadline(command.kill_on_drop(true).output()).await.expect("the registry is run");
    assert!(!output.status.success());
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[tokio::test]
async fn a_record_of_a_later_build_makes_the_start_fail_and_leaves_the_log_unchanged() {
    let unknown_records = [
        r#"{"shard":{"of":4}}"#.to_string(),
        r#"{"service":{"name":"a","update":{"split":9}}}"#.to_string(),
        r#"{"service":{"name":"Not A Name","update":{"renewal":{"host":"h","ttl_ms":5}}}}"#.to_string(),
        change(3, "c", "SERVING").replace("\"ttl_ms\"", "\"region\":\"eu\",\"ttl_ms\""),
        "{}".to_string(),
    ];
    for (index, unknown) in unknown_records.into_iter().enumerate() {
        let data = data_dir(&format!("services-later-{index}"));
        let records = [change(1, "a", "SERVING"), unknown.clone(), change(4, "d", "SERVING")];
        write_records(&data, "log", &records);
        let before = read_log(&data);
        let output = failed_start_output(&data).await;
        assert!(output.contains("a later build wrote it: start that one"), "{unknown}: {output}");
        assert!(output.contains("record 2 "), "{output}");
        assert_eq!(read_log(&data), before, "{unknown}");
        assert!(!data.join("snapshot").exists());
    }
    let data = data_dir("services-later-snapshot");
    write_records(&data, "snapshot", &[r#"{"seq":1,"horizon":0,"changes":[],"shards":[]}"#.to_string()]);
    let output = failed_start_output(&data).await;
    assert!(output.contains("snapshot: ") && output.contains("a later build wrote it"), "{output}");
}

#[tokio::test]
async fn zeros_after_the_last_record_are_cut_off_as_a_torn_write() {
    let data = data_dir("services-zeros");
    write_records(&data, "log", &[change(1, "a", "SERVING")]);
    let mut bytes = read_log(&data);
    bytes.extend([0; 64]);
    std::fs::write(data.join("log"), bytes).expect("the log is written");
    let mut registry = Registry::start(&data, &[]).await;
    assert_eq!(registry.wait_for_log("torn or spoilt tail cut off the log").await["bytes"], 64);
    assert_eq!(host_names(&list(&registry, "").await), ["a"]);
}
