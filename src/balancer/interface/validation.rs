//! Validation of the settings: the first one that no decision could be made with is named in the error.
//!
//! The paths in the errors are those of the platform's settings, which operators know.

use super::{Settings, SettingsError};

/// Shortest latency objective (ms).
const MIN_LATENCY_OBJECTIVE_MS: f64 = 1e-3;

/// A figure that must be finite and not negative.
struct Figure {
    path: String,
    value: f64,
}

impl Settings {
    /// Checks the settings.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        let mut figures = self.fixed_figures();
        figures.extend(self.class_figures());
        figures.extend(self.tenant_figures());
        let is_wrong = |figure: &Figure| !figure.value.is_finite() || figure.value < 0.0;
        match figures.into_iter().find(is_wrong) {
            None => Ok(()),
            Some(Figure { path, .. }) => {
                Err(SettingsError { field: path, reason: "is missing, negative, not finite or out of range" })
            }
        }
    }

    fn fixed_figures(&self) -> Vec<Figure> {
        let instances = f64::from(self.instance_count);
        let rules = &self.rules;
        let figures = [
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
        figures.map(|(path, value)| Figure { path: path.into(), value }).into()
    }

    fn class_figures(&self) -> impl Iterator<Item = Figure> {
        self.classes.iter().enumerate().flat_map(|(i, class)| {
            let objective_ms = class.latency_objective_ms - MIN_LATENCY_OBJECTIVE_MS;
            [
                Figure { path: format!("classes[{i}].aim"), value: objective_ms },
                Figure { path: format!("classes[{i}].points"), value: class.priority_weight },
            ]
        })
    }

    fn tenant_figures(&self) -> impl Iterator<Item = Figure> {
        let path = |i| format!("tenants[{i}].quota_per_s");
        self.tenants.iter().enumerate().map(move |(i, t)| Figure { path: path(i), value: t.quota_per_s })
    }
}
