//! Unit tests of `src/bin/proxy/body/buffer_budget.rs`, which names this file.

use super::*;

#[test]
fn reservations_never_exceed_the_budget_and_are_returned() {
    let budget = BufferBudget::new(MAX_BUFFERED_BODY_BYTES + PIECE_BYTES + 1000);
    assert!(
        budget.reserve_first_piece(Some(MAX_BUFFERED_BODY_BYTES as u64 + 1)).is_none(),
        "a body above the buffering limit must get no reservation"
    );
    let mut first = budget.reserve_first_piece(None).expect("budget for a body of unknown length");
    for bytes in (0..=MAX_BUFFERED_BODY_BYTES).step_by(1000) {
        assert!(first.cover_next_piece(bytes), "budget for {bytes} bytes and a piece");
        assert!(first.covers(bytes + PIECE_BYTES));
    }
    let left = budget.left.get();
    let second = budget.reserve_first_piece(Some(left as u64)).expect("budget for a small body");
    assert!(budget.reserve_first_piece(Some(1)).is_none());
    assert!(!first.cover_next_piece(MAX_BUFFERED_BODY_BYTES + PIECE_BYTES), "no more is left");
    first.shrink(10);
    first.shrink(20);
    assert!(!first.covers(11));
    drop(second);
    let mut longest = budget
        .reserve_first_piece(Some(MAX_BUFFERED_BODY_BYTES as u64))
        .expect("budget for the longest body");
    assert!(longest.cover_next_piece(MAX_BUFFERED_BODY_BYTES - PIECE_BYTES));
    drop((longest, first));
    assert_eq!(budget.left.get(), MAX_BUFFERED_BODY_BYTES + PIECE_BYTES + 1000);
}
