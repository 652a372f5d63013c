//! Waiting until a fleet holds something, and asking what it has cost so far.

use super::error::{Error, Result};
use super::fleet::Fleet;
use super::order::{Answer, Order};
use super::spread::Spread;
use super::traffic::Traffic;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often is looked whether all are there.
const LOOK: Duration = Duration::from_millis(25);

/// Since when hollow proxies hold something, Unix time in microseconds, by number.
type Since = Vec<(usize, Option<u64>)>;

impl Fleet {
    /// What all workers' proxies have sent and received.
    pub async fn traffic(&self) -> Result<Traffic> {
        let mut all = Traffic::default();
        for hands in &self.hands {
            if let Answer::Traffic(traffic) = hands.order(&Order::Traffic).await? {
                all.merge(&traffic);
            }
        }
        Ok(all)
    }

    /// Waits until all hollow proxies of these services have held the truth since then or later; when they had it.
    pub async fn services_hold(&self, from_us: u64, services: &[Option<String>]) -> Result<Spread> {
        let order = Order::HoldLists(self.account.truths(services));
        Ok(spread(from_us, &self.until(&order, from_us, "the list").await?))
    }

    /// The same of all services.
    pub async fn all_hold_lists(&self, from_us: u64) -> Result<Spread> {
        self.services_hold(from_us, &self.plan.names()).await
    }

    /// When each hollow proxy had the truth, once all have it, whenever that was.
    pub async fn list_times(&self) -> Result<Vec<(usize, u64)>> {
        let order = Order::HoldLists(self.account.truths(&self.plan.names()));
        self.until(&order, 0, "the list").await
    }

    /// When each hollow proxy had a route table in force, once all have it.
    pub async fn table_times(&self, revision: u64) -> Result<Vec<(usize, u64)>> {
        self.until(&Order::HoldTable(revision), 0, "the route table").await
    }

    /// Waits until the real proxies know as many backends as there are.
    pub async fn real_hold_lists(&self) -> Result<()> {
        let end = self.end();
        for real in &self.real {
            let all = self.account.entries(&self.plan.services[real.number]).len();
            while real.known().await? != all {
                self.in_time(end, 1, self.real.len(), "the list (real)")?;
                sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// Waits until the real proxies have a route table in force.
    pub async fn real_hold_table(&self, revision: u64) -> Result<()> {
        let end = self.end();
        for real in &self.real {
            while real.revision().await? != revision {
                self.in_time(end, 1, self.real.len(), "the route table (real)")?;
                sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// How many lists, and changes of lists, each hollow proxy has taken.
    pub async fn lists_taken(&self) -> Result<BTreeMap<usize, u64>> {
        let mut all = BTreeMap::new();
        for hands in &self.hands {
            if let Answer::Counts(counts) = hands.order(&Order::ListsTaken).await? {
                all.extend(counts);
            }
        }
        Ok(all)
    }

    async fn since(&self, order: &Order) -> Result<Since> {
        let mut all = Vec::new();
        for hands in &self.hands {
            if let Answer::Since(since) = hands.order(order).await? {
                all.extend(since);
            }
        }
        Ok(all)
    }

    async fn until(&self, order: &Order, from_us: u64, what: &str) -> Result<Vec<(usize, u64)>> {
        let end = self.end();
        loop {
            let since = self.since(order).await?;
            let all = since.len();
            let late = |at: &u64| *at >= from_us;
            let held: Vec<(usize, u64)> =
                since.into_iter().filter_map(|(number, at)| Some((number, at.filter(late)?))).collect();
            if held.len() == all {
                return Ok(held);
            }
            self.in_time(end, all - held.len(), all, what)?;
            sleep(LOOK).await;
        }
    }

    fn end(&self) -> Instant {
        Instant::now() + Duration::from_secs(self.args.patience_s)
    }

    fn in_time(&self, end: Instant, missing: usize, all: usize, what: &str) -> Result<()> {
        let (what, waited_s) = (what.to_string(), self.args.patience_s);
        if Instant::now() < end { Ok(()) } else { Err(Error::Missing { missing, all, what, waited_s }) }
    }
}

fn spread(from_us: u64, times: &[(usize, u64)]) -> Spread {
    Spread::after(from_us, times.iter().map(|(_, at)| *at).collect())
}
