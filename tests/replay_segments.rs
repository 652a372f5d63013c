//! Recorded segments on their way: what comes back as it was sent, and what is turned down.

mod replay_rig;

use load_balancer::replay::{BadSegment, Segment};
use proptest::prelude::*;
use replay_rig::{START, World};
use rstest::rstest;

#[test]
fn segments_come_back_as_they_were_sent() {
    let world = World { sampled: 6554, seconds: 10.0, ..World::default() };
    let (segments, _) = world.run();
    let (mut seen, mut kept) = (0, 0);
    for s in &segments {
        let back = Segment::decode(&s.encode()).expect("good bytes");
        (seen, kept) = (seen + back.seen, kept + back.traces.len());
        assert_eq!((&back.name, back.number, &back.backends), (&s.name, s.number, &s.backends));
        for (a, b) in back.traces.iter().zip(&s.traces) {
            assert!((a.at_ms - b.at_ms).abs() < 0.001 && (a.took_ms - b.took_ms).abs() < 0.001);
            assert_eq!((a.id, a.ending, a.attempts.len()), (b.id, b.ending, b.attempts.len()));
            assert!(a.at_ms >= START);
        }
        assert_eq!(Segment::decode(&back.encode()), Ok(back), "what was rounded once stays");
    }
    let share = kept as f64 / seen as f64;
    assert!((0.07..0.13).contains(&share), "one in ten is sampled: {share}");
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
fn what_no_proxy_can_have_recorded_is_turned_down(#[case] spoil: &dyn Fn(&mut Segment), #[case] bad: &str) {
    let (mut segments, _) = World { proxies: 1, seconds: 2.0, ..World::default() }.run();
    spoil(&mut segments[0]);
    let back = Segment::decode(&segments[0].encode());
    let Err(BadSegment::Invalid { field, .. }) = back else { panic!("{back:?}") };
    assert_eq!(field, bad);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn torn_bytes_are_turned_down(cut in 0_usize..4000, flip in 0_usize..4000, bit in 0_u8..8, junk: Vec<u8>) {
        let good = GOOD.with(Vec::clone);
        prop_assert!(Segment::decode(&good[..cut.min(good.len() - 1)]).is_err());
        let mut bad = good.clone();
        bad[flip % good.len()] ^= 1 << bit;
        prop_assert!(Segment::decode(&bad).is_err());
        // A checksum that holds over whatever there is.
        let whole = |body: &[u8]| [b"TSR\x01", &crc32fast::hash(body).to_le_bytes()[..], body].concat();
        prop_assert!(Segment::decode(&whole(&junk)).is_err());
        let torn = &bad[8..];
        let _ = Segment::decode(&whole(torn));
    }
}

thread_local! {
    static GOOD: Vec<u8> = World { proxies: 1, seconds: 2.0, ..World::default() }.run().0[0].encode();
}

#[test]
fn what_unpacks_to_too_much_is_turned_down() {
    use std::io::Write;
    let mut pack = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::best());
    (0..64).for_each(|_| pack.write_all(&[0; 1 << 20]).expect("memory"));
    let body = pack.finish().expect("memory");
    let bomb = [b"TSR\x01", &crc32fast::hash(&body).to_le_bytes()[..], &body].concat();
    assert_eq!(Segment::decode(&bomb), Err(BadSegment::UnpackedTooLong));
    assert_eq!(Segment::decode(&vec![0; 5 << 20]), Err(BadSegment::TooLong { bytes: 5 << 20 }));
}
