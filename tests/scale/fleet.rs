//! Two hundred hollow and five real proxies. No time is asserted: only who holds what in the end, and what it cost in
//! messages.

use crate::run::args::{Args, Scenario};
use crate::run::compare::{self, Compared};
use crate::run::fleet::Fleet;
use crate::run::hands::Hands;
use crate::run::report::Row;
use crate::run::scenario::Stage;
use crate::run::traffic::Kind;
use clap::Parser;

const SIZE: usize = 205;
const REAL: usize = 5;
/// Changes that are awaited one by one: so many watches at the least are compared.
const CHANGES: usize = 60;
/// How far the hollow proxy's cost may be from the real one's.
const ALIKE: f64 = 0.05;

async fn stage(more: &[&str]) -> Stage {
    let fixed = ["scale", "--real", "5", "--report-ms", "1000", "--patience-s", "100"];
    let args = Args::parse_from(fixed.iter().chain(more).copied());
    assert_eq!(args.real, REAL);
    let hands = (0..2).map(|_| Hands::thread()).collect();
    let fleet = Fleet::start(&args, SIZE, hands).await.expect("all hold the truth at the start");
    Stage::new(fleet)
}

fn row(scenario: Scenario) -> Row {
    let (size, figures) = (SIZE, Vec::new());
    Row { scenario: scenario.name(), size, services: 0, repeat: 0, held_out: false, figures }
}

fn figure(row: &Row, name: &str) -> f64 {
    let figure = row.figures.iter().find(|figure| figure.name == name);
    figure.unwrap_or_else(|| panic!("{name} in {row:?}")).value
}

fn alike(ratio: Option<f64>) -> bool {
    ratio.is_some_and(|ratio| (ratio - 1.0).abs() <= ALIKE)
}

/// Reports go out by chance, up to a fifth sooner or later: their number is compared over minutes, by the large run. How
/// long one is does not depend on that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hollow_proxy_costs_what_a_real_one_does() {
    let mut stage = stage(&["--scenarios", "change", "--ttl-ms", "10000"]).await;
    let begun = compare::look(&stage.fleet).expect("both are counted");
    for _ in 0..CHANGES {
        stage.change(&None).await.expect("taken");
        stage.fleet.all_hold_lists(0).await.expect("all hollow proxies hold the change");
        stage.fleet.real_hold_lists().await.expect("all real proxies hold the change");
    }
    // Until both have reported of the same list.
    let reports = |one: &Compared| one.of != Kind::Report || (one.real.answers > 3 && one.hollow.answers > 3);
    let last = compare::look(&stage.fleet).expect("counted");
    crate::waits::within_deadline(async {
        while !compare::compare(&stage.fleet, &last).iter().all(reports) {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    })
    .await;
    let all = compare::compare(&stage.fleet, &Default::default());
    let since = compare::compare(&stage.fleet, &begun);
    let reported = compare::compare(&stage.fleet, &last);
    let text = [&all, &since, &reported].map(|compared| compare::table(compared)).join("\n");
    let of = |compared: &[Compared], kind| *compared.iter().find(|c| c.of == kind).expect("compared");
    let whole = of(&all, Kind::WholeList);
    assert_eq!((whole.real.messages, whole.hollow.messages), (1, 1), "{text}");
    assert!(of(&since, Kind::ListWatch).real.messages >= CHANGES as u64, "{text}");
    assert!(alike(of(&since, Kind::ListWatch).messages()), "{text}");
    let lengths = [of(&all, Kind::WholeList), of(&since, Kind::ListWatch), of(&reported, Kind::Report)];
    assert!(lengths.iter().all(|compared| alike(compared.bytes_a_message())), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_in_a_service_comes_to_its_proxies_alone() {
    let mut stage = stage(&["--scenarios", "change", "--services", "230", "--ttl-ms", "600000"]).await;
    let services = stage.fleet.plan.services.clone();
    assert!(stage.fleet.plan.names().len() > 5, "{services:?}");
    for service in stage.fleet.plan.names() {
        let before = stage.fleet.lists_taken().await.expect("counted");
        assert_eq!(before.len(), SIZE - REAL);
        stage.change(&service).await.expect("taken");
        stage.fleet.all_hold_lists(0).await.expect("all hollow proxies hold the change");
        stage.fleet.real_hold_lists().await.expect("all real proxies hold the change");
        let after = stage.fleet.lists_taken().await.expect("counted");
        for (number, taken) in after {
            let news = u64::from(services[number] == service);
            assert_eq!(taken, before[&number] + news, "p{number} of {:?}, {service:?}", services[number]);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_hold_the_truth_after_changes_and_losses() {
    let mut stage = stage(&["--scenarios", "change,region", "--cut-s", "3", "--ttl-ms", "10000"]).await;
    for scenario in [Scenario::Change, Scenario::Changes, Scenario::Rack, Scenario::Region] {
        let mut row = row(scenario);
        stage.play(scenario, &mut row).await.unwrap_or_else(|error| panic!("{scenario:?}: {error}"));
    }
    let mut row = row(Scenario::RegistryEmpty);
    stage.play(Scenario::RegistryEmpty, &mut row).await.expect("all hold the truth again");
    let whole = figure(&row, "whole lists");
    assert!(whole >= (SIZE - REAL) as f64, "each takes the whole list of the new history, {whole}");
}
