//! Client of the route table: watches the table at a registry, applies valid tables in the proxy, and reports the
//! proxy's calls and its table in force. The registry decides which proxy gets which table, and when.
//!
//! Two tasks run for the lifetime of the process: [`RouteTableClient::run_watch`] and
//! [`RouteTableClient::run_reports`]. They share the table in force and the window that the next report covers.

mod identity;
mod proxy;
mod report;
mod settings;
mod table;
mod watch;

pub use identity::Identity;
pub use proxy::{CallCounts, RequestTotals, RoutedProxy};
pub use settings::{Settings, resolve_name};
pub use table::TableError;

use crate::client::traffic::Traffic;
use report::ReportState;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use table::CurrentTable;
use tokio::sync::Notify;

/// Route table client of one process.
pub struct RouteTableClient {
    identity: Rc<Identity>,
    proxy: Box<dyn RoutedProxy>,
    traffic: Traffic,
    report_interval: Duration,
    current: RefCell<CurrentTable>,
    /// Registry in use for polls and reports.
    registry: Cell<Option<SocketAddr>>,
    reports: RefCell<ReportState>,
    /// Notified when a table is applied.
    first_table: Notify,
}

impl RouteTableClient {
    /// Creates a client without a table: every weight is 1.
    pub fn new(
        settings: &Settings,
        identity: Rc<Identity>,
        proxy: Box<dyn RoutedProxy>,
        traffic: Traffic,
    ) -> Rc<Self> {
        Rc::new(RouteTableClient {
            reports: RefCell::new(ReportState::new(proxy.totals())),
            identity,
            proxy,
            traffic,
            report_interval: Duration::from_millis(settings.report_ms),
            current: RefCell::default(),
            registry: Cell::default(),
            first_table: Notify::new(),
        })
    }

    /// Waits until the first table is in force.
    pub async fn first_table(&self) {
        self.first_table.notified().await;
    }

    /// Returns the revision of the table in force, or 0 before the first one.
    pub fn revision(&self) -> crate::route_table::Revision {
        self.current.borrow().revision
    }

    /// Returns the operators' page of the table in force, as JSON. Its keys are a contract: operators' scripts parse
    /// them.
    pub fn page(&self) -> Value {
        let current = self.current.borrow();
        let reports = self.reports.borrow();
        json!({
            "name": self.identity.name(), "generation": self.identity.generation(), "registry": self.registry.get(),
            "revision": current.revision, "digest": self.proxy.digest(), "newest": current.newest,
            "since_ms": current.since_ms, "weights": self.proxy.weights(), "left_out": self.proxy.exclusions(),
            "error": current.error, "refused_tables": current.rejected, "reports": reports.page(),
        })
    }
}
