//! The proxy's side of the route table: watches it, keeps the last good one, has the proxy weigh its picks by it, and
//! reports what it did. What a table says, and who gets it when, is decided at the registry.

mod identity;
mod proxy;
mod report;
mod settings;
mod table;
mod watch;

pub use identity::Identity;
pub use proxy::{RoutedProxy, Tally, Totals};
pub use settings::{Settings, named};
pub use table::TableError;

use crate::client::traffic::Traffic;
use report::Reports;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use table::Held;
use tokio::sync::Notify;

/// This process's part in the routing of its tier.
pub struct Routes {
    who: Rc<Identity>,
    proxy: Box<dyn RoutedProxy>,
    traffic: Traffic,
    report_every: Duration,
    held: RefCell<Held>,
    /// Who is asked now, and told.
    registry: Cell<Option<SocketAddr>>,
    reports: RefCell<Reports>,
    first: Notify,
}

impl Routes {
    /// With no table yet: every weight is 1.
    pub fn new(
        settings: &Settings,
        who: Rc<Identity>,
        proxy: Box<dyn RoutedProxy>,
        traffic: Traffic,
    ) -> Rc<Self> {
        let reports = RefCell::new(Reports::new(proxy.totals()));
        let (held, registry) = (RefCell::default(), Cell::default());
        let report_every = Duration::from_millis(settings.report_ms);
        let first = Notify::new();
        Rc::new(Routes { who, proxy, traffic, report_every, held, registry, reports, first })
    }

    /// Waits for the first table.
    pub async fn first_table(&self) {
        self.first.notified().await;
    }

    /// Revision of the table in force; 0 before the first.
    pub fn revision(&self) -> crate::route_table::Revision {
        self.held.borrow().revision
    }

    /// The table in force, for operators.
    pub fn page(&self) -> Value {
        let (held, reports) = (self.held.borrow(), self.reports.borrow());
        json!({
            "name": self.who.name(), "generation": self.who.generation(), "registry": self.registry.get(),
            "revision": held.revision, "digest": self.proxy.digest(), "newest": held.newest,
            "since_ms": held.since_ms, "weights": self.proxy.weights(), "left_out": self.proxy.left_out(),
            "error": held.error, "refused_tables": held.refused, "reports": reports.page(),
        })
    }
}
