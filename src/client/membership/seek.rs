//! Looks for others: seeds, and those that a registry lists.

use super::{Membership, swim};
use crate::client::backoff::{Backoff, BackoffBounds};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Backoff after which one who is alone asks its seeds again.
pub(super) const SEEK: BackoffBounds =
    BackoffBounds { min: Duration::from_millis(100), max: Duration::from_secs(5) };
/// At most so many are asked at once.
const MAX_ASKED: usize = 16;
/// Who is not alone still asks one seed so often: two sides of a long split have forgotten each other.
const REMIND: Duration = Duration::from_secs(30);

impl Membership {
    /// Asks the seeds to be taken in, often while alone and now and then later on.
    pub(super) async fn run_seeding(self: Rc<Self>) {
        let mut pauses = Backoff::new(SEEK);
        while !self.has_left.get() {
            let alone = self.count.borrow().is_alone();
            let pause = if alone { pauses.next_delay() } else { REMIND };
            if !alone {
                pauses.reset();
            }
            {
                let seeds = self.seeds.borrow();
                let asked = if alone { seeds.len().min(MAX_ASKED) } else { seeds.len().min(1) };
                let from = fastrand::usize(..seeds.len().max(1));
                for seed in seeds.iter().cycle().skip(from).take(asked) {
                    self.swim.borrow_mut().announce(*seed);
                }
            }
            self.flush_protocol();
            tokio::select! {
                () = sleep(pause) => {}
                () = self.new_seeds.notified() => {}
            }
        }
    }

    /// A registry lists these proxies, this one maybe among them.
    pub(super) fn set_listed_members(&self, addresses: Vec<SocketAddr>) {
        let own = self.swim.borrow().id().addr;
        let mut seeds = self.seeds.borrow_mut();
        let news = addresses.iter().any(|a| *a != own && !seeds.contains(a));
        seeds.truncate(self.configured_seeds);
        seeds.extend(addresses.into_iter().filter(|a| *a != own).take(swim::MAX_MEMBERS));
        if news && self.count.borrow().is_alone() {
            self.new_seeds.notify_one();
        }
    }
}
