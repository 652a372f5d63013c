//! Unit tests of `src/bin/proxy/body/read_ahead.rs`, which names this file.

use super::*;

/// Pieces of any size come out in order and never hold more than the budget allows.
#[test]
fn pieces_keep_their_order_and_stay_within_the_budget() {
    for piece_bytes in [1, 1000, SEGMENT_BYTES, 3 * SEGMENT_BYTES] {
        let budget = BufferBudget::new(8 * SEGMENT_BYTES);
        let mut queue = ReadAhead::new(budget.clone());
        let mut sent = Vec::new();
        while queue.reserve() {
            let piece = vec![sent.len() as u8; piece_bytes];
            sent.extend_from_slice(&piece);
            queue.push(piece.into());
        }
        assert!(sent.len() <= 4 * SEGMENT_BYTES + piece_bytes, "{} bytes are held", sent.len());
        let kept: Vec<_> = (0..4).map(|_| budget.reserve_first_piece(Some(SEGMENT_BYTES as u64))).collect();
        assert!(kept.iter().all(Option::is_some), "half of the budget is kept");
        drop(kept);
        let taken: Vec<u8> = std::iter::from_fn(|| queue.pop()).flatten().collect();
        assert!(taken == sent, "{piece_bytes}: another order");
        queue.finish();
        assert!(budget.reserve_read_ahead(4 * SEGMENT_BYTES).is_some(), "memory was not returned");
    }
}
