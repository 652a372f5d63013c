//! Unit tests of `src/client/route_table/table.rs`, which includes this file as a module.

use super::*;

fn response(revision: Revision, weights: &[(&str, f64)]) -> TableResponse {
    let backends = weights.iter().map(|(name, weight)| (name.to_string(), *weight)).collect();
    let weights = Weights { backends, ..Weights::default() };
    TableResponse { revision, digest: weights.digest(), weights, newest: revision }
}

#[test]
fn a_table_is_new_only_once_and_invalid_or_older_ones_are_rejected() {
    let mut current = CurrentTable::default();
    let first = response(3, &[("s1", 0.5)]);
    assert_eq!(first.is_new(&current), Ok(true));
    current.set(&first);
    assert_eq!(first.is_new(&current), Ok(false), "the table is already in force");
    assert_eq!(response(2, &[]).is_new(&current), Err(TableError::Behind { revision: 2, current: 3 }));
    assert_eq!(response(3, &[("s1", 0.6)]).is_new(&current), Err(TableError::Conflict { current: 3 }));
    assert!(matches!(response(4, &[("s1", -1.0)]).is_new(&current), Err(TableError::Weight { .. })));
    assert!(matches!(response(4, &[("s1", f64::INFINITY)]).is_new(&current), Err(TableError::Weight { .. })));
    let wrong_digest = TableResponse { digest: "00".repeat(8), ..response(4, &[("s1", 0.6)]) };
    assert!(matches!(wrong_digest.is_new(&current), Err(TableError::Digest { revision: 4, .. })));
    let names: Vec<String> = (0..=MAX_WEIGHTS).map(|n| format!("s{n}")).collect();
    let too_many: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 1.0)).collect();
    assert!(matches!(response(4, &too_many).is_new(&current), Err(TableError::Size { .. })));
    assert_eq!(response(4, &[("s1", 0.6)]).is_new(&current), Ok(true));
}

#[test]
fn the_digest_is_unchanged_by_encoding_and_decoding_random_weights() {
    let mut rng = fastrand::Rng::with_seed(5);
    for n in 0..10_000 {
        let sent = response(n, &[("s1", rng.f64() * 10.0), ("s2", rng.f64())]);
        let text =
            serde_json::json!({"revision": n, "weights": sent.weights, "digest": sent.digest}).to_string();
        let received: TableResponse = serde_json::from_str(&text).expect("the table parses");
        assert_eq!(received.is_new(&CurrentTable::default()), Ok(true), "{text}");
    }
}
