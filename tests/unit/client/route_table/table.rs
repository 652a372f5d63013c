//! Unit tests of `src/client/route_table/table.rs`, which names this file.

use super::*;

fn page(revision: Revision, weights: &[(&str, f64)]) -> Page {
    let backends = weights.iter().map(|(name, weight)| (name.to_string(), *weight)).collect();
    let weights = Weights { backends, ..Weights::default() };
    Page { revision, digest: weights.digest(), weights, newest: revision }
}

#[test]
fn a_table_is_taken_once_and_never_one_that_is_spoilt_or_goes_back() {
    let mut held = Held::default();
    let first = page(3, &[("s1", 0.5)]);
    assert_eq!(first.news(&held), Ok(true));
    held.take(&first);
    assert_eq!(first.news(&held), Ok(false), "it is held");
    assert_eq!(page(2, &[]).news(&held), Err(TableError::Behind { revision: 2, held: 3 }));
    assert_eq!(page(3, &[("s1", 0.6)]).news(&held), Err(TableError::Other { held: 3 }));
    assert!(matches!(page(4, &[("s1", -1.0)]).news(&held), Err(TableError::Weight { .. })));
    assert!(matches!(page(4, &[("s1", f64::INFINITY)]).news(&held), Err(TableError::Weight { .. })));
    let torn = Page { digest: "00".repeat(8), ..page(4, &[("s1", 0.6)]) };
    assert!(matches!(torn.news(&held), Err(TableError::Digest { revision: 4, .. })));
    let many: Vec<String> = (0..=MAX_WEIGHTS).map(|n| format!("s{n}")).collect();
    let many: Vec<(&str, f64)> = many.iter().map(|name| (name.as_str(), 1.0)).collect();
    assert!(matches!(page(4, &many).news(&held), Err(TableError::Size { .. })));
    assert_eq!(page(4, &[("s1", 0.6)]).news(&held), Ok(true));
}

#[test]
fn a_table_keeps_its_digest_on_the_way_whatever_its_weights() {
    let mut chance = fastrand::Rng::with_seed(5);
    for n in 0..10_000 {
        let sent = page(n, &[("s1", chance.f64() * 10.0), ("s2", chance.f64())]);
        let text =
            serde_json::json!({"revision": n, "weights": sent.weights, "digest": sent.digest}).to_string();
        let came: Page = serde_json::from_str(&text).expect("JSON");
        assert_eq!(came.news(&Held::default()), Ok(true), "{text}");
    }
}
