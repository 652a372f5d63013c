//! Recorded traffic segments: proxies of one build send them to a registry of another, and registries keep them on
//! disk over an upgrade. Their bytes name no fields, so that a field that moves is read as another without an error:
//! what is read is held against a text with every value.

use crate::registry_golden::{compare, golden};
use load_balancer::replay::Segment;
use rstest::rstest;
use std::io::Read;
use std::time::{SystemTime, UNIX_EPOCH};

/// A golden segment of a later process, as if it had ended so long ago.
pub fn ended_before(file: &str, ago_ms: u64, process: u64) -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as f64;
    let packed = read(file);
    let ended = Segment::decode(&packed).expect("it is read").span_ms.1;
    crate::routes_rig::shift_packed(&packed, now - ago_ms as f64 - ended, process)
}

fn read(file: &str) -> Vec<u8> {
    std::fs::read(golden(file)).expect("a golden segment")
}

/// What was packed, without magic, version and checksum.
fn unpacked(segment: &[u8]) -> Vec<u8> {
    let mut plain = Vec::new();
    flate2::read::DeflateDecoder::new(&segment[8..]).read_to_end(&mut plain).expect("deflate");
    plain
}

/// `world` is of a simulated fleet, `every_value` has each value of each enumeration and every optional field.
#[rstest]
#[case("world")]
#[case("every_value")]
fn a_segment_of_an_earlier_build_is_read_alike_and_written_alike(#[case] name: &str) {
    let packed = read(&format!("{name}.seg"));
    assert_eq!(packed[..4], *b"TSR\x01", "magic and version");
    assert_eq!(packed[4..8], crc32fast::hash(&packed[8..]).to_le_bytes(), "checksum");
    let segment = Segment::decode(&packed).expect("it is read");
    compare(&format!("{name}.json"), &(serde_json::to_string(&segment).expect("JSON") + "\n"));
    let again = segment.encode();
    assert_eq!(again[..4], packed[..4], "magic and version");
    assert!(unpacked(&again) == unpacked(&packed), "the bytes before packing differ");
}
