//! Machines that are restarted, and racks and zones that are lost and come back.

use super::{Stage, tell};
use crate::run::clock::now_us;
use crate::run::error::Result;
use crate::run::plan::ZONES;
use crate::run::report::Row;
use crate::run::window::Window;
use std::time::Duration;
use tokio::time::sleep;

/// Restarts of an hour at 4,100 backends: 730 a day.
const RESTARTS_AN_HOUR: f64 = 30.4;
/// The size that this is for.
const TARGET: f64 = 4100.0;
/// Fewer than this show nothing.
const LEAST: usize = 4;
/// The pause between two restarts; in a day of 730 it is 118 s.
const PAUSE: Duration = Duration::from_millis(200);
/// Backends of a rack.
const RACK: usize = 30;

/// An hour's restarts, one after the other.
pub(super) async fn restarts(stage: &mut Stage, row: &mut Row) -> Result<()> {
    let part = stage.fleet.plan.size() as f64 / TARGET;
    let count = ((RESTARTS_AN_HOUR * part) as usize).max(LEAST);
    let some = spaced(&stage.fleet.hollow(), count);
    let window = Window::open(&stage.fleet).await?;
    let mut last = 0;
    for number in &some {
        stage.fleet.stop(&[*number]).await?;
        last = now_us();
        stage.fleet.start_again(&[*number]).await?;
        sleep(PAUSE).await;
    }
    stage.fleet.all_hold_lists(0).await?;
    row.add("restarts", "", some.len() as f64);
    row.add("all hold the truth after the last", "ms", super::since(last));
    let taken = window.close(&stage.fleet).await?;
    stage.fleet.real_hold_lists().await?;
    taken.tell(row, &stage.fleet, stage.idle);
    if let Some(idle) = stage.idle {
        let above = taken.registry.cpu_s - idle * taken.seconds;
        row.add("registry cpu a restart above idle", "ms", 1000.0 * above / some.len() as f64);
    }
    Ok(())
}

/// Thirty neighbours at once.
pub(super) async fn rack(stage: &mut Stage, row: &mut Row) -> Result<()> {
    let some: Vec<usize> = stage.fleet.hollow().into_iter().take(RACK).collect();
    lost_and_back(stage, row, &some).await
}

/// A zone of fourteen: 293 at 4,100.
pub(super) async fn zone(stage: &mut Stage, row: &mut Row) -> Result<()> {
    let hollow = stage.fleet.hollow().into_iter();
    let some: Vec<usize> = hollow.filter(|number| number % ZONES == ZONES - 1).collect();
    lost_and_back(stage, row, &some).await
}

async fn lost_and_back(stage: &mut Stage, row: &mut Row, some: &[usize]) -> Result<()> {
    let window = Window::open(&stage.fleet).await?;
    let from = now_us();
    stage.fleet.stop(some).await?;
    let mut services: Vec<_> = some.iter().map(|n| stage.fleet.plan.services[*n].clone()).collect();
    services.sort();
    services.dedup();
    row.add("lost at once", "", some.len() as f64);
    tell(row, "lost, by their TTL", stage.fleet.services_hold(from, &services).await?);
    let taken = window.close(&stage.fleet).await?;
    taken.tell(row, &stage.fleet, stage.idle);
    let window = Window::open(&stage.fleet).await?;
    let from = now_us();
    stage.fleet.start_again(some).await?;
    tell(row, "back", stage.fleet.services_hold(from, &services).await?);
    let taken = window.close(&stage.fleet).await?;
    row.add("back: registry cpu", "ms", 1000.0 * taken.registry.cpu_s);
    row.add("back: whole lists", "", taken.traffic.whole_lists as f64);
    row.add("back: most calls a second", "/s", stage.most_calls(from).await?);
    stage.fleet.real_hold_lists().await
}

/// So many of these, evenly spaced.
fn spaced(of: &[usize], count: usize) -> Vec<usize> {
    of.iter().copied().step_by((of.len() / count.max(1)).max(1)).take(count).collect()
}
