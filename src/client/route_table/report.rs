//! The reports of this process: one for each window, with its counts and the table in force.
//!
//! A report that no registry accepts is dropped with its counts; the registry sees the gap in the numbers.

use super::{CallCounts, RequestTotals, RouteTableClient};
use crate::client::registry::{Call, CallError, call};
use crate::client::traffic::TrafficKind;
use crate::route_table::{ExclusionReason, MAX_REPORTED, MAX_WITNESSED, Report};
use hyper::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// Samples of the excluded backends in each window.
const EXCLUSION_SAMPLES: u32 = 4;
/// Longest answer to a report, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The numbering of the reports, and the window that the next one covers.
pub(super) struct ReportState {
    /// Number of the last report.
    number: u64,
    /// Reports that no registry accepted.
    lost: u64,
    /// Why the last report was lost, if it was.
    error: Option<String>,
    window_began: Instant,
    /// Totals at the beginning of the window.
    totals_before: RequestTotals,
    /// Backends that got fewer calls than by their weights at some time of the window.
    left_out: BTreeMap<String, ExclusionReason>,
    /// Position of the first member in the next report.
    next_member: usize,
}

impl ReportState {
    pub(super) fn new(totals_before: RequestTotals) -> Self {
        ReportState {
            number: 0,
            lost: 0,
            error: None,
            window_began: Instant::now(),
            totals_before,
            left_out: BTreeMap::new(),
            next_member: 0,
        }
    }

    /// Begins a window.
    fn begin_window(&mut self, totals: RequestTotals) {
        self.left_out.clear();
        self.window_began = Instant::now();
        self.totals_before = totals;
    }

    pub(super) fn page(&self) -> Value {
        json!({"sent": self.number - self.lost, "lost": self.lost, "error": self.error})
    }
}

impl RouteTableClient {
    /// Sends a report at the end of each window, for ever. A report that is lost is not sent again: by then
    /// the registry compares later windows.
    pub async fn run_reports(self: Rc<Self>) {
        let mut link = None;
        // Spreads the reports of proxies that started together over the interval.
        sleep(self.report_interval.mul_f64(fastrand::f64())).await;
        loop {
            let window = self.report_interval.mul_f64(0.8 + 0.4 * fastrand::f64());
            for _ in 0..EXCLUSION_SAMPLES {
                sleep(window / EXCLUSION_SAMPLES).await;
                self.sample_exclusions();
            }
            let report = self.next_report();
            let Some(registry) = self.registry.get() else { continue };
            let body = serde_json::to_vec(&report).unwrap_or_default();
            let request = Call {
                kind: TrafficKind::Report,
                method: Method::PUT,
                path: "/registry/reports",
                body: body.into(),
                wait: Duration::ZERO,
                max_answer: MAX_ANSWER_BYTES,
            };
            match call(&mut link, registry, request, &self.traffic).await {
                Ok(_) => self.report_accepted(),
                Err(fault) => {
                    link = None;
                    self.report_lost(report.number, registry, &fault);
                }
            }
        }
    }

    fn report_accepted(&self) {
        let mut reports = self.reports.borrow_mut();
        if reports.error.take().is_some() {
            info!("routes: reports are taken again, {} lost since the start", reports.lost);
        }
    }

    /// Counts a lost report. Only the first of several in a row is logged.
    fn report_lost(&self, number: u64, registry: SocketAddr, fault: &CallError) {
        let mut reports = self.reports.borrow_mut();
        reports.lost += 1;
        if reports.error.is_none() {
            warn!("routes: report {number} lost: {registry}: {fault}");
        }
        reports.error = Some(format!("{registry}: {fault}"));
    }

    fn sample_exclusions(&self) {
        let left_out = self.proxy.left_out();
        self.reports.borrow_mut().left_out.extend(left_out);
    }

    /// Begins a window without a report for the one so far: its calls followed another table.
    pub(super) fn restart_window(&self) {
        self.proxy.drain_calls();
        self.reports.borrow_mut().begin_window(self.proxy.totals());
    }

    /// The report of the window so far; the next window begins.
    fn next_report(&self) -> Report {
        let digest = self.proxy.digest();
        let call_counts = self.proxy.drain_calls();
        let membership = self.identity.membership.as_ref();
        let totals = self.proxy.totals();
        let mut reports = self.reports.borrow_mut();
        reports.number += 1;
        let mut left_out = std::mem::take(&mut reports.left_out);
        let WindowCalls { calls, errors } = WindowCalls::new(call_counts, &left_out);
        while left_out.len() > MAX_REPORTED {
            left_out.pop_last();
        }
        let members =
            membership.map_or_else(Vec::new, |m| m.witnessed_members(reports.next_member, MAX_WITNESSED));
        reports.next_member = reports.next_member.wrapping_add(MAX_WITNESSED);
        let window_ms = reports.window_began.elapsed().as_millis() as u64;
        let before = reports.totals_before;
        reports.begin_window(totals);
        Report {
            name: self.identity.name().to_string(),
            generation: self.identity.generation(),
            number: reports.number,
            zone: self.identity.zone.clone(),
            list_version: self.proxy.list_version(),
            revision: self.current.borrow().revision,
            digest,
            window_ms,
            requests: totals.requests.saturating_sub(before.requests),
            refused: totals.refused.saturating_sub(before.refused),
            failed: totals.failed.saturating_sub(before.failed),
            calls,
            errors,
            left_out,
            alive: membership.map_or(0, |m| m.alive()),
            members,
        }
    }
}

/// The calls of a window by backend, at most [`MAX_REPORTED`] in each map.
#[derive(Default)]
struct WindowCalls {
    calls: BTreeMap<String, u64>,
    errors: BTreeMap<String, u64>,
}

impl WindowCalls {
    /// Backends outside of the subset are reported only if they got calls: they could not get any.
    fn new(counts: BTreeMap<String, CallCounts>, left_out: &BTreeMap<String, ExclusionReason>) -> Self {
        let mut window = WindowCalls::default();
        for (name, counts) in counts {
            let outside_subset = left_out.get(&name) == Some(&ExclusionReason::Subset);
            if window.calls.len() < MAX_REPORTED && (counts.calls > 0 || !outside_subset) {
                window.calls.insert(name.clone(), counts.calls);
            }
            if window.errors.len() < MAX_REPORTED && counts.errors > 0 {
                window.errors.insert(name, counts.errors);
            }
        }
        window
    }
}
