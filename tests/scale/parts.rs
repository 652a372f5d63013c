//! Lines, tables, plans and counts, without processes.

use crate::run::entries::Entries;
use crate::run::fit::{self, Line};
use crate::run::plan::{Plan, sizes};
use crate::run::report::{Lines, Row, fit_table, fits, judge, table};
use crate::run::sample::Sample;
use crate::run::spread::Spread;
use crate::run::traffic::{Count, Kind, Traffic};
use load_balancer::client::list::EndpointEntry;
use load_balancer::interface::ListKind;
use rstest::rstest;
use serde_json::{Value, json};

#[test]
fn a_line_goes_through_points_that_lie_on_one() {
    let line = Line::through(&[(256.0, 8.0), (512.0, 13.12), (2048.0, 43.84)]).expect("a line");
    assert!((line.slope - 0.02).abs() < 1e-12 && (line.intercept - 2.88).abs() < 1e-9, "{line:?}");
    assert!(line.residual < 1e-9, "{line:?}");
    assert!((line.at(4100.0) - 84.88).abs() < 1e-9);
}

#[test]
fn what_lies_off_a_line_is_its_residual() {
    // Each of the four lies 1 off the line y = x.
    let line = Line::through(&[(0.0, 1.0), (1.0, 0.0), (2.0, 1.0), (3.0, 4.0)]).expect("a line");
    assert!((line.slope - 1.0).abs() < 1e-12 && line.intercept.abs() < 1e-12, "{line:?}");
    assert!((line.residual - 1.0).abs() < 1e-12, "{line:?}");
}

#[rstest]
#[case::none(&[])]
#[case::one(&[(256.0, 1.0)])]
#[case::one_size(&[(256.0, 1.0), (256.0, 2.0)])]
fn one_size_makes_no_line(#[case] points: &[(f64, f64)]) {
    assert_eq!(Line::through(points), None);
}

#[rstest]
#[case(100.0, 125.0, true)]
#[case(100.0, 80.0, true)]
#[case(100.0, 140.0, false)]
#[case(100.0, 79.0, false)]
fn a_prediction_that_is_off_by_more_than_a_quarter_is_not_used(
    #[case] predicted: f64,
    #[case] measured: f64,
    #[case] used: bool,
) {
    assert_eq!(fit::usable(fit::error(predicted, measured).expect("measured")), used);
}

fn row(size: usize, cpu: f64, square: f64) -> Row {
    let figures = Vec::new();
    let mut row =
        Row { scenario: "steady".into(), size, services: 0, repeat: 0, held_out: size == 4100, figures };
    row.add("cpu", "ms", cpu);
    row.add("square", "B", square);
    row
}

#[test]
fn the_held_out_size_is_predicted_and_judged() {
    let of = |size: usize| row(size, 2.0 * size as f64, (size * size) as f64);
    let smaller: Vec<Row> = [256, 512, 1024, 2048].map(of).to_vec();
    let mut lines = fits(&smaller, Some(4100));
    assert_eq!(lines.len(), 2);
    assert!(lines.iter().all(|line| line.measured.is_none() && line.used.is_none()));
    assert!((lines[0].predicted.expect("predicted") - 8200.0).abs() < 1e-6);
    judge(&mut lines, &[of(4100)]);
    assert_eq!((lines[0].used, lines[1].used), (Some(true), Some(false)), "a square is no line");
    let text = fit_table(&lines);
    assert!(text.lines().any(|line| line.contains("| cpu |") && line.ends_with("| used")), "{text}");
    assert!(text.lines().any(|line| line.contains("| square |") && line.ends_with("| not used")), "{text}");
    let rows = table(&[of(4100)]);
    assert!(rows.contains("steady of 4100, 0 services, run 0, held out"), "{rows}");
}

#[test]
fn lines_of_json_say_what_they_are() {
    let folder = crate::run::process::Folder::make("scale-lines").expect("a folder");
    let path = folder.path().join("lines.jsonl");
    let mut lines = Lines::open(Some(&path)).expect("opened");
    lines.write("run", row(256, 1.5, 2.0)).expect("written");
    lines.write("fit", &fits(&[row(256, 1.0, 1.0), row(512, 2.0, 1.0)], None)[0]).expect("written");
    let text = std::fs::read_to_string(&path).expect("a file");
    let read: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    assert_eq!((&read[0]["kind"], &read[0]["size"]), (&json!("run"), &json!(256)));
    assert_eq!(read[0]["figures"][0], json!({"name": "cpu", "unit": "ms", "value": 1.5}));
    assert_eq!((&read[1]["kind"], &read[1]["used"]), (&json!("fit"), &Value::Null));
}

#[rstest]
#[case(4100, 230, 10.0)]
#[case(4100, 230, 20.0)]
#[case(1024, 57, 10.0)]
#[case(256, 14, 10.0)]
#[case(40, 40, 10.0)]
#[case(40, 1, 10.0)]
fn services_are_of_unlike_sizes_and_add_up(#[case] total: usize, #[case] count: usize, #[case] largest: f64) {
    let sizes = sizes(total, count, largest);
    assert_eq!((sizes.len(), sizes.iter().sum::<usize>()), (count, total));
    assert!(sizes.iter().all(|size| *size >= 1), "{sizes:?}");
    if total > 10 * count && count > 1 {
        let ratio = sizes[0] as f64 * count as f64 / total as f64;
        assert!((0.95 * largest..=largest).contains(&ratio), "{ratio}: {sizes:?}");
        assert!(sizes[0] > sizes[1] && sizes[1] > sizes[count - 1], "{sizes:?}");
    }
}

#[test]
fn a_plan_has_a_real_and_a_hollow_proxy_of_one_service() {
    let plan = Plan::new(1024, 230, 10.0);
    assert_eq!((plan.size(), plan.names().len()), (1024, 57));
    let real = plan.real(4);
    let partner = plan.partner(real[0], &real).expect("there is one");
    assert_eq!(plan.services[real[0]], plan.services[partner]);
    assert!(!real.contains(&partner));
    assert_eq!(plan.peers(real[1]), (0..1024).map(|n| plan.peers(n)).max().expect("some"));
    assert_eq!(Plan::new(64, 0, 10.0).names(), [None], "without services there is one list");
}

fn host(name: &str, share: f64, health: &str) -> EndpointEntry {
    serde_json::from_value(json!({"host": name, "dial": "127.0.0.1:1", "health": health, "share": share}))
        .expect("a host")
}

#[test]
fn equal_lists_have_equal_sums_however_they_came_about() {
    let (mut one, mut other) = (Entries::default(), Entries::default());
    one.take(ListKind::Full, &[host("a", 1.0, "SERVING"), host("b", 2.0, "SERVING")]);
    other.take(ListKind::Full, &[host("x", 1.0, "SERVING")]);
    other.take(ListKind::Delta, &[host("b", 1.0, "SERVING"), host("x", 1.0, "DELETED")]);
    assert_ne!(one.sum(), other.sum());
    other.take(ListKind::Delta, &[host("b", 2.0, "SERVING"), host("a", 1.0, "SERVING")]);
    assert_eq!(one.sum(), other.sum());
    other.take(ListKind::Delta, &[host("a", 1.0, "DRAINING")]);
    assert_ne!(one.sum(), other.sum());
    other.take(ListKind::Full, &[]);
    assert_eq!(other.sum(), 0);
}

#[rstest]
#[case("GET", "/registry/instances", Kind::WholeList)]
#[case("GET", "/registry/instances?service=a", Kind::WholeList)]
#[case("GET", "/registry/instances?service=a&after=1&wait_ms=1", Kind::ListWatch)]
#[case("PUT", "/registry/instances?service=a", Kind::Register)]
#[case("GET", "/registry/routes?name=p1&generation=1", Kind::Table)]
#[case("PUT", "/registry/reports", Kind::Report)]
#[case("GET", "/registry/drift", Kind::Other)]
fn calls_are_told_apart(#[case] method: &str, #[case] path: &str, #[case] kind: Kind) {
    assert_eq!(Kind::of(method, path), kind);
}

#[test]
fn traffic_is_counted_by_kind_and_by_time() {
    let mut traffic = Traffic::default();
    traffic.record(Kind::Report, Count { messages: 2, answers: 2, sent: 10, received: 5 });
    let earlier = traffic.clone();
    traffic.record(Kind::Report, Count { messages: 1, answers: 0, sent: 7, received: 0 });
    let since = &traffic - &earlier;
    assert_eq!(since.of(Kind::Report), Count { messages: 1, answers: 0, sent: 7, received: 0 });
    assert_eq!(traffic.total().bytes(), 22);
    [(1000, 30), (1199, 10), (1200, 20)].iter().for_each(|(at, calls)| traffic.at(*at, *calls));
    assert_eq!((traffic.most_a_second(0), traffic.most_a_second(1200)), (200.0, 100.0));
}

#[test]
fn times_are_told_from_the_first_to_the_last() {
    let spread = Spread::after(1000, (1..=200).rev().map(|n| 1000 + n * 1000).collect());
    assert_eq!((spread.first, spread.median, spread.last), (1.0, 101.0, 200.0));
    assert_eq!(spread.most, 199.0);
    assert_eq!(Spread::after(0, Vec::new()), Spread::default());
}

#[test]
fn a_process_is_sampled_from_what_the_system_says() {
    let stat = "7 (a (b) c) S 1 7 7 0 -1 4194560 100 0 0 0 150 50 0 0 20 0 9 0 1 1 1";
    let status = "Name:\ta\nVmHWM:\t    4096 kB\nVmRSS:\t    2048 kB\n";
    assert_eq!(Sample::parse(stat, status), Sample { cpu_s: 2.0, resident_mib: 2.0, peak_mib: 4.0 });
    assert!(Sample::of(std::process::id()).expect("this process").resident_mib > 0.0);
}
