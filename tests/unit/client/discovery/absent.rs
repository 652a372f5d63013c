//! Unit tests of `src/client/discovery/absent.rs`, which names this file.

use super::*;

#[test]
fn a_service_without_backends_is_told_of_once_until_it_has_had_some() {
    let service: ServiceName = "search".parse().expect("a name");
    let mut absent = AbsentService::default();
    let lists = [false, true, true, true, false, true, true];
    let news: Vec<bool> = lists.iter().map(|&empty| absent.heard(&service, empty)).collect();
    assert_eq!(news, [false, true, false, false, false, true, false]);
}
