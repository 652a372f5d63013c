//! Unit tests of `src/bin/proxy/handover.rs`, which names this file.

use super::*;

/// A folder of the test's own; what an earlier run left in it stays, as `$TMPDIR` is not emptied either.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("proxy-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder for tests takes one");
    folder
}

#[test]
fn processes_at_one_address_count_each_other_and_no_leftovers() {
    let (folder, here) = (folder("count"), SocketAddr::from(([127, 0, 0, 1], 9000)));
    let elsewhere = SocketAddr::from(([127, 0, 0, 1], 9001));
    for n in 0..4 {
        let name = format!("heathroad-{}-{}.{n}.lock", here.ip(), here.port());
        std::fs::write(folder.join(name), b"half a li").expect("written");
    }
    let first = SharedListeners::join(&folder, here).expect("a place");
    assert_eq!(first.count(), 1, "files of the killed are no processes");
    let other = SharedListeners::join(&folder, elsewhere).expect("a place");
    assert_eq!((first.count(), other.count()), (1, 1));
    let second = SharedListeners::join(&folder, here).expect("a place");
    let third = SharedListeners::join(&folder, here).expect("a place");
    assert_eq!((first.count(), second.count(), third.count()), (3, 3, 3));
    drop(first);
    assert_eq!((second.count(), third.count()), (2, 2));
    let successor = SharedListeners::join(&folder, here).expect("the place that came free");
    assert_eq!((second.count(), successor.count()), (3, 3));
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[test]
fn a_folder_that_cannot_be_used_is_an_error_and_no_more() {
    let here = SocketAddr::from(([127, 0, 0, 1], 9000));
    assert!(SharedListeners::join(Path::new("/nowhere"), here).is_err());
    let folder = folder("blocked");
    for n in 0..MAX_PROCESSES {
        let name = format!("heathroad-{}-{}.{n}.lock", here.ip(), here.port());
        std::fs::create_dir_all(folder.join(name)).expect("made");
    }
    assert!(SharedListeners::join(&folder, here).is_err());
    std::fs::remove_dir_all(folder).expect("it is there");
}
