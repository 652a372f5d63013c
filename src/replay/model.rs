//! What the backends are like, from the records of all proxies. A call's latency is taken apart into the way between
//! the zones, its class's mean, its backend's speed, the growth with the fleet's calls in flight there, and luck.

use super::common_random_numbers::CommonRandomNumbers;
use super::conditions::{Condition, Conditions};
use super::failure::FAILURES;
use super::growth::Growth;
use super::quantiles::Quantiles;
use super::records::{Call, Records};
use super::{Reply, flight};
use std::collections::BTreeMap;

const SHRINK: f64 = 8.0; // calls that the mean of all weighs beside a backend's own
const OWN_SHAPE: usize = 400; // calls from which a backend's own distribution is taken
const OWN_GROWTH: [usize; 2] = [500, 5000]; // calls from which its own growth is, if there is any; and if there is none
const MOST_POINTS: usize = 20_000; // that a growth is fitted to
const LEAST_FULL: usize = 20; // refusals from which a backend's capacity is known
const FAR: usize = 30; // calls from which a way between zones is known

/// A class at a backend.
struct Kind {
    mean: f64,
    shape: usize,
}

pub(super) struct Model {
    classes: usize,
    growth: Vec<Growth>,
    kinds: Vec<Kind>, // by backend, then by class
    shapes: Vec<Quantiles>,
    conditions: Conditions,
    ways: Vec<f64>, // by proxy, then by backend
    full_at: Vec<f64>,
    failed_after: Vec<Quantiles>, // by kind of failure
    /// Most calls in flight that were recorded at each backend.
    pub seen: Vec<f64>,
    /// By class, what a request takes beside its answer's wait.
    pub beside: Vec<f64>,
}

/// A call as it is sent.
pub(super) struct SimulatedCall {
    pub proxy: usize,
    pub backend: usize,
    pub class: usize,
    /// Calls of the fleet in flight there, this one included.
    pub in_flight: f64,
    pub at_ms: f64,
}

fn mean(of: impl Iterator<Item = f64>) -> (f64, f64) {
    of.fold((0.0, 0.0), |(n, sum), x| (n + 1.0, sum + x))
}

/// Latencies that were seen to their end.
fn answered(c: &Call) -> bool {
    matches!(c.reply, Reply::Ok | Reply::Malformed)
}

impl Model {
    pub fn fit(r: &Records) -> Model {
        let (backends, classes) = (r.backends.len(), r.classes.len());
        let flight = flight::of(r);
        let ways = ways(r);
        let way = |c: &Call| ways[c.proxy as usize * backends + c.backend as usize];
        let work = |c: &Call| (c.wait - way(c)).max(0.01);
        let slot = |c: &Call| c.backend as usize * classes + usize::from(c.class);
        let mut class_means = vec![(0.0, 0.0); classes];
        for c in r.calls.iter().filter(|c| answered(c)) {
            let m = &mut class_means[usize::from(c.class)];
            *m = (m.0 + 1.0, m.1 + work(c));
        }
        let class_means: Vec<f64> =
            class_means.iter().map(|(n, sum)| if *n > 0.0 { sum / n } else { 1.0 }).collect();
        let mut at: Vec<Vec<usize>> = vec![Vec::new(); backends];
        (0..r.calls.len())
            .filter(|&i| answered(&r.calls[i]))
            .for_each(|i| at[r.calls[i].backend as usize].push(i));
        let over_mean = |i: usize| work(&r.calls[i]) / class_means[usize::from(r.calls[i].class)];
        // Each one's speed where few calls are out, so that a slow one's many calls do not look like growth.
        let speed: Vec<f64> = at
            .iter()
            .map(|calls| {
                let mut n: Vec<f64> = calls.iter().map(|&i| flight[i]).collect();
                n.sort_by(f64::total_cmp);
                let low = n.get(n.len() / 2).copied().unwrap_or(0.0);
                let (n, sum) = mean(calls.iter().filter(|&&i| flight[i] <= low).map(|&i| over_mean(i)));
                (sum + SHRINK) / (n + SHRINK)
            })
            .collect();
        let points = |calls: &[usize]| -> Vec<(f64, f64)> {
            let stride = calls.len().div_ceil(MOST_POINTS).max(1);
            let of = |&i: &usize| (flight[i], over_mean(i) / speed[r.calls[i].backend as usize]);
            calls.iter().step_by(stride).map(of).collect()
        };
        let mut alike: BTreeMap<(&str, u64), Vec<usize>> = BTreeMap::new();
        let machine = |b: usize| (r.backends[b].class.as_str(), r.backends[b].share.to_bits());
        (0..backends).for_each(|b| alike.entry(machine(b)).or_default().extend(&at[b]));
        let of_machine: BTreeMap<_, Growth> =
            alike.into_iter().map(|(machine, calls)| (machine, Growth::fit(&points(&calls)))).collect();
        let growth: Vec<Growth> = (0..backends)
            .map(|b| {
                let own =
                    if at[b].len() >= OWN_GROWTH[0] { Growth::fit(&points(&at[b])) } else { Growth::FLAT };
                let sure = own != Growth::FLAT || at[b].len() >= OWN_GROWTH[1];
                if sure { own } else { of_machine[&machine(b)] }
            })
            .collect();
        let unloaded = |i: usize| over_mean(i) / growth[r.calls[i].backend as usize].at(flight[i]);
        let mut sums = vec![(0.0, 0.0); backends * classes];
        for &i in at.iter().flatten() {
            let s = &mut sums[slot(&r.calls[i])];
            *s = (s.0 + 1.0, s.1 + unloaded(i));
        }
        let all = mean(at.iter().flatten().map(|&i| unloaded(i)));
        let all = if all.0 > 0.0 { all.1 / all.0 } else { 1.0 };
        let speeds: Vec<f64> = sums
            .chunks(classes.max(1))
            .flat_map(|of| {
                let (n, sum) = of.iter().fold((0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1));
                let whole = (sum + SHRINK * all) / (n + SHRINK);
                of.iter().map(move |(n, sum)| (sum + SHRINK * whole) / (n + SHRINK))
            })
            .collect();
        // Luck is what is left; all backends' of a class together, and a backend's own where it has many calls.
        let luck = |i: usize| unloaded(i) / speeds[slot(&r.calls[i])];
        let mut lucks: Vec<Vec<f64>> = vec![Vec::new(); classes];
        let mut own: Vec<Vec<f64>> = vec![Vec::new(); backends * classes];
        for &i in at.iter().flatten() {
            lucks[usize::from(r.calls[i].class)].push(luck(i));
            own[slot(&r.calls[i])].push(luck(i));
        }
        let conditions = Conditions::of(r, luck);
        let mut shapes: Vec<Quantiles> = lucks.into_iter().map(Quantiles::of).collect();
        let kinds = own
            .into_iter()
            .enumerate()
            .map(|(k, of)| {
                let class = k % classes.max(1);
                let shape = if of.len() < OWN_SHAPE {
                    class
                } else {
                    shapes.push(Quantiles::of(of));
                    shapes.len() - 1
                };
                Kind { mean: class_means[class] * speeds[k], shape }
            })
            .collect();
        let failed_after = FAILURES
            .map(|kind| Quantiles::of(r.calls.iter().filter(|c| c.reply == kind).map(|c| c.wait).collect()));
        let mut seen = vec![0.0_f64; backends];
        r.calls
            .iter()
            .zip(&flight)
            .for_each(|(c, &n)| seen[c.backend as usize] = seen[c.backend as usize].max(n));
        let beside = |class| {
            let of = r.requests.iter().filter(|q| usize::from(q.class) == class).filter_map(|q| q.beside);
            let of: Vec<f64> = of.collect();
            if of.is_empty() { 0.0 } else { Quantiles::of(of).at(0.5) }
        };
        Model {
            beside: (0..classes).map(beside).collect(),
            classes,
            growth,
            kinds,
            shapes,
            conditions,
            ways,
            full_at: full_at(r, &flight),
            failed_after: failed_after.into(),
            seen,
        }
    }

    /// Calls in flight that a backend bears, as far as the records show it.
    pub fn bears(&self, backend: usize) -> f64 {
        self.growth[backend].bears().min(self.full_at[backend])
    }

    /// How a call ends, and after how long; `Timeout` for one that is never answered.
    pub fn answer(&self, call: &SimulatedCall, random: &mut CommonRandomNumbers) -> (Reply, f64) {
        let way = self.ways[call.proxy * self.seen.len() + call.backend];
        let (fails, takes) = (random.next_uniform(), random.next_uniform());
        if call.in_flight > self.full_at[call.backend] {
            return (Reply::Full, self.failed_after[1].at(takes).max(way));
        }
        let condition: &Condition = self.conditions.at(call.backend, call.at_ms);
        if let Some(kind) = condition.failing.iter().position(|&below| fails < below) {
            return (FAILURES[kind], self.failed_after[kind].at(takes).max(way));
        }
        let kind = &self.kinds[call.backend * self.classes + call.class];
        let growth = self.growth[call.backend].at(call.in_flight);
        (Reply::Ok, way + kind.mean * condition.slow * growth * self.shapes[kind.shape].at(takes))
    }
}

/// Calls in flight from which each backend turns calls away, where it does that for its load.
fn full_at(r: &Records, flight: &[f64]) -> Vec<f64> {
    let mut of: Vec<[Vec<f64>; 2]> = vec![Default::default(); r.backends.len()];
    for (c, &n) in r.calls.iter().zip(flight) {
        match c.reply {
            Reply::Full => of[c.backend as usize][1].push(n),
            Reply::Ok => of[c.backend as usize][0].push(n),
            _ => {}
        }
    }
    let limit = |[served, full]: [Vec<f64>; 2]| {
        let (enough, served, full) = (full.len() >= LEAST_FULL, Quantiles::of(served), Quantiles::of(full));
        if enough && full.at(0.5) > served.at(0.9) { full.at(0.25) } else { f64::INFINITY }
    };
    of.into_iter().map(limit).collect()
}

/// What the way from a proxy's zone adds to the latency at a backend, over that from the backend's own zone: the
/// difference of their fastest tenths, in the middle over classes and backends.
fn ways(r: &Records) -> Vec<f64> {
    let mut waits: BTreeMap<(&str, u32, u16), Vec<f64>> = BTreeMap::new();
    for c in r.calls.iter().filter(|c| answered(c)) {
        waits
            .entry((r.proxies[c.proxy as usize].zone.as_str(), c.backend, c.class))
            .or_default()
            .push(c.wait);
    }
    let fast: BTreeMap<_, f64> = waits
        .into_iter()
        .filter(|(_, w)| w.len() >= FAR)
        .map(|(key, w)| (key, Quantiles::of(w).at(0.1)))
        .collect();
    let mut added: BTreeMap<(&str, &str), Vec<f64>> = BTreeMap::new();
    for (&(zone, backend, class), &from_there) in &fast {
        let home = r.backends[backend as usize].zone.as_str();
        if let (true, Some(near)) = (home != zone, fast.get(&(home, backend, class))) {
            added.entry((zone, home)).or_default().push(from_there - near);
        }
    }
    let added: BTreeMap<_, f64> =
        added.into_iter().map(|(pair, of)| (pair, Quantiles::of(of).at(0.5).max(0.0))).collect();
    let way = |from: &str, to: &str| added.get(&(from, to)).copied().unwrap_or(0.0);
    r.proxies
        .iter()
        .flat_map(|p| r.backends.iter().map(|b| way(&p.zone, &b.zone)).collect::<Vec<_>>())
        .collect()
}
