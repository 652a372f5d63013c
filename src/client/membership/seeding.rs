//! Seeding: announces this process to seeds, at the start and after a network partition.
//!
//! The seeds are those from the configuration and the proxies that a registry lists. While this process knows no other
//! live member, one task announces it to many seeds often; afterwards to a single seed at a long interval.

use super::{Membership, swim};
use crate::client::backoff::{Backoff, BackoffBounds};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Range of the delays between rounds of announcements while no other member is alive.
pub(super) const SEEDING_BACKOFF: BackoffBounds =
    BackoffBounds { min: Duration::from_millis(100), max: Duration::from_secs(5) };
/// Most seeds that are announced to in one round.
const MAX_SEEDS_PER_ROUND: usize = 16;
/// Interval of the announcements to one seed while other members are alive.
///
/// After a partition that outlasts `forget_ms`, the two sides have forgotten each other and would stay separate. One
/// announcement from one side to the other joins them again.
const REJOIN_INTERVAL: Duration = Duration::from_secs(30);

impl Membership {
    /// Announces this process to seeds repeatedly until it leaves.
    pub(super) async fn run_seeding(self: Rc<Self>) {
        let mut backoff = Backoff::new(SEEDING_BACKOFF);
        while !self.has_left.get() {
            let is_alone = self.count.borrow().is_alone();
            let delay = match is_alone {
                true => backoff.next_delay(),
                false => {
                    backoff.reset();
                    REJOIN_INTERVAL
                }
            };
            self.announce_to_seeds(if is_alone { MAX_SEEDS_PER_ROUND } else { 1 });
            self.flush_protocol();
            tokio::select! {
                () = sleep(delay) => {}
                () = self.new_seeds.notified() => {}
            }
        }
    }

    /// Announces this process to at most `max_seeds` consecutive seeds, starting at a random one.
    fn announce_to_seeds(&self, max_seeds: usize) {
        let seeds = self.seeds.borrow();
        let count = seeds.len().min(max_seeds);
        let first = fastrand::usize(..seeds.len().max(1));
        for seed in seeds.iter().cycle().skip(first).take(count) {
            self.swim.borrow_mut().announce(*seed);
        }
    }

    /// Replaces the seeds that a registry lists, without this process itself. If one is new and no other member is
    /// alive, the next round of announcements starts at once.
    pub(super) fn set_listed_members(&self, addresses: Vec<SocketAddr>) {
        let own = self.swim.borrow().id().addr;
        let mut seeds = self.seeds.borrow_mut();
        let has_new = addresses.iter().any(|address| *address != own && !seeds.contains(address));
        seeds.truncate(self.configured_seeds);
        let others = addresses.into_iter().filter(|address| *address != own);
        seeds.extend(others.take(swim::MAX_MEMBERS));
        if has_new && self.count.borrow().is_alone() {
            self.new_seeds.notify_one();
        }
    }
}
