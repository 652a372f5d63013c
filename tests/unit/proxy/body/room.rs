//! Unit tests of `src/bin/proxy/body/room.rs`, which names this file.

use super::*;

#[test]
fn what_is_held_keeps_to_its_room() {
    let room = Room::new(SMALL + 1000);
    assert!(room.take(Some(SMALL as u64 + 1)).is_none(), "too long to be held at all");
    let mut first = room.take(None).expect("room for one of any length");
    let second = room.take(Some(1000)).expect("and for a small one");
    assert!(room.take(Some(1)).is_none());
    first.shrink(10);
    first.shrink(20);
    assert!(room.take(None).is_none());
    drop(second);
    drop(room.take(Some(SMALL as u64)).expect("given back"));
    drop(first);
    assert_eq!(room.0.get(), SMALL + 1000);
}
