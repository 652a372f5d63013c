//! The cases, and how one of them is measured.

use crate::fleet::{backends, clients, processes, statistics};
use crate::registry_rig::Registry;
use serde_json::json;
use statistics::Spread;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

/// Backends of the one zone.
pub const BACKENDS: usize = 60;
/// Places of the ill ones, where a case has such.
const SLOW: std::ops::Range<usize> = 0..3;
const FAILING: std::ops::Range<usize> = 30..33;
/// How much slower the slow ones are.
const TIMES_SLOWER: u64 = 6;
/// One proxy in so many gets so many times the mean, where a case has that.
const UNEVEN: (usize, f64) = (10, 5.0);

/// A case.
pub struct Row {
    pub about: &'static str,
    proxies: usize,
    /// Requests a second of a proxy, on the mean.
    rate: f64,
    members: bool,
    uneven: bool,
    ill: bool,
    /// How long the clients send unless told.
    pub seconds: u64,
}

const fn row(about: &'static str, proxies: usize, rate: f64) -> Row {
    Row { about, proxies, rate, members: false, uneven: false, ill: false, seconds: 15 }
}

pub const ROWS: [Row; 6] = [
    row("120 x 2/s", 120, 2.0),
    Row { members: true, ..row("120 x 2/s, membership on", 120, 2.0) },
    // Twice as long, or a backend would get too few calls to show anything.
    Row { seconds: 30, ..row("240 x 0.5/s", 240, 0.5) },
    Row { uneven: true, ..row("120 x 2/s, one in ten gets five times the mean", 120, 2.0) },
    row("120 x 8/s", 120, 8.0),
    Row { ill: true, ..row("120 x 2/s, 3 backends 6 times slower, 3 failing", 120, 2.0) },
];

/// What a case gave.
pub struct Measured {
    pub spread: Spread,
    pub connections: usize,
    /// Connections ever opened for each one open in the end.
    pub opened: usize,
    pub refused: f64,
    /// Refused within the first second, as a share of all.
    pub refused_early: f64,
    pub failed: f64,
    pub slow: Option<f64>,
    pub failing: Option<f64>,
    pub peak: usize,
    /// Most memory of a proxy, in KB.
    pub memory: usize,
}

impl Row {
    fn rates(&self) -> Vec<f64> {
        let (one_in, times) = UNEVEN;
        let rest = (one_in as f64 - times) / (one_in - 1) as f64;
        let factor = |n: usize| match self.uneven {
            false => 1.0,
            true if n.is_multiple_of(one_in) => times,
            true => rest,
        };
        (0..self.proxies).map(|n| self.rate * factor(n)).collect()
    }

    /// Runs it with proxies of one build.
    pub async fn measure(&self, program: &Path, registry: &Registry, seed: u64, lasts: Duration) -> Measured {
        let backends = backends::start(BACKENDS, seed).await;
        if self.ill {
            backends[SLOW].iter().for_each(|b| b.slow_down(TIMES_SLOWER));
            backends[FAILING].iter().for_each(|b| b.state.respond_500.store(true, SeqCst));
        }
        registry.put(86_400_000, backends.iter().map(|b| b.endpoint_entry("SERVING")).collect()).await;
        let configs = (0..self.proxies).map(|n| processes::config(n, self.proxies, registry.address, seed));
        let configs = configs.collect();
        let fleet = match self.members {
            true => processes::start_members(program, configs, &json!({})).await,
            false => processes::start(program, configs).await,
        };
        let addresses: Vec<SocketAddr> = fleet.iter().map(|p| p.addr).collect();
        let tally = Arc::new(clients::Tally::default());
        clients::run(addresses, self.rates(), seed, lasts, tally.clone()).await;
        let counts = statistics::call_counts(&backends);
        let ill = |of| self.ill.then(|| statistics::relative_share(&counts, of));
        let measured = Measured {
            spread: statistics::spread(&counts),
            connections: statistics::open_connections(&backends),
            opened: backends.iter().map(|b| b.state.connections_total.load(SeqCst)).sum(),
            refused: tally.share(&tally.refused),
            refused_early: tally.share(&tally.refused_early),
            failed: tally.share(&tally.failed),
            slow: ill(SLOW),
            failing: ill(FAILING),
            peak: statistics::peak_interval_calls(&backends),
            memory: fleet.iter().map(processes::Process::peak_kb).max().unwrap_or(0),
        };
        drop(fleet);
        registry.put(1000, backends.iter().map(|b| b.endpoint_entry("DELETED")).collect()).await;
        measured
    }
}
