//! Reports of this process: one for each window, with the window's counts and the table in force.
//!
//! A report that the registry does not accept is dropped with its counts; the registry detects the gap in the numbers.

use super::{CallCounts, RequestTotals, RouteTableClient};
use crate::client::registry::{Call, CallError, RegistryClient};
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

/// Number of samples of the excluded backends in each window.
const EXCLUSION_SAMPLES: u32 = 4;
/// Longest accepted answer to a report, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Numbering of the reports, and the window that the next one covers.
pub(super) struct ReportState {
    /// Number of the last report.
    number: u64,
    /// Number of reports that were not accepted.
    lost: u64,
    /// Error of the last report, if it was lost.
    error: Option<String>,
    window_began: Instant,
    /// Request totals at the beginning of the window.
    totals_before: RequestTotals,
    /// Backends that got fewer calls than their weights imply in any sample of the window.
    exclusions: BTreeMap<String, ExclusionReason>,
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
            exclusions: BTreeMap::new(),
            next_member: 0,
        }
    }

    /// Starts a new window.
    fn begin_window(&mut self, totals: RequestTotals) {
        self.exclusions.clear();
        self.window_began = Instant::now();
        self.totals_before = totals;
    }

    pub(super) fn page(&self) -> Value {
        json!({"sent": self.number - self.lost, "lost": self.lost, "error": self.error})
    }
}

impl RouteTableClient {
    /// Sends a report at the end of each window, for ever. A lost report is not sent again: by then the registry
    /// compares later windows.
    pub async fn run_reports(self: Rc<Self>) {
        let mut client = RegistryClient::new(self.traffic.clone());
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
            match client.call(registry, request).await {
                Ok(_) => self.report_accepted(),
                Err(error) => {
                    client.disconnect();
                    self.report_lost(report.number, registry, &error);
                }
            }
        }
    }

    fn report_accepted(&self) {
        let mut reports = self.reports.borrow_mut();
        if reports.error.take().is_some() {
            info!("routes: the registry accepts reports again; {} were lost since the start", reports.lost);
        }
    }

    /// Counts a lost report. Of consecutive lost reports only the first is logged.
    fn report_lost(&self, number: u64, registry: SocketAddr, error: &CallError) {
        let mut reports = self.reports.borrow_mut();
        reports.lost += 1;
        if reports.error.is_none() {
            warn!("routes: report {number} to {registry} failed and is dropped: {error}");
        }
        reports.error = Some(format!("{registry}: {error}"));
    }

    fn sample_exclusions(&self) {
        let exclusions = self.proxy.exclusions();
        self.reports.borrow_mut().exclusions.extend(exclusions);
    }

    /// Starts a new window and drops the counts of the current one, whose calls followed another table.
    pub(super) fn restart_window(&self) {
        self.proxy.take_call_counts();
        self.reports.borrow_mut().begin_window(self.proxy.totals());
    }

    /// Returns the report of the current window, and starts the next window.
    fn next_report(&self) -> Report {
        let digest = self.proxy.digest();
        let call_counts = self.proxy.take_call_counts();
        let membership = self.identity.membership.as_ref();
        let totals = self.proxy.totals();
        let mut reports = self.reports.borrow_mut();
        reports.number += 1;
        let mut exclusions = std::mem::take(&mut reports.exclusions);
        let WindowCalls { calls, errors } = WindowCalls::new(call_counts, &exclusions);
        while exclusions.len() > MAX_REPORTED {
            exclusions.pop_last();
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
            left_out: exclusions,
            alive: membership.map_or(0, |m| m.alive()),
            members,
        }
    }
}

/// Counts of a window's calls by backend, at most [`MAX_REPORTED`] in each map.
#[derive(Default)]
struct WindowCalls {
    calls: BTreeMap<String, u64>,
    errors: BTreeMap<String, u64>,
}

impl WindowCalls {
    /// Selects the counts to report. A backend outside of the subset is reported only if it got calls, as it should get
    /// none.
    fn new(counts: BTreeMap<String, CallCounts>, exclusions: &BTreeMap<String, ExclusionReason>) -> Self {
        let mut window = WindowCalls::default();
        for (name, counts) in counts {
            let outside_subset = exclusions.get(&name) == Some(&ExclusionReason::Subset);
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
