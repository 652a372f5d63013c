//! Unit tests of `src/bin/proxy/sent_ids/`, which names this file.

use super::*;
use std::fs;

fn id(number: u64) -> IdHash {
    IdHash(number << 1)
}

/// Returns the files of two processes in a new folder.
fn files(name: &str) -> Vec<PathBuf> {
    let folder = std::env::temp_dir().join(format!("sent-ids-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("the folder for temporary files is writable");
    (0..2).map(|n| folder.join(n.to_string())).collect()
}

/// Memory must not grow with the ids of a client that sends ever new ones.
#[test]
fn the_oldest_ids_are_forgotten_and_the_others_kept() {
    let sent = SentIds::new(0);
    let (capacity, _) = ID_COUNTS;
    let last = 3 * capacity as u64;
    for number in 0..last {
        assert!(sent.claim(id(number)));
        if number % 7 == 0 {
            sent.release(id(number));
        }
    }
    let kept = last - capacity as u64;
    let is_remembered = |number| sent.may_have_run(id(number));
    assert!((kept..last).all(|number| is_remembered(number) == (number % 7 != 0)));
    assert!(!(0..kept).any(is_remembered));
}

#[test]
fn a_released_id_can_be_claimed_again() {
    let sent = SentIds::new(0);
    assert!(sent.claim(id(1)) && !sent.claim(id(1)));
    sent.release(id(1));
    assert!(!sent.may_have_run(id(1)) && sent.claim(id(1)));
}

/// An id ran twice when it came again at the other process of an upgrade.
#[test]
fn processes_at_one_address_see_each_others_ids() {
    let files = files("two");
    let (old, new) = (SentIds::new(0), SentIds::new(0));
    old.share(files.clone(), 0);
    assert!(old.claim(id(1)) && old.claim(id(2)));
    old.release(id(2));
    new.share(files.clone(), 1);
    assert!(!new.claim(id(1)) && new.claim(id(2)));
    assert!(new.claim(id(3)) && !old.claim(id(3)));
    // A third process takes the place of the old one, and its file.
    drop(old);
    let third = SentIds::new(0);
    third.share(files, 0);
    assert!([1, 2, 3].iter().all(|number| third.may_have_run(id(*number))));
    assert!(third.claim(id(4)) && !new.claim(id(4)));
}

/// A file that cannot be written does not keep ids from being remembered here.
#[test]
fn ids_are_remembered_without_a_writable_folder() {
    let sent = SentIds::new(0);
    sent.share(vec![PathBuf::from("/nonexistent/0")], 0);
    assert!(sent.claim(id(1)) && !sent.claim(id(1)));
}
