//! Every `/registry/*` answer, and the bodies that the registry takes: keys in their order, values, statuses, content
//! types and the texts of refusals. Proxies of earlier and later builds, operators' scripts and dashboards read and
//! write these, in fleets where builds are mixed; a name that changes here breaks them.

use crate::registry_golden::{fresh, masked, play};
use rstest::rstest;

/// Longest body that these registries take, for the refusal of a longer one.
const SMALL: &str = "max_body_bytes = 2000\n";
/// A window long enough that nobody falls silent during a script; findings and stages come with the first report.
const ROUTES: &str = "[routes]\nenabled = true\nreport_ms = 8000\ngrace_ms = 1\nraise = 1\nstep = 1.6\nstand_ms = 86400000\n\
                      longest_ms = 86400000\n";

#[rstest]
#[case::lists("lists.txt", SMALL)]
#[case::leases("leases.txt", SMALL)]
#[case::routes_and_reports("routes.txt", ROUTES)]
#[case::drift("drift.txt", ROUTES)]
#[case::traces("traces.txt", ROUTES)]
#[tokio::test]
async fn answers_are_those_that_callers_know(#[case] script: &str, #[case] config: &str) {
    let registry = fresh(script.trim_end_matches(".txt"), config).await;
    play(script, registry.address, masked).await;
}
