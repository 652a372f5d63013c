//! What was measured: rows for people, JSON lines for the page, and the lines through them.

use super::error::{Error, Result};
use super::fit::{self, Line};
use serde::Serialize;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::path::Path;

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// What it is.
    pub name: String,
    /// Its unit.
    pub unit: &'static str,
    /// How much.
    pub value: f64,
}

/// What one scenario at one size gave.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Which scenario.
    pub scenario: String,
    /// Backends, each with its proxy.
    pub size: usize,
    /// Services that they are spread over; 0 where the registry knows none.
    pub services: usize,
    /// Which run of this size, from 0.
    pub repeat: usize,
    /// Whether it was predicted before.
    pub held_out: bool,
    /// What was measured.
    pub figures: Vec<Figure>,
}

impl Row {
    /// Adds a value.
    pub fn add(&mut self, name: impl Into<String>, unit: &'static str, value: f64) {
        self.figures.push(Figure { name: name.into(), unit, value });
    }
}

/// A line through one figure of one scenario, and what became of its prediction.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Which scenario.
    pub scenario: String,
    /// Which figure.
    pub name: String,
    /// Its unit.
    pub unit: &'static str,
    /// The value at size 0.
    pub intercept: f64,
    /// What one more backend adds.
    pub slope: f64,
    /// Root mean square of what the points lie off.
    pub residual: f64,
    /// The held-out size, if one is played.
    pub size: Option<usize>,
    /// What the line says of it, before it is run.
    pub predicted: Option<f64>,
    /// What was measured there.
    pub measured: Option<f64>,
    /// How far the prediction was off, as a part of what was measured.
    pub error: Option<f64>,
    /// Whether the slope may be used; none while it is not tested.
    pub used: Option<bool>,
}

/// Lines through all figures, with what they predict for a size.
pub fn fits(rows: &[Row], size: Option<usize>) -> Vec<Fit> {
    let mut fits: Vec<Fit> = Vec::new();
    for (row, figure) in rows.iter().flat_map(|row| row.figures.iter().map(move |figure| (row, figure))) {
        if fits.iter().any(|fit| fit.scenario == row.scenario && fit.name == figure.name) {
            continue;
        }
        let points: Vec<(f64, f64)> =
            rows.iter().filter_map(|r| point(r, &row.scenario, &figure.name)).collect();
        let Some(Line { intercept, slope, residual }) = Line::through(&points) else { continue };
        let predicted = size.map(|size| intercept + slope * size as f64);
        fits.push(Fit {
            scenario: row.scenario.clone(),
            name: figure.name.clone(),
            unit: figure.unit,
            intercept,
            slope,
            residual,
            size,
            predicted,
            measured: None,
            error: None,
            used: None,
        });
    }
    fits
}

fn point(row: &Row, scenario: &str, name: &str) -> Option<(f64, f64)> {
    let figure = row.figures.iter().find(|figure| row.scenario == scenario && figure.name == name)?;
    Some((row.size as f64, figure.value))
}

/// Holds the predictions against what was measured.
pub fn judge(fits: &mut [Fit], rows: &[Row]) {
    for fit in fits {
        let measured = rows.iter().find_map(|row| point(row, &fit.scenario, &fit.name));
        let Some((predicted, (_, measured))) = fit.predicted.zip(measured) else { continue };
        fit.measured = Some(measured);
        fit.error = fit::error(predicted, measured);
        // What is 0 where it was said to be 0 is as it was predicted.
        fit.used = Some(fit.error.map_or(predicted.abs() < f64::EPSILON, fit::usable));
    }
}

/// The rows of a run as a table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::new();
    for row in rows {
        let held_out = if row.held_out { ", held out" } else { "" };
        let _ = writeln!(
            text,
            "{} of {}, {} services, run {}{held_out}",
            row.scenario, row.size, row.services, row.repeat
        );
        for Figure { name, unit, value } in &row.figures {
            let _ = writeln!(text, "  {name:<42} {value:>14.3} {unit}");
        }
    }
    text
}

/// The lines as a table.
pub fn fit_table(fits: &[Fit]) -> String {
    let mut text = String::from(
        "scenario | figure | unit | intercept | slope a backend | residual | predicted | measured | error | used\n",
    );
    let number = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.3}"));
    for fit in fits {
        let error = fit.error.map_or("-".into(), |error| format!("{:+.1} %", 100.0 * error));
        let used = fit.used.map_or("-", |used| if used { "used" } else { "not used" });
        let _ = writeln!(
            text,
            "{} | {} | {} | {:.4} | {:.6} | {:.4} | {} | {} | {error} | {used}",
            fit.scenario,
            fit.name,
            fit.unit,
            fit.intercept,
            fit.slope,
            fit.residual,
            number(fit.predicted),
            number(fit.measured),
        );
    }
    text
}

/// Where JSON lines go, if anywhere.
pub struct Lines(Option<(File, String)>);

impl Lines {
    /// Adds to a file.
    pub fn open(path: Option<&Path>) -> Result<Lines> {
        let Some(path) = path else { return Ok(Lines(None)) };
        let name = path.display().to_string();
        let failed = |source| Error::File { path: name.clone(), source };
        let file = File::options().create(true).append(true).open(path).map_err(failed)?;
        Ok(Lines(Some((file, name))))
    }

    /// One line: what it is, and its values.
    pub fn write(&mut self, kind: &'static str, values: impl Serialize) -> Result<()> {
        let Some((file, name)) = &mut self.0 else { return Ok(()) };
        let failed = |source| Error::File { path: name.clone(), source };
        let mut line = serde_json::to_value(values).unwrap_or_default();
        line["kind"] = kind.into();
        writeln!(file, "{line}").map_err(failed)
    }
}
