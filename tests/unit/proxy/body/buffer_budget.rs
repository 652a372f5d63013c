//! Unit tests of `src/bin/proxy/body/buffer_budget.rs`, which names this file.

use super::*;

#[test]
fn reservations_never_exceed_the_budget_and_are_returned() {
    let budget = BufferBudget::new(MAX_BUFFERED_BODY_BYTES + 1000);
    assert!(
        budget.reserve(Some(MAX_BUFFERED_BODY_BYTES as u64 + 1)).is_none(),
        "a body above the buffering limit must get no reservation"
    );
    let mut first = budget.reserve(None).expect("budget for a body of unknown length");
    let second = budget.reserve(Some(1000)).expect("budget for a small body");
    assert!(budget.reserve(Some(1)).is_none());
    first.shrink(10);
    first.shrink(20);
    assert!(budget.reserve(None).is_none());
    drop(second);
    drop(
        budget
            .reserve(Some(MAX_BUFFERED_BODY_BYTES as u64))
            .expect("budget for the longest body after the others were returned"),
    );
    drop(first);
    assert_eq!(budget.left.get(), MAX_BUFFERED_BODY_BYTES + 1000);
}
