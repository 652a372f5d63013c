//! How evenly a fleet of real proxies loads its backends: `cargo bench --bench spread -- --help`. Proxies, a registry,
//! 60 backends of one zone and Poisson clients, all on loopback; each build is measured in turn under the same arrivals.
//! docs/spread.md tells what the figures mean.

#[path = "../tests/fleet/mod.rs"]
mod fleet;
#[path = "../tests/registry_rig/mod.rs"]
mod registry_rig;
#[path = "spread/rows.rs"]
mod rows;
#[path = "../tests/waits/mod.rs"]
mod waits;

use clap::Parser;
use registry_rig::{Registry, data_dir};
use rows::{Measured, ROWS};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Measures how evenly proxies load backends.
#[derive(Parser)]
#[command(name = "spread")]
struct Args {
    /// The proxy to measure.
    #[arg(long, default_value = env!("CARGO_BIN_EXE_proxy"))]
    program: PathBuf,
    /// Another build of it, measured in turn with the first; ratios are over this one.
    #[arg(long)]
    baseline: Option<PathBuf>,
    /// Cases to run, from 1, parted by commas; all if there are none.
    #[arg(long, value_delimiter = ',', value_parser = clap::value_parser!(u64).range(1..=ROWS.len() as u64))]
    rows: Vec<u64>,
    /// How long the clients of a case send; 15, or 30 where each sends little.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: Option<u64>,
    /// Seed of arrivals, of work and of the proxies.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Each case so many times, with a seed one higher each time.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100))]
    plays: u64,
    /// `cargo bench` passes this.
    #[arg(long, hide = true)]
    bench: bool,
}

/// Descriptors of the largest case: connections of clients and backends, logs, and what the runtime needs.
const DESCRIPTORS: u64 = 8192;

#[tokio::main(flavor = "multi_thread", worker_threads = 3)]
async fn main() {
    let args = Args::parse();
    if descriptors().is_some_and(|limit| limit < DESCRIPTORS) {
        eprintln!("spread: too few descriptors; run `ulimit -n {DESCRIPTORS}` first");
        std::process::exit(1);
    }
    let programs: Vec<(&str, &Path)> = args.baseline.iter().map(|p| ("baseline", p.as_path())).collect();
    let programs = [programs, vec![("program", args.program.as_path())]].concat();
    let registry = Registry::start(&data_dir("bench-spread"), &["--sync", "group"]).await;
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores, load average at the start {}", load.trim());
    println!(
        "{} backends, exponential work of {:?}, Poisson clients, seed {}, {} plays\n",
        rows::BACKENDS,
        fleet::backends::MEAN_WORK,
        args.seed,
        args.plays
    );
    println!(
        "| case | build | variance | max/mean | min/mean | connections (ever) | calls | 503 (first s) | failed | slow | failing | peak in 100 ms | MB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (n, row) in ROWS.iter().enumerate() {
        if !args.rows.is_empty() && !args.rows.contains(&(n as u64 + 1)) {
            continue;
        }
        for play in 0..args.plays {
            let mut first: Option<Measured> = None;
            for (name, program) in &programs {
                let begun = Instant::now();
                let lasts = Duration::from_secs(args.seconds.unwrap_or(row.seconds));
                let got = row.measure(program, &registry, args.seed + play, lasts).await;
                println!("{}", line(row.about, name, &got));
                eprintln!("case {} {name}: {:.0} s", n + 1, begun.elapsed().as_secs_f64());
                match &first {
                    Some(base) => println!("{}", ratios(row.about, base, &got)),
                    None => first = Some(got),
                }
            }
        }
    }
}

fn line(about: &str, build: &str, m: &Measured) -> String {
    let part = |p: Option<f64>| p.map_or("-".into(), |p| format!("{p:.2}"));
    format!(
        "| {about} | {build} | {:.2} | {:.2} | {:.2} | {} ({}) | {} | {:.2} % ({:.2} %) | {:.2} % | {} | {} | {} | {:.1} |",
        m.spread.variance,
        m.spread.max,
        m.spread.min,
        m.connections,
        m.opened,
        m.spread.calls,
        m.refused * 100.0,
        m.refused_early * 100.0,
        m.failed * 100.0,
        part(m.slow),
        part(m.failing),
        m.peak,
        m.memory as f64 / 1024.0
    )
}

fn ratios(about: &str, base: &Measured, got: &Measured) -> String {
    let over = |got: f64, base: f64| if base > 0.0 { format!("{:.2}", got / base) } else { "-".into() };
    let parts = |got: Option<f64>, base: Option<f64>| match (got, base) {
        (Some(got), Some(base)) => over(got, base),
        _ => "-".into(),
    };
    format!(
        "| {about} | ratio | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        over(got.spread.variance, base.spread.variance),
        over(got.spread.max, base.spread.max),
        over(got.spread.min, base.spread.min),
        over(got.connections as f64, base.connections as f64),
        over(got.spread.calls as f64, base.spread.calls as f64),
        over(got.refused, base.refused),
        over(got.failed, base.failed),
        parts(got.slow, base.slow),
        parts(got.failing, base.failing),
        over(got.peak as f64, base.peak as f64),
        over(got.memory as f64, base.memory as f64)
    )
}

/// How many this process may hold.
fn descriptors() -> Option<u64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|l| l.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
