//! The run from its first size to the held-out one.

use super::args::{Args, Scenario};
use super::compare;
use super::error::{Error, Result};
use super::fleet::Fleet;
use super::hands::Hands;
use super::report::{Fit, Lines, Row, fit_table, fits, judge, table};
use super::scenario::Stage;
use serde_json::json;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

/// The whole run, or until a signal ends it; all processes and folders go with it.
pub async fn run(args: Args) -> Result<()> {
    let caught = |kind| signal(kind).map_err(|source| Error::Process { what: "a signal".into(), source });
    let (mut terminated, mut interrupted) =
        (caught(SignalKind::terminate())?, caught(SignalKind::interrupt())?);
    tokio::select! {
        done = sizes(&args) => done,
        _ = terminated.recv() => Err(Error::Signal),
        _ = interrupted.recv() => Err(Error::Signal),
    }
}

async fn sizes(args: &Args) -> Result<()> {
    let mut lines = Lines::open(args.json.as_deref())?;
    let mut rows = Vec::new();
    for size in &args.sizes {
        for repeat in 0..args.repeats {
            one(args, &mut lines, Run { size: *size, repeat, held_out: false }, &mut rows).await?;
        }
    }
    let holdout = Some(args.holdout).filter(|size| *size > 0);
    let mut fits = fits(&rows, holdout);
    println!("predicted before it is run:\n{}", fit_table(&fits));
    write_fits(&mut lines, "prediction", &fits)?;
    let Some(size) = holdout else { return Ok(()) };
    let mut held_out = Vec::new();
    let played = one(args, &mut lines, Run { size, repeat: 0, held_out: true }, &mut held_out).await;
    // What was played before a scenario that failed is judged all the same.
    judge(&mut fits, &held_out);
    println!("predicted and measured at {size}:\n{}", fit_table(&fits));
    write_fits(&mut lines, "fit", &fits)?;
    played
}

fn write_fits(lines: &mut Lines, kind: &'static str, fits: &[Fit]) -> Result<()> {
    fits.iter().try_for_each(|fit| lines.write(kind, fit))
}

/// Which run.
#[derive(Clone, Copy)]
struct Run {
    size: usize,
    repeat: usize,
    held_out: bool,
}

/// Plays everything with one fleet, up to what fails; that is written down, too.
async fn one(args: &Args, lines: &mut Lines, run: Run, rows: &mut Vec<Row>) -> Result<()> {
    let played = play(args, lines, run, rows).await;
    if let Err(error) = &played {
        let held_out = run.held_out;
        let failed =
            json!({"size": run.size, "repeat": run.repeat, "held_out": held_out, "error": error.to_string()});
        lines.write("failed", failed)?;
    }
    played
}

async fn play(args: &Args, lines: &mut Lines, run: Run, rows: &mut Vec<Row>) -> Result<()> {
    let Run { size, repeat, held_out } = run;
    let hands: Result<Vec<Hands>> = (0..args.workers.max(1)).map(|_| Hands::process()).collect();
    let fleet = Fleet::start(args, size, hands?).await?;
    // The first report of a proxy comes after up to two windows.
    sleep(Duration::from_millis(2 * args.report_ms)).await;
    let mut stage = Stage::new(fleet);
    for scenario in args.played() {
        if scenario == Scenario::Rollout && args.services > 0 {
            println!("rollout: not played, the route table belongs to no service yet\n");
            continue;
        }
        let services = stage.fleet.plan.names().into_iter().flatten().count();
        let mut row =
            Row { scenario: scenario.name(), size, services, repeat, held_out, figures: Vec::new() };
        let begun = compare::look(&stage.fleet).unwrap_or_default();
        stage.play(scenario, &mut row).await?;
        println!("{}", table(std::slice::from_ref(&row)));
        lines.write("run", &row)?;
        let compared = compare::compare(&stage.fleet, &begun);
        println!("{}", compare::table(&compared));
        let wire = json!({"scenario": row.scenario, "size": size, "repeat": repeat, "compared": compared});
        lines.write("wire", wire)?;
        rows.push(row);
    }
    Ok(())
}
