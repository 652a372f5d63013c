//! What this process reports of itself.

use super::{Routes, Totals};
use crate::client::registry::{Call, call};
use crate::client::traffic::TrafficKind;
use crate::route_table::{LeftOut, MAX_REPORTED, MAX_WITNESSED, Report};
use hyper::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// How often in each window it is looked which backends get less.
const LOOKS: u32 = 4;
/// Longest answer to a report.
const MAX_ANSWER: usize = 64 << 10;

/// Where the reports have got to.
pub(super) struct Reports {
    /// The number of the last one made.
    number: u64,
    /// Those that no registry took. Their counts are lost with them.
    lost: u64,
    error: Option<String>,
    begun: Instant,
    before: Totals,
    /// Which backends have got less at some time of the window.
    left_out: BTreeMap<String, LeftOut>,
    /// Of which member the next one tells first.
    witness: usize,
}

impl Reports {
    pub(super) fn new(before: Totals) -> Self {
        let (begun, left_out) = (Instant::now(), BTreeMap::new());
        Reports { number: 0, lost: 0, error: None, begun, before, left_out, witness: 0 }
    }

    pub(super) fn page(&self) -> Value {
        json!({"sent": self.number - self.lost, "lost": self.lost, "error": self.error})
    }
}

impl Routes {
    /// Reports for ever. A report that no registry takes is lost: what is old is no use to those who compare.
    pub async fn report(self: Rc<Self>) {
        let mut link = None;
        // Proxies that started together do not report together.
        sleep(self.report_every.mul_f64(fastrand::f64())).await;
        loop {
            let window = self.report_every.mul_f64(0.8 + 0.4 * fastrand::f64());
            for _ in 0..LOOKS {
                sleep(window / LOOKS).await;
                self.look();
            }
            let report = self.next_report();
            let Some(registry) = self.registry.get() else { continue };
            let body = serde_json::to_vec(&report).unwrap_or_default();
            let put = Call {
                kind: TrafficKind::Report,
                method: Method::PUT,
                path: "/registry/reports",
                body: body.into(),
                wait: Duration::ZERO,
                max_answer: MAX_ANSWER,
            };
            let sent = call(&mut link, registry, put, &self.traffic).await;
            let mut reports = self.reports.borrow_mut();
            match sent {
                Ok(_) => {
                    if reports.error.take().is_some() {
                        info!("routes: reports are taken again, {} lost since the start", reports.lost);
                    }
                }
                Err(fault) => {
                    link = None;
                    reports.lost += 1;
                    if reports.error.is_none() {
                        warn!("routes: report {} lost: {registry}: {fault}", report.number);
                    }
                    reports.error = Some(format!("{registry}: {fault}"));
                }
            }
        }
    }

    fn look(&self) {
        let now = self.proxy.left_out();
        self.reports.borrow_mut().left_out.extend(now);
    }

    /// A window begins here.
    pub(super) fn cut_window(&self) {
        self.proxy.drain_calls();
        let reports = &mut *self.reports.borrow_mut();
        reports.left_out.clear();
        (reports.begun, reports.before) = (Instant::now(), self.proxy.totals());
    }

    fn next_report(&self) -> Report {
        let digest = self.proxy.digest();
        let (tallies, members) = (self.proxy.drain_calls(), &self.who.membership);
        let (alive, held) = (members.as_ref().map_or(0, |m| m.alive()), self.held.borrow());
        let reports = &mut *self.reports.borrow_mut();
        reports.number += 1;
        let mut left_out = std::mem::take(&mut reports.left_out);
        let (mut calls, mut errors) = (BTreeMap::new(), BTreeMap::new());
        for (name, tally) in tallies {
            // What is outside of its subset cannot get a call.
            if calls.len() < MAX_REPORTED
                && (tally.calls > 0 || left_out.get(&name) != Some(&LeftOut::Subset))
            {
                calls.insert(name.clone(), tally.calls);
            }
            if errors.len() < MAX_REPORTED && tally.errors > 0 {
                errors.insert(name, tally.errors);
            }
        }
        while left_out.len() > MAX_REPORTED {
            left_out.pop_last();
        }
        let witnesses =
            members.as_ref().map_or_else(Vec::new, |m| m.witnessed_members(reports.witness, MAX_WITNESSED));
        reports.witness = reports.witness.wrapping_add(MAX_WITNESSED);
        let now = self.proxy.totals();
        let before = std::mem::replace(&mut reports.before, now);
        let begun = std::mem::replace(&mut reports.begun, Instant::now());
        Report {
            name: self.who.name().to_string(),
            generation: self.who.generation(),
            number: reports.number,
            zone: self.who.zone.clone(),
            list_version: self.proxy.list_version(),
            revision: held.revision,
            digest,
            window_ms: begun.elapsed().as_millis() as u64,
            requests: now.requests.saturating_sub(before.requests),
            refused: now.refused.saturating_sub(before.refused),
            failed: now.failed.saturating_sub(before.failed),
            calls,
            errors,
            left_out,
            alive,
            members: witnesses,
        }
    }
}
