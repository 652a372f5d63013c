//! The library's types as JSON: what the registry's log holds of the route table, verdicts, reports, proposals and
//! entries. A log outlives builds in both directions, and reports come from proxies of other builds: every line of a
//! golden file must be read, and written again as the very same bytes, whatever the names in the code are.
//!
//! Digests are compared between proxies and registry, and a proxy's rank is the same in every rollout: they are held here
//! too, as values.

use crate::registry_golden::{compare, text};
use load_balancer::catalog::{ServiceSnapshot, Update};
use load_balancer::replay::{Bounds, Verdict};
use load_balancer::route_table::{
    FindingKind, Proposal, Report, RouteRecord, Weights, list_digest, proxy_rank,
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;

/// Reads each line as one value, and writes it again.
fn written_alike<T: Serialize + DeserializeOwned>(file: &str) {
    let again = |(number, line): (usize, &str)| {
        let value: T = serde_json::from_str(line).unwrap_or_else(|e| panic!("{file}:{}: {e}", number + 1));
        serde_json::to_string(&value).expect("JSON") + "\n"
    };
    compare(file, &text(file).lines().enumerate().map(again).collect::<String>());
}

#[test]
fn records_of_the_route_table_are_read_and_written_alike() {
    written_alike::<RouteRecord>("route_records.jsonl");
}

#[test]
fn verdicts_are_read_and_written_alike() {
    written_alike::<Verdict>("verdicts.jsonl");
}

#[test]
fn reports_are_read_and_written_alike() {
    written_alike::<Report>("reports.jsonl");
}

#[test]
fn proposals_are_read_and_written_alike() {
    written_alike::<Proposal>("proposals.jsonl");
}

#[test]
fn bounds_of_a_verdict_are_read_and_written_alike() {
    written_alike::<Bounds>("bounds.jsonl");
}

#[test]
fn updates_of_entries_are_read_and_written_alike() {
    written_alike::<Update>("updates.jsonl");
}

#[test]
fn services_of_a_snapshot_are_read_and_written_alike() {
    written_alike::<ServiceSnapshot>("saved_services.jsonl");
}

/// Scripts and alerts go by the kinds' names; their order is that of the findings on the page.
#[test]
fn kinds_of_findings_keep_their_names_and_advice() {
    let all = [
        FindingKind::Lagging,
        FindingKind::Diverged,
        FindingKind::Ahead,
        FindingKind::Effect,
        FindingKind::Silent,
        FindingKind::Gone,
        FindingKind::Zombie,
        FindingKind::Flapping,
        FindingKind::Blind,
    ];
    assert!(all.is_sorted());
    let line = |kind: &FindingKind| format!("{} {}\n", json!(kind), kind.what_to_do());
    compare("kinds.txt", &all.iter().map(line).collect::<String>());
}

#[test]
fn digests_and_ranks_are_those_of_other_builds() {
    let weights: Weights =
        serde_json::from_str(r#"{"backends":{"s0":0.5,"s1":2.0},"classes":{"m2":1.25},"zones":{"a":0.0}}"#)
            .expect("weights");
    let mut lines = format!("{}\n{}\n{}\n", Weights::default().digest(), weights.digest(), list_digest(&[]));
    lines += &["p0", "p1", "10.0.0.1:7000"].map(|name| format!("{name} {}\n", proxy_rank(name))).concat();
    compare("digests.txt", &lines);
}
