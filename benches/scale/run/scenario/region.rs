//! A quarter of the proxies is cut off in silence, the list changes meanwhile, and the cut heals.

use super::{Stage, tell};
use crate::run::clock::now_us;
use crate::run::error::Result;
use crate::run::fleet::silence;
use crate::run::report::Row;
use crate::run::spread::Spread;
use crate::run::window::Window;
use std::time::Duration;
use tokio::time::sleep;

/// Changes during the cut.
const CHANGES: u32 = 50;

pub(super) async fn play(stage: &mut Stage, row: &mut Row) -> Result<()> {
    let (registry, silent) = (stage.fleet.registry.address, silence().await?);
    let cut = Duration::from_secs(stage.fleet.args.cut_s);
    let numbers = 0..stage.fleet.plan.size();
    let region = numbers.filter(|number| stage.fleet.in_region(*number)).count();
    row.add("cut off", "", region as f64);
    let before = calls(stage);
    stage.fleet.region.iter().for_each(|relay| relay.set_target(silent));
    for _ in 0..CHANGES {
        let service = stage.some_service();
        stage.change(&service).await?;
        sleep(cut / CHANGES).await;
    }
    let calls = (calls(stage) - before) as f64;
    let tries = calls / region.max(1) as f64 / cut.as_secs_f64();
    row.add("list calls of a proxy that is cut off", "/s", tries);
    let window = Window::open(&stage.fleet).await?;
    let healed = now_us();
    stage.fleet.region.iter().for_each(|relay| relay.set_target(registry));
    let times = stage.fleet.list_times().await?;
    let theirs = times.into_iter().filter(|(number, _)| stage.fleet.in_region(*number));
    tell(row, "the truth after the heal", Spread::after(healed, theirs.map(|(_, at)| at).collect()));
    let taken = window.close(&stage.fleet).await?;
    taken.tell(row, &stage.fleet, stage.idle);
    row.add("whole lists at the heal", "", taken.traffic.whole_lists as f64);
    row.add("most calls a second", "/s", stage.most_calls(healed).await?);
    Ok(())
}

/// Calls for the list through the region's relay so far.
fn calls(stage: &Stage) -> usize {
    stage.fleet.region.as_ref().map_or(0, |relay| relay.full_list_calls() + relay.watch_calls())
}
