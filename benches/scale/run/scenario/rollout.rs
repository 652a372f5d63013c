//! A route table goes out by its stages. What a stage stands is arithmetic; what is measured is how fast each stage's
//! proxies have the table once they may.

use super::{Stage, tell};
use crate::run::clock::now_us;
use crate::run::error::Result;
use crate::run::plan::entry;
use crate::run::report::Row;
use crate::run::spread::Spread;
use crate::run::window::Window;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::sleep;

/// Stages of a rollout.
const STAGES: usize = 4;
/// What each stands by default, ms.
const DEFAULT_STAND_MS: f64 = 30_000.0;
/// How often the registry's state is looked at.
const LOOK: Duration = Duration::from_millis(100);
const PATH: &str = "/registry/routes";

pub(super) async fn play(stage: &mut Stage, row: &mut Row) -> Result<()> {
    let registry = &stage.fleet.registry;
    let lease = json!({"duty": "routes", "holder": "scale", "ttl_ms": 600_000});
    let token = registry.call("PUT", "/registry/leases", &lease).await?["token"].clone();
    let newest = registry.call("GET", PATH, &Value::Null).await?["newest"].clone();
    let host = entry(0)["host"].as_str().unwrap_or_default().to_string();
    let proposal = json!({"from": newest, "weights": {"backends": {host: 0.5}}, "by": "scale",
        "fence": {"duty": "routes", "token": token}});
    let window = Window::open(&stage.fleet).await?;
    let from = now_us();
    let revision = registry.call("PUT", PATH, &proposal).await?["revision"].as_u64().unwrap_or_default();
    let mut times: Vec<u64> =
        stage.fleet.table_times(revision).await?.into_iter().map(|(_, at)| at).collect();
    stage.fleet.real_hold_table(revision).await?;
    while registry.call("GET", PATH, &Value::Null).await?["in_force"]["revision"] != revision {
        sleep(LOOK).await;
    }
    let done = super::since(from);
    let taken = window.close(&stage.fleet).await?;
    taken.tell(row, &stage.fleet, stage.idle);
    let stand = stage.fleet.args.stand_ms as f64;
    tell(row, "change of the table", Spread::after(from, times.clone()));
    row.add("rollout done, as played", "ms", done);
    row.add(
        "rollout done, with 30 s a stage (arithmetic)",
        "ms",
        done + STAGES as f64 * (DEFAULT_STAND_MS - stand),
    );
    times.sort_unstable();
    for (number, of) in stages(&times).into_iter().enumerate() {
        let first = of.first().copied().unwrap_or_default();
        row.add(format!("stage {}: proxies", number + 1), "", of.len() as f64);
        row.add(format!("stage {}: from its first to its last", number + 1), "ms", {
            Spread::after(first, of.to_vec()).last
        });
    }
    Ok(())
}

/// Times in order, parted at the longest gaps: within a stage there is none that is as long as a stage stands.
fn stages(times: &[u64]) -> Vec<&[u64]> {
    let mut gaps: Vec<(u64, usize)> =
        times.windows(2).zip(1..).map(|(two, at)| (two[1] - two[0], at)).collect();
    gaps.sort_unstable_by(|a, b| b.cmp(a));
    let mut ends: Vec<usize> = gaps.into_iter().take(STAGES - 1).map(|(_, at)| at).collect();
    ends.sort_unstable();
    ends.push(times.len());
    let mut begin = 0;
    ends.into_iter().map(|end| &times[std::mem::replace(&mut begin, end)..end]).collect()
}
