//! Rejection of invalid settings.

use super::plain;
use load_balancer::Balancer;
use load_balancer::interface::*;

#[test]
fn invalid_settings_name_the_field() {
    type Change = fn(&mut Settings);
    let cases: [(&str, Change); 6] = [
        ("copies", |s| s.instance_count = 0),
        ("copy", |s| s.instance_index = 9),
        ("classes", |s| s.classes.clear()),
        ("classes[0].aim", |s| s.classes[0].latency_objective_ms = 0.0),
        ("tick", |s| s.tick_ms = f64::NAN),
        ("rules.cold_from", |s| s.rules.initial_capacity = -1.0),
    ];
    for (field, change) in cases {
        let mut s = plain(2);
        change(&mut s);
        let error = Balancer::new(s, 1).err().expect("invalid settings are rejected");
        assert_eq!(error.field, field);
        assert!(error.to_string().contains(field));
    }
}
