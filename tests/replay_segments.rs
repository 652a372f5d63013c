//! The encoding of recorded segments: the round trip, and the rejection of damaged or impossible ones.

mod replay_rig;

use load_balancer::replay::{BadSegment, Segment};
use proptest::prelude::*;
use replay_rig::{FleetScenario, START_MS};
use rstest::rstest;

#[test]
fn decoded_segments_equal_the_encoded_ones() {
    let scenario = FleetScenario { sampled: 6554, duration_s: 10.0, ..FleetScenario::default() };
    let mut seen = 0;
    let mut sampled = 0;
    for segment in &scenario.run().segments {
        let decoded = Segment::decode(&segment.encode()).expect("an encoded segment can be decoded");
        seen += decoded.seen;
        sampled += decoded.traces.len();
        assert_eq!(
            (&decoded.name, decoded.number, &decoded.backends),
            (&segment.name, segment.number, &segment.backends)
        );
        for (a, b) in decoded.traces.iter().zip(&segment.traces) {
            assert!((a.at_ms - b.at_ms).abs() < 0.001 && (a.took_ms - b.took_ms).abs() < 0.001);
            assert_eq!((a.id, a.ending, a.attempts.len()), (b.id, b.ending, b.attempts.len()));
            assert!(a.at_ms >= START_MS);
        }
        assert_eq!(Segment::decode(&decoded.encode()), Ok(decoded), "rounding a second time changes nothing");
    }
    let share = sampled as f64 / seen as f64;
    assert!((0.07..0.13).contains(&share), "one request in ten is sampled: {share}");
}

#[rstest]
#[case(&|s: &mut Segment| s.traces[0].attempts[0].backend = 99, "backend")]
#[case(&|s: &mut Segment| s.backends[0].3 = f64::INFINITY, "backends")]
#[case(&|s: &mut Segment| s.traces.swap(0, 5), "at_ms")]
#[case(&|s: &mut Segment| s.sampled = 0, "sampled")]
#[case(&|s: &mut Segment| s.seen = 1, "traces")]
#[case(&|s: &mut Segment| s.span_ms.0 = f64::NAN, "span_ms")]
#[case(&|s: &mut Segment| s.name = "n".repeat(300), "name")]
#[case(&|s: &mut Segment| s.traces[2].client_timeout_ms = 1e9, "patience_ms")]
fn impossible_values_are_rejected(#[case] corrupt: &dyn Fn(&mut Segment), #[case] invalid_field: &str) {
    let mut segment = first_segment();
    corrupt(&mut segment);
    let decoded = Segment::decode(&segment.encode());
    let Err(BadSegment::Invalid { field, .. }) = decoded else { panic!("{decoded:?}") };
    assert_eq!(field, invalid_field);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn damaged_bytes_are_rejected(cut in 0_usize..4000, flip in 0_usize..4000, bit in 0_u8..8, junk: Vec<u8>) {
        let intact = ENCODED.with(Vec::clone);
        prop_assert!(Segment::decode(&intact[..cut.min(intact.len() - 1)]).is_err());
        let mut flipped = intact.clone();
        flipped[flip % intact.len()] ^= 1 << bit;
        prop_assert!(Segment::decode(&flipped).is_err());
        prop_assert!(Segment::decode(&with_header(&junk)).is_err());
        // A flipped bit under a valid checksum may or may not decode, but must not panic.
        let _ = Segment::decode(&with_header(&flipped[8..]));
    }
}

/// Prepends a valid header: magic, version and checksum.
fn with_header(body: &[u8]) -> Vec<u8> {
    [b"TSR\x01", &crc32fast::hash(body).to_le_bytes()[..], body].concat()
}

fn first_segment() -> Segment {
    let scenario = FleetScenario { proxies: 1, duration_s: 2.0, ..FleetScenario::default() };
    scenario.run().segments.swap_remove(0)
}

thread_local! {
    static ENCODED: Vec<u8> = first_segment().encode();
}

#[test]
fn segments_over_the_size_limits_are_rejected() {
    use std::io::Write;
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::best());
    (0..64).for_each(|_| encoder.write_all(&[0; 1 << 20]).expect("writes to memory can't fail"));
    let body = encoder.finish().expect("writes to memory can't fail");
    assert_eq!(Segment::decode(&with_header(&body)), Err(BadSegment::UnpackedTooLong));
    assert_eq!(Segment::decode(&vec![0; 5 << 20]), Err(BadSegment::TooLong { bytes: 5 << 20 }));
}
