//! Unit tests of `src/client/route_table/table.rs`, which names this file.

use super::*;

fn response(revision: Revision, weights: &[(&str, f64)]) -> TableResponse {
    let backends = weights.iter().map(|(name, weight)| (name.to_string(), *weight)).collect();
    let weights = Weights { backends, ..Weights::default() };
    TableResponse { revision, digest: weights.digest(), weights, newest: revision }
}

#[test]
fn a_table_is_taken_once_and_never_one_that_is_spoilt_or_goes_back() {
    let mut current = CurrentTable::default();
    let first = response(3, &[("s1", 0.5)]);
    assert_eq!(first.is_new(&current), Ok(true));
    current.set(&first);
    assert_eq!(first.is_new(&current), Ok(false), "it is held");
    assert_eq!(response(2, &[]).is_new(&current), Err(TableError::Behind { revision: 2, current: 3 }));
    assert_eq!(response(3, &[("s1", 0.6)]).is_new(&current), Err(TableError::Conflict { current: 3 }));
    assert!(matches!(response(4, &[("s1", -1.0)]).is_new(&current), Err(TableError::Weight { .. })));
    assert!(matches!(response(4, &[("s1", f64::INFINITY)]).is_new(&current), Err(TableError::Weight { .. })));
    let torn = TableResponse { digest: "00".repeat(8), ..response(4, &[("s1", 0.6)]) };
    assert!(matches!(torn.is_new(&current), Err(TableError::Digest { revision: 4, .. })));
    let many: Vec<String> = (0..=MAX_WEIGHTS).map(|n| format!("s{n}")).collect();
    let many: Vec<(&str, f64)> = many.iter().map(|name| (name.as_str(), 1.0)).collect();
    assert!(matches!(response(4, &many).is_new(&current), Err(TableError::Size { .. })));
    assert_eq!(response(4, &[("s1", 0.6)]).is_new(&current), Ok(true));
}

#[test]
fn a_table_keeps_its_digest_on_the_way_whatever_its_weights() {
    let mut chance = fastrand::Rng::with_seed(5);
    for n in 0..10_000 {
        let sent = response(n, &[("s1", chance.f64() * 10.0), ("s2", chance.f64())]);
        let text =
            serde_json::json!({"revision": n, "weights": sent.weights, "digest": sent.digest}).to_string();
        let came: TableResponse = serde_json::from_str(&text).expect("JSON");
        assert_eq!(came.is_new(&CurrentTable::default()), Ok(true), "{text}");
    }
}
