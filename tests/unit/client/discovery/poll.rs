//! Unit tests of `src/client/discovery/poll.rs`, which names this file.

use super::*;

#[test]
fn a_service_stands_behind_the_paths_that_are_as_before_without_one() {
    let service: ServiceName = "search.eu".parse().expect("a name");
    let second = Duration::from_secs(1);
    assert_eq!(path(None, Duration::ZERO, None), "/registry/instances");
    assert_eq!(path(Some(7), second, None), "/registry/instances?after=7&wait_ms=1000");
    assert_eq!(path(Some(7), Duration::ZERO, None), "/registry/instances?after=7&wait_ms=1");
    assert_eq!(path(None, Duration::ZERO, Some(&service)), "/registry/instances?service=search.eu");
    let watch = "/registry/instances?after=7&wait_ms=1000&service=search.eu";
    assert_eq!(path(Some(7), second, Some(&service)), watch);
}
