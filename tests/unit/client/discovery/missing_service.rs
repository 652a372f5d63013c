//! Unit tests of `src/client/discovery/missing_service.rs`, which names this file.

use super::*;

#[test]
fn a_service_without_backends_is_logged_once_until_it_has_had_some() {
    let service: ServiceName = "search".parse().expect("a name");
    let mut warning = MissingServiceWarning::default();
    let lists = [false, true, true, true, false, true, true];
    let logged: Vec<bool> =
        lists.iter().map(|&is_empty| warning.record_full_list(&service, is_empty)).collect();
    assert_eq!(logged, [false, true, false, false, false, true, false]);
}
