//! Unit tests of `src/bin/registry/route_table/config.rs`, which includes this file.

use super::*;

#[test]
fn errors_name_the_key_that_is_unknown_or_out_of_range() {
    let parse = |text: &str| toml::from_str::<RoutesConfig>(text);
    let valid = parse("enabled = true\nring_bytes = 2097152\nreport_ms = 500\n[bounds]\ncoverage = 0.5");
    let valid = valid.expect("all keys are known and in range");
    assert!(valid.service.enabled && valid.control.report_ms == 500 && valid.service.bounds.coverage == 0.5);
    for (text, key) in [
        ("colour = 1", "colour"),
        ("ring_bytes = 5", "ring_bytes"),
        ("step = 0.5", "step"),
        ("judge_seeds = 0", "judge_seeds"),
        ("[bounds]\nshape = 1", "shape"),
    ] {
        let error = parse(text).expect_err(text).to_string();
        assert!(error.contains(key), "{error}");
    }
}
