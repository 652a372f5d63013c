//! Merges segments into the traffic of the fleet: one window, one list of classes, and indices instead of names.

use super::{RecordedCall, RecordedProxy, RecordedRequest, RecordedTraffic};
use crate::platform_settings;
use crate::replay::quantiles::median;
use crate::replay::{AttemptOutcome, Job, SAMPLED_OF, Segment, Trace};
use std::collections::{BTreeMap, HashMap};

/// The time that the records cover, from the median start of the proxies to their median end: one clock that is off
/// moves neither.
pub(super) struct Window<'a> {
    /// Correction (ms) to add to the times of each proxy, by name.
    offsets_ms: BTreeMap<&'a str, f64>,
    start_ms: f64,
    pub(super) length_ms: f64,
    /// Number of proxies with records.
    proxies: usize,
}

impl<'a> Window<'a> {
    pub(super) fn of(segments: &[&Segment], offsets_ms: BTreeMap<&'a str, f64>) -> Window<'a> {
        let mut spans: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for segment in segments {
            let offset_ms = offsets_ms.get(segment.name.as_str()).copied().unwrap_or(0.0);
            let start_ms = segment.span_ms.0 + offset_ms;
            let end_ms = segment.span_ms.1 + offset_ms;
            let span = spans.entry(&segment.name).or_insert((start_ms, end_ms));
            span.0 = span.0.min(start_ms);
            span.1 = span.1.max(end_ms);
        }
        let start_ms = median(spans.values().map(|span| span.0).collect());
        let end_ms = median(spans.values().map(|span| span.1).collect());
        Window { offsets_ms, start_ms, length_ms: (end_ms - start_ms).max(0.0), proxies: spans.len() }
    }

    fn offset_ms(&self, segment: &Segment) -> f64 {
        self.offsets_ms.get(segment.name.as_str()).copied().unwrap_or(0.0)
    }
}

impl RecordedTraffic {
    /// Adds the segments and sets [`RecordedTraffic::covered`].
    pub(super) fn merge(&mut self, job: &Job, segments: &[&Segment], window: &Window) {
        let indices: HashMap<&str, u32> =
            job.listed.iter().map(|backend| backend.host.as_str()).zip(0..).collect();
        let mut last_process: Option<(&str, u64, u32)> = None;
        let mut classes: Vec<u16> = Vec::new();
        let mut instances = 0;
        let mut covered = 0.0;
        for segment in segments {
            let Ok(platform) = platform_settings::parse(segment.settings.as_bytes()) else { continue };
            if platform.settings.validate().is_err() {
                continue;
            }
            instances = instances.max(platform.settings.instance_count);
            let offset_ms = window.offset_ms(segment);
            let start_ms = (segment.span_ms.0 + offset_ms - window.start_ms).max(0.0);
            let length_ms =
                (segment.span_ms.1 + offset_ms - window.start_ms).min(window.length_ms) - start_ms;
            let traces = (segment.traces.len() as f64).max(1.0);
            covered +=
                length_ms.max(0.0) / window.length_ms.max(1.0) * traces / (traces + segment.dropped as f64);
            let process = (segment.name.as_str(), segment.generation, segment.sampled);
            if last_process != Some(process) {
                last_process = Some(process);
                let names = &platform.site.classes;
                let count = platform.settings.classes.len();
                classes = (0..count).map(|index| self.class_index(names.get(index), index)).collect();
                self.proxies.push(RecordedProxy {
                    zone: segment.zone.clone(),
                    zones: platform.site.zones,
                    settings: platform.settings,
                    scale: f64::from(SAMPLED_OF) / f64::from(segment.sampled.max(1)),
                    seed: u64::from(crc32fast::hash(segment.name.as_bytes())),
                    peers: Vec::new(),
                });
            }
            self.add_peers(segment, start_ms);
            let index = |name: &str| indices.get(name).copied().unwrap_or(0);
            let backends: Vec<u32> = segment.backends.iter().map(|backend| index(&backend.0)).collect();
            let shift_ms = offset_ms - window.start_ms;
            segment.traces.iter().for_each(|trace| self.add_trace(trace, shift_ms, &classes, &backends));
        }
        let fleet = if job.fleet > 0 { job.fleet as f64 } else { f64::from(instances.max(1)) };
        self.covered = (covered / fleet.max(window.proxies as f64)).min(1.0);
    }

    /// Adds the membership that the last proxy was told, if it changed.
    fn add_peers(&mut self, segment: &Segment, start_ms: f64) {
        if let (Some(peers), Some(proxy)) = (segment.peers, self.proxies.last_mut())
            && proxy.peers.last().is_none_or(|(_, last)| *last != peers)
        {
            proxy.peers.push((start_ms, peers));
        }
    }

    /// Returns the index of a class by name, and adds the class if it is new. A class without a name gets one from its index
    /// in the settings.
    fn class_index(&mut self, name: Option<&String>, index: usize) -> u16 {
        let name = name.filter(|name| !name.is_empty()).cloned();
        let name = name.unwrap_or_else(|| format!("class {index}"));
        let known = self.classes.iter().position(|class| *class == name);
        let index = known.unwrap_or_else(|| {
            self.classes.push(name);
            self.classes.len() - 1
        });
        index as u16
    }

    /// Adds a request of the last proxy and its calls, unless it arrived outside the window. `classes` and `backends`
    /// give the fleet's indices by those of the segment.
    fn add_trace(&mut self, trace: &Trace, shift_ms: f64, classes: &[u16], backends: &[u32]) {
        let proxy = self.proxies.len() as u32 - 1;
        let at_ms = trace.at_ms + shift_ms;
        let Some(&class) = classes.get(usize::from(trace.class)) else { return };
        if !(0.0..=self.length_ms).contains(&at_ms) {
            return;
        }
        let answer = trace.attempts.iter().rfind(|attempt| attempt.outcome == AttemptOutcome::Ok);
        self.requests.push(RecordedRequest {
            proxy,
            id: trace.id,
            at_ms,
            class,
            proxy_class: trace.class,
            tenant: trace.tenant,
            key: trace.key,
            client_timeout_ms: trace.client_timeout_ms,
            ending: trace.ending,
            took_ms: trace.took_ms,
            malformed: trace.attempts.iter().any(|attempt| attempt.outcome == AttemptOutcome::Malformed),
            proxy_time_ms: answer.map(|attempt| trace.took_ms - attempt.after_ms - attempt.wait_ms),
        });
        self.calls.extend(trace.attempts.iter().map(|attempt| RecordedCall {
            proxy,
            backend: backends.get(attempt.backend as usize).copied().unwrap_or(0),
            class,
            at_ms: at_ms + attempt.after_ms,
            wait_ms: attempt.wait_ms,
            outcome: attempt.outcome,
            proxy_in_flight: attempt.in_flight,
        }));
    }
}
