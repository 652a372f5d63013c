//! Unit tests of `src/bin/registry/http/query.rs`, which includes this file as its module `tests`.

use super::*;

#[test]
fn valid_watch_queries_are_parsed_and_invalid_ones_are_rejected() {
    let parse = |text| watch(text, "the list", &[]);
    let wait = Duration::from_millis(60_000);
    assert_eq!(parse("after=4&wait_ms=60000"), Ok(WatchQuery { after: Some(4), wait, name: None }));
    assert_eq!(parse(""), Ok(WatchQuery::default()));
    for invalid in ["wait_ms=60001", "after=-1", "after=1&colour=red", "name=a"] {
        assert!(parse(invalid).is_err(), "{invalid}");
    }
    let parse_name = |text| watch(text, "the table", &["name", "generation"]).map(|query| query.name);
    assert_eq!(parse_name("name=a%2Fb+c&generation=5"), Ok(Some("a/b c".into())));
    for invalid in ["name=", "name=a%0a", "name=a&generation=x"] {
        assert!(parse_name(invalid).is_err(), "{invalid}");
    }
}
