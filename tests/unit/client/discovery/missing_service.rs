//! Unit tests of `src/client/discovery/missing_service.rs`, which includes this file as a module.

use super::*;

#[test]
fn a_service_without_backends_is_logged_once_each_time_that_its_list_becomes_empty() {
    let service: ServiceName = "search".parse().expect("the service name is valid");
    let mut warning = MissingServiceWarning::default();
    let lists = [false, true, true, true, false, true, true];
    let logged: Vec<bool> =
        lists.iter().map(|&is_empty| warning.record_full_list(&service, is_empty)).collect();
    assert_eq!(logged, [false, true, false, false, false, true, false]);
}
