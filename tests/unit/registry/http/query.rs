//! Unit tests of `src/bin/registry/http/query.rs`, which names this file.

use super::*;

#[test]
fn a_watch_is_read_or_refused_plainly() {
    let query = |text| watch(text, "the list", &[]);
    let wait = Duration::from_millis(60_000);
    assert_eq!(query("after=4&wait_ms=60000"), Ok(WatchQuery { after: Some(4), wait, name: None }));
    assert_eq!(query(""), Ok(WatchQuery::default()));
    for bad in ["wait_ms=60001", "after=-1", "after=1&colour=red", "name=a"] {
        assert!(query(bad).is_err(), "{bad}");
    }
    let named = |text| watch(text, "the table", &["name", "generation"]).map(|query| query.name);
    assert_eq!(named("name=a%2Fb+c&generation=5"), Ok(Some("a/b c".into())));
    for bad in ["name=", "name=a%0a", "name=a&generation=x"] {
        assert!(named(bad).is_err(), "{bad}");
    }
}
