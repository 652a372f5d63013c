//! Unit tests of `src/bin/registry/route_table/config.rs`, which names this file.

use super::*;

#[test]
fn a_key_that_nothing_knows_or_that_is_out_of_range_is_named() {
    let read = |text: &str| toml::from_str::<RoutesConfig>(text);
    let good = read("enabled = true\nring_bytes = 2097152\nreport_ms = 500\n[bounds]\ncoverage = 0.5");
    let good = good.expect("sound");
    assert!(good.service.enabled && good.control.report_ms == 500 && good.service.bounds.coverage == 0.5);
    for (text, named) in [
        ("colour = 1", "colour"),
        ("ring_bytes = 5", "ring_bytes"),
        ("step = 0.5", "step"),
        ("judge_seeds = 0", "judge_seeds"),
        ("[bounds]\nshape = 1", "shape"),
    ] {
        let why = read(text).expect_err(text).to_string();
        assert!(why.contains(named), "{why}");
    }
}
