//! A day's changes, compressed, and twenty in a burst.

use super::{LONG_TTL_MS, Stage, tell};
use crate::registry_rig::call;
use crate::run::clock::now_us;
use crate::run::error::Result;
use crate::run::plan::instances;
use crate::run::report::Row;
use crate::run::window::Window;
use serde_json::json;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Changes one after the other: a fortieth of the 1,600 of a day at 4,100.
const IN_TURN: usize = 40;
/// The pause between them; in a day of 1,600 it is 54 s.
const PAUSE: Duration = Duration::from_millis(100);
/// Changes at once.
const BURST: usize = 20;

pub(super) async fn play(stage: &mut Stage, row: &mut Row) -> Result<()> {
    let window = Window::open(&stage.fleet).await?;
    let mut last = 0;
    for _ in 0..IN_TURN {
        let service = stage.some_service();
        last = now_us();
        stage.change(&service).await?;
        sleep(PAUSE).await;
    }
    stage.fleet.all_hold_lists(0).await?;
    row.add("40 changes in turn: all hold the last after", "ms", super::since(last));
    let taken = window.close(&stage.fleet).await?;
    taken.tell(row, &stage.fleet, stage.idle);
    if let Some(idle) = stage.idle {
        let above = taken.registry.cpu_s - idle * taken.seconds;
        row.add("registry cpu a change above idle", "ms", 1000.0 * above / IN_TURN as f64);
    }
    burst(stage, row).await
}

async fn burst(stage: &mut Stage, row: &mut Row) -> Result<()> {
    let (mut calls, mut services) = (JoinSet::new(), Vec::new());
    let (from, at) = (now_us(), stage.fleet.registry.address);
    for _ in 0..BURST {
        let service = stage.some_service();
        let body = json!({"ttl_ms": LONG_TTL_MS, "hosts": [stage.next_change(&service)]}).to_string();
        let path = instances(service.as_deref());
        calls.spawn(async move { call(at, "PUT", &path, body.into_bytes()).await });
        services.push(service);
    }
    let taken = calls.join_all().await.into_iter().filter(|answer| matches!(answer, Ok((200, _)))).count();
    row.add("20 at once: taken", "", taken as f64);
    services.sort();
    services.dedup();
    tell(row, "20 at once", stage.fleet.services_hold(from, &services).await?);
    stage.fleet.real_hold_lists().await
}
