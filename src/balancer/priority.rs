//! Request priorities of the classes, computed once from the settings at start. `admission` derives each
//! slice's share of the concurrency limit from them.

use crate::interface::{Class, Settings};

/// Difference below which two priorities count as the same level.
pub(super) const SAME_PRIORITY: f64 = 1e-9;

/// Priorities of a class's requests, within and over the tenant's quota.
pub(super) struct Priority {
    pub(super) within_quota: f64,
    pub(super) over_quota: f64,
}

/// Computes each class's priority as its weight over the mean weight. The goal's weight on the worst-served
/// class is the part of the priority that all classes have in common.
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
