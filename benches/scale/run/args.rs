//! The command line.

use clap::{Parser, ValueEnum};
use std::path::PathBuf;

/// Plays the control traffic of fleets of several sizes against one registry and fits slopes to its cost.
#[derive(Parser, Clone, Debug)]
#[command(name = "scale")]
pub struct Args {
    /// Backends, each with its proxy, of each fleet that the slopes are fitted to.
    #[arg(long, value_delimiter = ',', default_value = "256,512,1024,2048")]
    pub sizes: Vec<usize>,
    /// The size that is predicted first and then run; 0 for none.
    #[arg(long, default_value_t = 4100)]
    pub holdout: usize,
    /// Runs of each size but the held-out one.
    #[arg(long, default_value_t = 1)]
    pub repeats: usize,
    /// Services at 4,100 backends, in proportion at other sizes; 0 for a registry that knows no services.
    #[arg(long, default_value_t = 0)]
    pub services: usize,
    /// The largest service over the mean one.
    #[arg(long, default_value_t = 10.0)]
    pub largest: f64,
    /// Processes that share the hollow proxies.
    #[arg(long, default_value_t = 8)]
    pub workers: usize,
    /// Real proxies among those of a fleet.
    #[arg(long, default_value_t = 4)]
    pub real: usize,
    /// What is played, in this order; all of it if none is named.
    #[arg(long, value_enum, value_delimiter = ',')]
    pub scenarios: Vec<Scenario>,
    /// Seconds of steady traffic that are measured.
    #[arg(long, default_value_t = 20)]
    pub steady_s: u64,
    /// Seconds that a region is cut off.
    #[arg(long, default_value_t = 10)]
    pub cut_s: u64,
    /// A backend's registration lives for so long without renewal.
    #[arg(long, default_value_t = 30_000)]
    pub ttl_ms: u64,
    /// A proxy reports so often.
    #[arg(long, default_value_t = 5000)]
    pub report_ms: u64,
    /// Each stage of a rollout stands for so long here; 30 s is the default elsewhere.
    #[arg(long, default_value_t = 1000)]
    pub stand_ms: u64,
    /// Seconds that all proxies may take to hold the truth.
    #[arg(long, default_value_t = 120)]
    pub patience_s: u64,
    /// The registry to run.
    #[arg(long, default_value = env!("CARGO_BIN_EXE_registry"))]
    pub registry: PathBuf,
    /// The proxy to run.
    #[arg(long, default_value = env!("CARGO_BIN_EXE_proxy"))]
    pub proxy: PathBuf,
    /// JSON lines are added to this file.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Given by cargo.
    #[arg(long, hide = true)]
    pub bench: bool,
    /// Hosts hollow proxies by the orders on standard input.
    #[arg(long, hide = true)]
    pub worker: bool,
}

/// What can be played.
#[derive(ValueEnum, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing happens.
    Steady,
    /// One change of the list at a time.
    Change,
    /// The registry's machine is replaced: its data directory is gone.
    RegistryEmpty,
    /// The registry is killed and started again.
    RegistryRestart,
    /// Machines are restarted one after the other.
    Restarts,
    /// Thirty at once are lost, and come back.
    Rack,
    /// A fourteenth of the fleet is lost, and comes back.
    Zone,
    /// A quarter is cut off, the list changes, and the cut heals.
    Region,
    /// Changes one after the other, and twenty at once.
    Changes,
    /// A route table goes out by its stages.
    Rollout,
}

impl Scenario {
    /// Its name on the command line and in the output.
    pub fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_string())
    }
}

impl Args {
    /// What is played.
    pub fn played(&self) -> Vec<Scenario> {
        if self.scenarios.is_empty() { Scenario::value_variants().to_vec() } else { self.scenarios.clone() }
    }
}
