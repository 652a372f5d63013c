//! One change of the list at a time: when it is in force at the first, the middle one, 99 in 100 and the last.

use super::{Stage, tell};
use crate::run::clock::now_us;
use crate::run::error::Result;
use crate::run::report::Row;
use crate::run::spread::Spread;
use crate::run::traffic::Kind;
use crate::run::window::Window;

/// Changes that are measured.
const ROUNDS: usize = 10;

pub(super) async fn play(stage: &mut Stage, row: &mut Row) -> Result<()> {
    let (mut spreads, mut delivered) = (Vec::new(), 0);
    let window = Window::open(&stage.fleet).await?;
    for _ in 0..ROUNDS {
        let service = stage.some_service();
        delivered += stage.fleet.plan.services.iter().filter(|other| **other == service).count();
        let from = now_us();
        stage.change(&service).await?;
        spreads.push(stage.fleet.services_hold(from, &[service]).await?);
    }
    let taken = window.close(&stage.fleet).await?;
    stage.fleet.real_hold_lists().await?;
    taken.tell(row, &stage.fleet, stage.idle);
    tell(row, "change of the list", Spread::mean(&spreads));
    row.add("deliveries a change", "", delivered as f64 / ROUNDS as f64);
    let watches = taken.traffic.of(Kind::ListWatch);
    row.add("list watch: bytes a change", "B", watches.bytes() as f64 / ROUNDS as f64);
    if let Some(idle) = stage.idle {
        let above = taken.registry.cpu_s - idle * taken.seconds;
        row.add("registry cpu a change above idle", "ms", 1000.0 * above / ROUNDS as f64);
        row.add("registry cpu a delivery above idle", "us", 1e6 * above / delivered.max(1) as f64);
    }
    Ok(())
}
