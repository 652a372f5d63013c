//! Unit tests of `src/bin/proxy/handover.rs`, which names this file.

use super::*;

/// Creates a directory for one test. Files of an earlier run stay in it, as in a real `$TMPDIR`.
fn lock_dir(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("proxy-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the test's directory");
    folder
}

#[test]
fn processes_at_one_address_count_each_other_but_no_stale_lock_files() {
    let (folder, here) = (lock_dir("count"), SocketAddr::from(([127, 0, 0, 1], 9000)));
    let elsewhere = SocketAddr::from(([127, 0, 0, 1], 9001));
    for n in 0..4 {
        let name = format!("heathroad-{}-{}.{n}.lock", here.ip(), here.port());
        std::fs::write(folder.join(name), b"half a li").expect("write a stale lock file");
    }
    let first = SharedListeners::join(&folder, here).expect("a free lock file");
    assert_eq!(first.count(), 1, "lock files of killed processes must not be counted");
    let other = SharedListeners::join(&folder, elsewhere).expect("a free lock file");
    assert_eq!((first.count(), other.count()), (1, 1));
    let second = SharedListeners::join(&folder, here).expect("a free lock file");
    let third = SharedListeners::join(&folder, here).expect("a free lock file");
    assert_eq!((first.count(), second.count(), third.count()), (3, 3, 3));
    drop(first);
    assert_eq!((second.count(), third.count()), (2, 2));
    let successor = SharedListeners::join(&folder, here).expect("the lock file that was released");
    assert_eq!((second.count(), successor.count()), (3, 3));
    std::fs::remove_dir_all(folder).expect("remove the lock directory");
}

#[test]
fn joining_fails_with_an_error_if_the_directory_cannot_be_used() {
    let here = SocketAddr::from(([127, 0, 0, 1], 9000));
    assert!(SharedListeners::join(Path::new("/nowhere"), here).is_err());
    let folder = lock_dir("blocked");
    for n in 0..MAX_PROCESSES {
        let name = format!("heathroad-{}-{}.{n}.lock", here.ip(), here.port());
        std::fs::create_dir_all(folder.join(name)).expect("create a directory in place of the lock file");
    }
    assert!(SharedListeners::join(&folder, here).is_err());
    std::fs::remove_dir_all(folder).expect("remove the lock directory");
}
