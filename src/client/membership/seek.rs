//! Looks for others: seeds, and those that a registry lists.

use super::{Membership, swim};
use crate::client::pauses::{Bounds, Pauses};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pauses after which one who is alone asks its seeds again.
pub(super) const SEEK: Bounds = [Duration::from_millis(100), Duration::from_secs(5)];
/// At most so many are asked at once.
const MAX_ASKED: usize = 16;
/// Who is not alone still asks one seed so often: two sides of a long split have forgotten each other.
const REMIND: Duration = Duration::from_secs(30);

impl Membership {
    /// Asks the seeds to be taken in, often while alone and now and then later on.
    pub(super) async fn seek(self: Rc<Self>) {
        let mut pauses = Pauses::new(SEEK);
        while !self.left.get() {
            let alone = self.count.borrow().alone();
            let pause = if alone { pauses.next_pause() } else { REMIND };
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
            self.carry_out();
            tokio::select! {
                () = sleep(pause) => {}
                () = self.found.notified() => {}
            }
        }
    }

    /// A registry lists these proxies, this one maybe among them.
    pub(super) fn listed(&self, addresses: Vec<SocketAddr>) {
        let own = self.swim.borrow().id().addr;
        let mut seeds = self.seeds.borrow_mut();
        let news = addresses.iter().any(|a| *a != own && !seeds.contains(a));
        seeds.truncate(self.configured);
        seeds.extend(addresses.into_iter().filter(|a| *a != own).take(swim::MAX_MEMBERS));
        if news && self.count.borrow().alone() {
            self.found.notify_one();
        }
    }
}
