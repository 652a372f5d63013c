//! Nothing happens: what the control traffic costs all the time.

use super::Stage;
use crate::run::error::Result;
use crate::run::report::Row;
use crate::run::window::Window;
use std::time::Duration;
use tokio::time::sleep;

pub(super) async fn play(stage: &mut Stage, row: &mut Row) -> Result<()> {
    let window = Window::open(&stage.fleet).await?;
    sleep(Duration::from_secs(stage.fleet.args.steady_s)).await;
    let taken = window.close(&stage.fleet).await?;
    taken.tell(row, &stage.fleet, None);
    let (seconds, proxies) = (taken.seconds, stage.fleet.hollow_count() as f64);
    stage.idle = Some(taken.registry.cpu_s / seconds);
    row.add("registry cpu a second", "% of a core", 100.0 * taken.registry.cpu_s / seconds);
    row.add(
        "workers' cpu a proxy and second",
        "% of a core",
        100.0 * taken.workers.cpu_s / seconds / proxies,
    );
    for (of, real) in taken.real.iter().enumerate() {
        let peers = stage.fleet.plan.peers(stage.fleet.real[of].number);
        row.add(format!("real proxy {of}, with backends"), "", peers as f64);
        row.add(format!("real proxy {of}: cpu a second"), "% of a core", 100.0 * real.cpu_s / seconds);
        row.add(format!("real proxy {of}: memory"), "MiB", real.resident_mib);
    }
    for (kind, count) in &taken.traffic.kinds {
        if count.messages > 0 {
            let of = |count: u64| count as f64 / proxies / seconds;
            row.add(format!("{}: messages a proxy and second", kind.name()), "/s", of(count.messages));
            row.add(format!("{}: bytes a proxy and second", kind.name()), "B/s", of(count.bytes()));
        }
    }
    let total = taken.traffic.total();
    row.add("all messages a second", "/s", total.messages as f64 / seconds);
    row.add("all bytes a proxy and second", "B/s", total.bytes() as f64 / proxies / seconds);
    Ok(())
}
