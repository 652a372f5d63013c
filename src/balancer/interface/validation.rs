//! Validation of the settings. The error names the first unusable setting by its path in the platform's
//! settings, which operators know.

use super::{Settings, SettingsError};

/// Minimum latency objective (ms).
const MIN_LATENCY_OBJECTIVE_MS: f64 = 1e-3;

/// A value that must be finite and not negative.
struct CheckedValue {
    path: String,
    value: f64,
}

impl Settings {
    /// Returns an error for the first setting that is missing or out of range.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        let mut values = self.instance_values();
        values.extend(self.class_values());
        values.extend(self.tenant_values());
        let is_invalid = |checked: &CheckedValue| !checked.value.is_finite() || checked.value < 0.0;
        match values.into_iter().find(is_invalid) {
            None => Ok(()),
            Some(CheckedValue { path, .. }) => {
                Err(SettingsError { field: path, reason: "is missing, negative, not finite or out of range" })
            }
        }
    }

    fn instance_values(&self) -> Vec<CheckedValue> {
        let instances = f64::from(self.instance_count);
        let rules = &self.rules;
        let values = [
            ("copies", instances - 1.0),
            ("copy", instances - f64::from(self.instance_index) - 1.0),
            ("tick", self.tick_ms),
            ("over_share_worth", self.over_quota_weight),
            ("rules.cold_from", rules.initial_capacity),
            ("rules.cold", rules.warm_up_ms),
            ("rules.fall_multiple", rules.overload_multiple),
            ("rules.ask_within", rules.max_silence_ms),
            ("rules.release_within", rules.idle_close_within_ms),
            ("rules.settle_after_doubt", rules.key_settle_ms),
            ("goal.worst_class", self.goal.worst_class_weight),
            ("goal.cross_zone", self.goal.cross_zone_price),
            ("caps.max_retry_after", self.caps.max_retry_after_ms),
            ("classes", self.classes.len() as f64 - 1.0),
            ("list_guard.panic_threshold", self.list_guard.panic_threshold),
            ("list_guard.panic_threshold", 1.0 - self.list_guard.panic_threshold),
            ("list_guard.hold", self.list_guard.confirm_after_ms),
        ];
        values.map(|(path, value)| CheckedValue { path: path.into(), value }).into()
    }

    fn class_values(&self) -> impl Iterator<Item = CheckedValue> {
        self.classes.iter().enumerate().flat_map(|(i, class)| {
            let objective_ms = class.latency_objective_ms - MIN_LATENCY_OBJECTIVE_MS;
            [
                CheckedValue { path: format!("classes[{i}].aim"), value: objective_ms },
                CheckedValue { path: format!("classes[{i}].points"), value: class.priority_weight },
            ]
        })
    }

    fn tenant_values(&self) -> impl Iterator<Item = CheckedValue> {
        let path = |i| format!("tenants[{i}].quota_per_s");
        self.tenants
            .iter()
            .enumerate()
            .map(move |(i, t)| CheckedValue { path: path(i), value: t.quota_per_s })
    }
}
