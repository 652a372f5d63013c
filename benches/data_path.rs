//! What a proxy's own work costs by the length of its list: `cargo bench --bench data_path -- --help`. The proxy as a
//! process between an open-loop client and backends that answer at once, its list from a registry; and the decision
//! module alone, in this process. Figures of one machine: compare sizes, or two builds of one run.

#[path = "data_path/client.rs"]
mod client;
#[path = "../tests/fleet/mod.rs"]
mod fleet;
#[path = "data_path/module.rs"]
mod module;
#[path = "data_path/processor.rs"]
mod processor;
#[path = "data_path/proxy.rs"]
mod proxy;
#[path = "../tests/registry_rig/mod.rs"]
mod registry_rig;
#[path = "../tests/waits/mod.rs"]
mod waits;

use clap::Parser;
use serde_json::{Value, json};
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

/// Measures what a proxy costs by the length of its list.
#[derive(Parser)]
#[command(name = "data_path")]
struct Args {
    /// The proxy to measure.
    #[arg(long, default_value = env!("CARGO_BIN_EXE_proxy"))]
    program: PathBuf,
    /// Another build of it, measured at each size before the first.
    #[arg(long)]
    baseline: Option<PathBuf>,
    /// How many backends are listed, parted by commas.
    #[arg(long, value_delimiter = ',', default_values_t = [18, 200, 1000, 4100], value_parser = clap::value_parser!(u32).range(1..=10_000))]
    backends: Vec<u32>,
    /// How many proxies the tier has; as many as backends if not given.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..))]
    copies: Option<u32>,
    /// Calls a second, parted by commas.
    #[arg(long, value_delimiter = ',', default_values_t = [54, 500], value_parser = clap::value_parser!(u32).range(1..=5000))]
    rates: Vec<u32>,
    /// How long each load lasts, and the time without any.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Each size so many times.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100))]
    plays: u32,
    /// Writes one line of JSON for each row there.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Only the decision module, in this process.
    #[arg(long)]
    module_only: bool,
    /// `cargo bench` passes this.
    #[arg(long, hide = true)]
    bench: bool,
}

impl Args {
    fn copies(&self, backends: u32) -> u32 {
        self.copies.unwrap_or(backends)
    }
}

/// Rows for people on the standard output, and for programs in a file.
struct Rows {
    file: Option<File>,
    kind: &'static str,
}

impl Rows {
    /// Prints a row; above the first of its kind its columns' names.
    fn add(&mut self, kind: &'static str, row: Value) {
        let row = row.as_object().expect("a row");
        if self.kind != kind {
            self.kind = kind;
            let names: Vec<&str> = row.keys().map(String::as_str).collect();
            println!("\n{kind}\n| {} |\n|{}", names.join(" | "), " --- |".repeat(names.len()));
        }
        let cell = |value: &Value| match value {
            Value::Number(n) if n.is_f64() => format!("{:.3}", n.as_f64().expect("a number")),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        println!("| {} |", row.values().map(cell).collect::<Vec<_>>().join(" | "));
        if let Some(file) = &mut self.file {
            let mut line = row.clone();
            line.insert("kind".into(), kind.into());
            writeln!(file, "{}", Value::Object(line)).expect("the file takes a line");
        }
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let args = Args::parse();
    let file = args.json.as_ref().map(|path| File::create(path).expect("the file can be written"));
    let mut rows = Rows { file, kind: "" };
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores, load average at the start {}", load.trim());
    for &backends in &args.backends {
        for cold in [false, true] {
            rows.add("module", module::measure(backends, args.copies(backends), cold));
        }
    }
    if args.module_only {
        return;
    }
    let programs = args.baseline.iter().map(|p| ("baseline", p)).chain([("program", &args.program)]);
    let programs: Vec<_> = programs.collect();
    for &backends in &args.backends {
        for play in 0..args.plays {
            for (build, program) in &programs {
                let lasts = Duration::from_secs(args.seconds);
                let under = proxy::Under::start(program, backends, args.copies(backends)).await;
                let about = json!({"build": build, "backends": backends, "play": play});
                let idle = under.idle(lasts).await;
                rows.add("control", merged(&about, json!({"idle_core_percent": 100.0 * idle})));
                let change_ms = under.change(idle).await;
                rows.add("change", merged(&about, json!({"change_ms": change_ms})));
                for &rate in &args.rates {
                    rows.add("calls", merged(&about, under.calls(rate, lasts, idle).await));
                }
            }
        }
    }
}

fn merged(about: &Value, more: Value) -> Value {
    let mut row = about.as_object().expect("an object").clone();
    row.extend(more.as_object().expect("an object").clone());
    Value::Object(row)
}
