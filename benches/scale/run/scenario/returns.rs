//! The registry is killed and comes back: with its data, or on another machine with an empty disk.

use super::{Stage, tell};
use crate::run::clock::now_us;
use crate::run::error::Result;
use crate::run::report::Row;
use crate::run::window::Window;

/// With its data: one change afterwards shows when all are served again.
pub(super) async fn restart(stage: &mut Stage, row: &mut Row) -> Result<()> {
    let mut window = Window::open(&stage.fleet).await?;
    let killed = now_us();
    stage.fleet.registry.restart(false).await?;
    window.registry_started();
    row.add("registry listens after", "ms", super::since(killed));
    let service = stage.some_service();
    let changed = now_us();
    stage.change(&service).await?;
    tell(row, "change after the return", stage.fleet.services_hold(changed, &[service]).await?);
    all_served(stage, row, killed).await?;
    finish(stage, row, &window, killed).await
}

/// With an empty disk: backends come back with their renewals.
pub(super) async fn empty(stage: &mut Stage, row: &mut Row) -> Result<()> {
    let mut window = Window::open(&stage.fleet).await?;
    let killed = now_us();
    stage.fleet.registry.restart(true).await?;
    window.registry_started();
    row.add("registry listens after", "ms", super::since(killed));
    tell(row, "the truth after the kill", stage.fleet.all_hold_lists(killed).await?);
    stage.fleet.real_hold_lists().await?;
    finish(stage, row, &window, killed).await
}

/// A change in every service reaches everybody.
async fn all_served(stage: &mut Stage, row: &mut Row, killed: u64) -> Result<()> {
    for service in stage.fleet.plan.names() {
        stage.change(&service).await?;
    }
    tell(row, "a change in every service after the kill", stage.fleet.all_hold_lists(killed).await?);
    Ok(())
}

async fn finish(stage: &mut Stage, row: &mut Row, window: &Window, killed: u64) -> Result<()> {
    let taken = window.close(&stage.fleet).await?;
    taken.tell(row, &stage.fleet, stage.idle);
    row.add("whole lists", "", taken.traffic.whole_lists as f64);
    row.add("most calls a second", "/s", stage.most_calls(killed).await?);
    Ok(())
}
