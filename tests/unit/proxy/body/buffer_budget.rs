//! Unit tests of `src/bin/proxy/body/buffer_budget.rs`, which names this file.

use super::*;

#[test]
fn what_is_held_keeps_to_its_budget() {
    let budget = BufferBudget::new(MAX_BUFFERED_BODY_BYTES + 1000);
    assert!(budget.reserve(Some(MAX_BUFFERED_BODY_BYTES as u64 + 1)).is_none(), "too long to be held at all");
    let mut first = budget.reserve(None).expect("budget for one of any length");
    let second = budget.reserve(Some(1000)).expect("and for a small one");
    assert!(budget.reserve(Some(1)).is_none());
    first.shrink(10);
    first.shrink(20);
    assert!(budget.reserve(None).is_none());
    drop(second);
    drop(budget.reserve(Some(MAX_BUFFERED_BODY_BYTES as u64)).expect("given back"));
    drop(first);
    assert_eq!(budget.0.get(), MAX_BUFFERED_BODY_BYTES + 1000);
}
