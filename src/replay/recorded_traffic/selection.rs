//! Selects the segments that a job is about: those of its tier, recorded under the table and the list in
//! force and within the last `span_ms` of its bounds.

use crate::platform_settings;
use crate::replay::quantiles::median;
use crate::replay::{Job, Segment, job};
use std::collections::{BTreeMap, BTreeSet};

/// The selected segments, and what is derived from all segments for the selection.
pub(super) struct Selection<'a> {
    /// Segments without duplicates, ordered by name, generation and number.
    pub(super) segments: Vec<&'a Segment>,
    /// Tier of each proxy, by name.
    pub(super) tiers: BTreeMap<&'a str, u32>,
    /// Unix time (ms) of the newest record: that of the median proxy, so that one clock that is ahead changes nothing.
    pub(super) newest_ms: f64,
    /// Names of backends that differ from the list in force, if more segments have others than are selected.
    pub(super) differing_backends: Vec<String>,
}

impl<'a> Selection<'a> {
    pub(super) fn of(job: &Job, segments: &'a [Segment]) -> Selection<'a> {
        let tiers = tiers(segments);
        let listed = job.by_name();
        let mut selected: BTreeMap<(&str, u64, u64), &Segment> = BTreeMap::new();
        let mut differing_segments = 0;
        let mut differing_backends = BTreeSet::new();
        for segment in segments {
            let Some(tier) = tiers.get(segment.name.as_str()) else { continue };
            if job.tier.is_some_and(|wanted| wanted != *tier) || segment.revision != job.from {
                continue;
            }
            let differing = job::differing_backends(segment, &listed);
            if differing.is_empty() {
                selected.insert((&segment.name, segment.generation, segment.number), segment);
            } else {
                differing_segments += 1;
                differing_backends.extend(differing);
            }
        }
        let newest_ms = newest_ms(selected.values().copied());
        selected.retain(|_, segment| segment.span_ms.1 > newest_ms - job.bounds.span_ms);
        if differing_segments <= selected.len() {
            differing_backends.clear();
        }
        Selection {
            segments: selected.into_values().collect(),
            tiers,
            newest_ms,
            differing_backends: differing_backends.into_iter().collect(),
        }
    }
}

/// The tier of each proxy, by name. A proxy whose settings can't be parsed is left out, as it can't be simulated.
fn tiers(segments: &[Segment]) -> BTreeMap<&str, u32> {
    let mut tiers = BTreeMap::new();
    for segment in segments {
        if !tiers.contains_key(segment.name.as_str())
            && let Ok(platform) = platform_settings::parse(segment.settings.as_bytes())
        {
            tiers.insert(segment.name.as_str(), platform.settings.tier);
        }
    }
    tiers
}

/// The end (ms) of the records of the median proxy.
fn newest_ms<'a>(segments: impl Iterator<Item = &'a Segment>) -> f64 {
    let mut ends_ms: BTreeMap<&str, f64> = BTreeMap::new();
    for segment in segments {
        let end_ms = ends_ms.entry(&segment.name).or_insert(segment.span_ms.1);
        *end_ms = end_ms.max(segment.span_ms.1);
    }
    median(ends_ms.into_values().collect())
}
