//! The registry's data directory: a registry must open what an earlier build wrote and answer alike, and write the same
//! forms, so that the directory can be taken back to the earlier build. `golden/registry/data` was written by such a
//! build: a snapshot with services, leases and a rollout, and a log that goes on from it; `data_without_snapshot` is the
//! log before that snapshot, with every kind of record.

use crate::registry_golden::{compare, golden, masked, masked_where, play, start};
use crate::registry_rig::data_dir;
use rstest::rstest;
use std::path::{Path, PathBuf};

/// Proposals are judged, and a rollout waits for reports that nobody sends: no record is written by time alone.
const CONFIG: &str =
    "[routes]\nenabled = true\nreport_ms = 60000\nstand_ms = 86400000\nlongest_ms = 86400000\n";

/// The payloads of a file of records: length and checksum, little-endian, before each.
fn payloads(file: &Path) -> Vec<String> {
    let bytes = std::fs::read(file).expect("a file of records");
    let (mut rest, mut payloads) = (bytes.as_slice(), Vec::new());
    while let Some((head, after)) = rest.split_at_checked(8) {
        let length = u32::from_le_bytes(head[..4].try_into().expect("four bytes")) as usize;
        let (payload, next) = after.split_at(length);
        assert_eq!(head[4..], crc32fast::hash(payload).to_le_bytes(), "{}", file.display());
        payloads.push(String::from_utf8(payload.to_vec()).expect("JSON"));
        rest = next;
    }
    assert!(rest.is_empty(), "{}: whole records alone", file.display());
    payloads
}

/// One payload a line.
fn lines(file: &Path, mask: impl Fn(&str) -> String) -> String {
    payloads(file).iter().map(|payload| mask(payload) + "\n").collect()
}

/// A copy of the golden directory, with a recorded segment in its ring.
fn copied(name: &str, from: &str) -> PathBuf {
    let data = data_dir(&format!("compatibility-{name}"));
    std::fs::create_dir_all(data.join("traces")).expect("made");
    for entry in std::fs::read_dir(golden(from)).expect("a golden directory") {
        let file = entry.expect("a file");
        std::fs::copy(file.path(), data.join(file.file_name())).expect("copied");
    }
    std::fs::copy(golden("world.seg"), data.join("traces/0000000000000000.seg")).expect("copied");
    data
}

/// Versions and tokens since a start of today; those that the golden directory holds are compared as they are.
fn of_a_later_start(digits: &str) -> bool {
    const LAST: u64 = 1_796_275_558_843_943;
    digits.len() == 16 && digits.parse::<u64>().is_ok_and(|number| number > LAST)
}

#[tokio::test]
async fn the_same_operations_write_records_and_a_snapshot_of_the_same_form() {
    let data = data_dir("compatibility-store");
    let registry = start(&data, CONFIG, &[]).await;
    play("store_operations.txt", registry.address, masked).await;
    registry.kill().await;
    compare("log_records.jsonl", &lines(&data.join("log"), masked));
    // The log is compacted at once.
    start(&data, CONFIG, &["--snapshot-every", "1"]).await.kill().await;
    compare("snapshot.jsonl", &lines(&data.join("snapshot"), masked));
    let registry = start(&data, CONFIG, &[]).await;
    play("store_after_snapshot.txt", registry.address, masked).await;
    registry.kill().await;
    compare("log_after_snapshot.jsonl", &lines(&data.join("log"), masked));
}

#[tokio::test]
async fn a_directory_of_an_earlier_build_is_opened_and_answered_alike() {
    let data = copied("opened", "data");
    let before = payloads(&data.join("log"));
    let registry = start(&data, CONFIG, &[]).await;
    play("store_opened.txt", registry.address, |text| masked_where(text, of_a_later_start)).await;
    registry.kill().await;
    assert_eq!(
        payloads(&data.join("log"))[..before.len()],
        before,
        "the log goes on, nothing is written anew"
    );
}

/// Every value of the log and the snapshot, read and written again; what starts since then gave is `#`.
#[rstest]
#[case("data")]
#[case("data_without_snapshot")]
#[tokio::test]
async fn what_an_earlier_build_wrote_is_written_again_as_it_was(#[case] from: &str) {
    let data = copied(&format!("again-{from}"), from);
    start(&data, CONFIG, &["--snapshot-every", "1"]).await.kill().await;
    let snapshot = lines(&data.join("snapshot"), |text| masked_where(text, of_a_later_start));
    compare(&format!("{from}.jsonl"), &snapshot);
}
