//! Priority: how important a class's requests are, from the settings. The shares of the concurrency limit
//! follow it (`admission`). It is computed once, at the start.

use crate::interface::{Class, Settings};

/// Priorities closer than this are one level.
pub(super) const SAME_PRIORITY: f64 = 1e-9;

/// Priority of a class's requests.
pub(super) struct Priority {
    pub(super) within_quota: f64,
    pub(super) over_quota: f64,
}

/// The priorities of the classes: their weights over the mean weight. The goal's weight on the worst-served
/// class is priority that every class has alike.
pub(super) fn priorities(settings: &Settings) -> Vec<Priority> {
    let classes = &settings.classes;
    let mean = classes.iter().map(|c| c.priority_weight).sum::<f64>() / classes.len() as f64;
    let worst_class_weight = settings.goal.worst_class_weight;
    let of_class = |class: &Class| {
        let within_quota =
            (1.0 - worst_class_weight) * class.priority_weight / mean.max(1e-9) + worst_class_weight;
        Priority { within_quota, over_quota: within_quota * settings.over_quota_weight }
    };
    classes.iter().map(of_class).collect()
}
