//! The segments of all proxies as one: same backends, same classes, one clock as far as that can be had.

use super::quantiles::median;
use super::{Ending, Job, Listed, Peers, Reply, SAMPLED_OF, Segment, clock_offsets, job, segment};
use crate::interface::Settings;
use crate::platform_settings;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const MOST: f64 = 3e6; // requests of a replay, those that recorded ones stand for included

/// One process of the fleet.
pub(super) struct Proxy {
    pub zone: String,
    pub zones: Vec<String>,
    pub settings: Settings,
    /// Requests that one recorded request stands for.
    pub scale: f64,
    pub seed: u64,
    /// What membership told it, and from when on.
    pub peers: Vec<(f64, Peers)>,
}

/// A recorded request, in the fleet's terms.
#[derive(Clone)]
pub(super) struct Request {
    pub proxy: u32,
    pub id: u64,
    pub at: f64,
    pub class: u16,
    pub own_class: u16,
    pub tenant: u16,
    pub key: u64,
    pub patience: f64,
    pub ending: Ending,
    pub took: f64,
    pub malformed: bool,
    /// What it took beside the wait until its answer's end: the proxy's own part.
    pub beside: Option<f64>,
}

/// A recorded attempt.
#[derive(Clone)]
pub(super) struct Call {
    pub proxy: u32,
    pub backend: u32,
    pub class: u16,
    pub at: f64,
    pub wait: f64,
    pub reply: Reply,
    pub own: u32,
}

/// All of it. Times count from the start of the window.
pub(super) struct Records {
    pub backends: Vec<Listed>,
    pub classes: Vec<String>,
    pub proxies: Vec<Proxy>,
    pub requests: Vec<Request>,
    pub calls: Vec<Call>,
    pub length: f64,
    /// Share of the fleet's time in the window that was recorded.
    pub covered: f64,
    /// Age of the newest record.
    pub age: f64,
    pub differ: Vec<String>,
    pub digest: String,
}

impl Records {
    /// Of the table in force and the list's backends only; the rest is left aside.
    pub fn of(job: &Job, segments: &[Segment]) -> Records {
        let listed = job.by_name();
        let places: HashMap<&str, u32> = job.listed.iter().map(|l| l.host.as_str()).zip(0..).collect();
        let mut by_name: BTreeMap<(&str, u64, u64), &Segment> = BTreeMap::new();
        let (mut strange, mut other) = (BTreeSet::new(), 0);
        let mut tiers: BTreeMap<&str, u32> = BTreeMap::new();
        for s in segments {
            // What started with settings that cannot be read cannot be started again: it is not covered.
            if let (false, Ok(facts)) =
                (tiers.contains_key(s.name.as_str()), platform_settings::parse(s.settings.as_bytes()))
            {
                tiers.insert(&s.name, facts.settings.tier);
            }
        }
        let ours = |s: &&Segment| {
            tiers.get(s.name.as_str()).is_some_and(|t| job.tier.is_none_or(|tier| tier == *t))
                && s.revision == job.from
        };
        for s in segments.iter().filter(ours) {
            let differs = job::differ(s, &listed);
            if differs.is_empty() {
                by_name.insert((&s.name, s.generation, s.number), s);
            } else {
                other += 1;
                strange.extend(differs);
            }
        }
        // As old as the middle proxy's newest: one clock that is ahead makes nothing old.
        let mut ends: BTreeMap<&str, f64> = BTreeMap::new();
        by_name.values().for_each(|s| {
            let end = ends.entry(&s.name).or_insert(s.span_ms.1);
            *end = end.max(s.span_ms.1);
        });
        let newest = median(ends.into_values().collect());
        by_name.retain(|_, s| s.span_ms.1 > newest - job.bounds.span_ms);
        let kept: Vec<&Segment> = by_name.into_values().collect();
        let other_list = other > kept.len();
        let mut r = Records {
            backends: job.listed.clone(),
            classes: Vec::new(),
            proxies: Vec::new(),
            requests: Vec::new(),
            calls: Vec::new(),
            length: 0.0,
            covered: 0.0,
            age: job.now_ms - newest,
            differ: if other_list { strange.into_iter().collect() } else { Vec::new() },
            digest: segment::digest(job.list_version, &kept),
        };
        let offsets = clock_offsets::offsets(segments, &tiers);
        let offset = |s: &Segment| offsets.get(s.name.as_str()).copied().unwrap_or(0.0);
        let mut spans: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for s in &kept {
            let (from, to) = (s.span_ms.0 + offset(s), s.span_ms.1 + offset(s));
            let span = spans.entry(&s.name).or_insert((from, to));
            *span = (span.0.min(from), span.1.max(to));
        }
        // The middle ones, so that one clock that is off moves nothing.
        let from = median(spans.values().map(|s| s.0).collect());
        let to = median(spans.values().map(|s| s.1).collect());
        r.length = (to - from).max(0.0);
        let mut last: Option<(&str, u64, u32)> = None;
        let (mut copies, mut covered) = (0, 0.0);
        let mut classes: Vec<u16> = Vec::new();
        for s in kept {
            let Ok(facts) = platform_settings::parse(s.settings.as_bytes()) else { continue };
            if facts.settings.validate().is_err() {
                continue;
            }
            copies = copies.max(facts.settings.instance_count);
            let start = (s.span_ms.0 + offset(s) - from).max(0.0);
            let length = (s.span_ms.1 + offset(s) - from).min(r.length) - start;
            let found = s.traces.len() as f64;
            covered +=
                length.max(0.0) / r.length.max(1.0) * found.max(1.0) / (found.max(1.0) + s.dropped as f64);
            if last.is_none_or(|(name, generation, sampled)| {
                (name, generation, sampled) != (&s.name, s.generation, s.sampled)
            }) {
                last = Some((&s.name, s.generation, s.sampled));
                let names = &facts.site.classes;
                classes = (0..facts.settings.classes.len()).map(|i| r.class(names.get(i), i)).collect();
                r.proxies.push(Proxy {
                    zone: s.zone.clone(),
                    zones: facts.site.zones,
                    settings: facts.settings,
                    scale: f64::from(SAMPLED_OF) / f64::from(s.sampled.max(1)),
                    seed: u64::from(crc32fast::hash(s.name.as_bytes())),
                    peers: Vec::new(),
                });
            }
            if let (Some(peers), Some(p)) = (s.peers, r.proxies.last_mut())
                && p.peers.last().is_none_or(|(_, last)| *last != peers)
            {
                p.peers.push((start, peers));
            }
            let places: Vec<u32> =
                s.backends.iter().map(|b| places.get(b.0.as_str()).copied().unwrap_or(0)).collect();
            r.take(s, offset(s) - from, &classes, &places);
        }
        let fleet = if job.fleet > 0 { job.fleet as f64 } else { f64::from(copies.max(1)) };
        r.requests.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.proxy.cmp(&b.proxy)).then(a.id.cmp(&b.id)));
        r.shorten();
        r.covered = (covered / fleet.max(spans.len() as f64)).min(1.0);
        r
    }

    /// Leaves out the earliest where there are more requests than a replay may take.
    fn shorten(&mut self) {
        let mut room = MOST;
        let scale = |q: &&Request| {
            room -= self.proxies[q.proxy as usize].scale;
            room >= 0.0
        };
        let kept = self.requests.iter().rev().take_while(scale).count();
        let Some(left) = self.requests.len().checked_sub(kept).filter(|left| *left > 0) else { return };
        let from = self.requests.get(left).map_or(self.length, |q| q.at);
        self.requests.drain(..left);
        self.calls.retain(|c| c.at >= from);
        self.requests.iter_mut().for_each(|q| q.at -= from);
        self.calls.iter_mut().for_each(|c| c.at -= from);
        self.proxies.iter_mut().flat_map(|p| &mut p.peers).for_each(|p| p.0 = (p.0 - from).max(0.0));
        self.length -= from;
    }

    /// The fleet's place of a class, by name.
    fn class(&mut self, name: Option<&String>, i: usize) -> u16 {
        let name = name.filter(|n| !n.is_empty()).cloned().unwrap_or_else(|| format!("class {i}"));
        let place = self.classes.iter().position(|c| *c == name).unwrap_or_else(|| {
            self.classes.push(name);
            self.classes.len() - 1
        });
        place as u16
    }

    fn take(&mut self, s: &Segment, shift: f64, classes: &[u16], places: &[u32]) {
        let proxy = self.proxies.len() as u32 - 1;
        for t in &s.traces {
            let at = t.at_ms + shift;
            let Some(&class) =
                classes.get(usize::from(t.class)).filter(|_| (0.0..=self.length).contains(&at))
            else {
                continue;
            };
            self.requests.push(Request {
                proxy,
                id: t.id,
                at,
                class,
                own_class: t.class,
                tenant: t.tenant,
                key: t.key,
                patience: t.patience_ms,
                ending: t.ending,
                took: t.took_ms,
                malformed: t.tries.iter().any(|a| a.reply == Reply::Malformed),
                beside: t
                    .tries
                    .iter()
                    .rfind(|a| a.reply == Reply::Ok)
                    .map(|a| t.took_ms - a.after_ms - a.wait_ms),
            });
            self.calls.extend(t.tries.iter().map(|a| Call {
                proxy,
                backend: places.get(a.backend as usize).copied().unwrap_or(0),
                class,
                at: at + a.after_ms,
                wait: a.wait_ms,
                reply: a.reply,
                own: a.in_flight,
            }));
        }
    }
}
