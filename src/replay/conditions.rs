//! Backends' bad hours: windows in which one was surely slower or failed surely more than it does else. They are
//! played as they were, whatever the table.

use super::Reply;
use super::failure::FAILURES;
use super::records::Records;

const WINDOW: f64 = 2000.0; // ms
const SURE: f64 = 5.0; // standard deviations from which a window is not chance
const FEW: f64 = 5.0; // calls under which a window says nothing by itself

#[derive(Clone, Copy)]
pub(super) struct Condition {
    /// Latency over that of the whole time.
    pub slow: f64,
    /// Chance of each kind of failure and those before it.
    pub failing: [f64; FAILURES.len()],
}

pub(super) struct Conditions {
    windows: usize,
    of: Vec<Condition>, // by backend, then by window
}

#[derive(Clone, Copy, Default)]
struct Seen {
    calls: f64,
    answers: f64,
    luck: f64,
    square: f64,
    failed: [f64; FAILURES.len()],
}

impl Seen {
    fn add(&mut self, o: &Seen) {
        self.calls += o.calls;
        self.answers += o.answers;
        self.luck += o.luck;
        self.square += o.square;
        self.failed.iter_mut().zip(o.failed).for_each(|(a, b)| *a += b);
    }
}

impl Conditions {
    /// `luck` is a call's latency over what its backend, class and load explain.
    pub fn of(r: &Records, luck: impl Fn(usize) -> f64) -> Conditions {
        let windows = (r.length / WINDOW) as usize + 1;
        let mut seen = vec![Seen::default(); r.backends.len() * windows];
        let mut longest = vec![0.0_f64; r.classes.len()];
        for c in r.calls.iter().filter(|c| c.reply == Reply::Ok) {
            longest[usize::from(c.class)] = longest[usize::from(c.class)].max(c.wait);
        }
        for (i, c) in r.calls.iter().enumerate() {
            let window = ((c.at / WINDOW).max(0.0) as usize).min(windows - 1);
            let s = &mut seen[c.backend as usize * windows + window];
            match FAILURES.iter().position(|kind| *kind == c.reply) {
                // One that was given up before others were answered may just have been long.
                Some(_) if c.reply == Reply::Timeout && c.wait < longest[usize::from(c.class)] => continue,
                Some(kind) => s.failed[kind] += 1.0,
                None if c.reply == Reply::Ok => {
                    let luck = luck(i);
                    (s.answers, s.luck, s.square) = (s.answers + 1.0, s.luck + luck, s.square + luck * luck);
                }
                None => continue,
            }
            s.calls += 1.0;
        }
        let mut of = Vec::with_capacity(seen.len());
        for backend in seen.chunks(windows) {
            let mut all = Seen::default();
            backend.iter().for_each(|s| all.add(s));
            let usual = condition(&all, &all, 1.0);
            let mut last = usual;
            for s in backend {
                let failed: f64 = s.failed.iter().sum();
                // While nothing went there, it stays as it was last known.
                if s.calls >= FEW {
                    last = judge(s, &all, &usual);
                } else if s.calls > 0.0 && failed == 0.0 {
                    last = usual;
                }
                of.push(last);
            }
        }
        Conditions { windows, of }
    }

    pub fn at(&self, backend: usize, at: f64) -> &Condition {
        &self.of[backend * self.windows + ((at / WINDOW).max(0.0) as usize).min(self.windows - 1)]
    }
}

/// The shares that failed, `all`'s weighing as so many calls.
fn condition(s: &Seen, all: &Seen, weight: f64) -> Condition {
    let (mut failing, mut sum) = ([0.0; FAILURES.len()], 0.0);
    for (kind, below) in failing.iter_mut().enumerate() {
        let usual = all.failed[kind] / all.calls.max(1.0);
        sum += (s.failed[kind] + weight * usual) / (s.calls + weight);
        *below = sum;
    }
    Condition { slow: 1.0, failing }
}

fn judge(s: &Seen, all: &Seen, usual: &Condition) -> Condition {
    let share = usual.failing[FAILURES.len() - 1];
    let failed: f64 = s.failed.iter().sum();
    let chance = (s.calls * share * (1.0 - share) + 1.0).sqrt();
    let mut found = *usual;
    if (failed - s.calls * share).abs() > SURE * chance {
        found = condition(s, all, 1.0);
    }
    let mean = all.luck / all.answers.max(1.0);
    let spread = (all.square / all.answers.max(1.0) - mean * mean).max(0.01).sqrt();
    if s.answers > 0.0 {
        let off = s.luck / s.answers - mean;
        if off.abs() * s.answers.sqrt() > SURE * spread {
            found.slow = (s.luck / s.answers / mean.max(0.01)).max(0.05);
        }
    }
    found
}
