//! The slots of the connections that are served: each costs the memory of the HTTP library's buffers.
//!
//! A connection takes a slot once the head of its first request has arrived, and waits for one in the order of arrival.
//! While some wait, idle connections and slow clients make room.

use super::activity::IdleCloseReason;
use std::cell::Cell;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::sleep;

/// Interval at which connections are asked to make room.
const EVICTION_INTERVAL: Duration = Duration::from_millis(10);

/// Largest part of the slots for connections whose first request has not arrived whole, in percent.
const INCOMPLETE_PERCENT: usize = 60;

/// A slot, which is free again when it is dropped.
pub(super) struct Slot {
    _permits: [Option<OwnedSemaphorePermit>; 2],
}

/// The slots of all connections that are served.
pub struct Slots {
    free: Arc<Semaphore>,
    /// Those that connections with an incomplete request may take.
    free_for_incomplete: Arc<Semaphore>,
    /// Number of connections that wait for a slot.
    waiting: Cell<usize>,
    shortage: Notify,
    /// Number of connections that may still end in this round of evictions.
    evictions_left: Cell<usize>,
}

/// Counts a connection that waits.
struct Waiting<'a>(&'a Cell<usize>);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.update(|waiting| waiting - 1);
    }
}

impl Slots {
    /// Creates `count` free slots.
    pub fn new(count: usize) -> Self {
        Slots {
            free: Arc::new(Semaphore::new(count)),
            free_for_incomplete: Arc::new(Semaphore::new((count * INCOMPLETE_PERCENT / 100).max(1))),
            waiting: Cell::default(),
            shortage: Notify::new(),
            evictions_left: Cell::default(),
        }
    }

    /// Returns the number of free slots.
    pub(super) fn free(&self) -> usize {
        self.free.available_permits()
    }

    /// Takes a slot, once one is free.
    pub(super) async fn acquire(&self) -> Slot {
        Slot { _permits: [self.wait_for(&self.free).await, None] }
    }

    /// Takes a slot for a connection with an incomplete request, once one is free for it.
    pub(super) async fn acquire_for_incomplete(&self) -> Slot {
        let permit = self.wait_for(&self.free_for_incomplete).await;
        Slot { _permits: [self.wait_for(&self.free).await, permit] }
    }

    async fn wait_for(&self, free: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = free.clone().try_acquire_owned() {
            return Some(permit);
        }
        self.waiting.update(|waiting| waiting + 1);
        let _waiting = Waiting(&self.waiting);
        self.shortage.notify_one();
        free.clone().acquire_owned().await.ok()
    }

    /// Asks connections to make room while others wait.
    pub(super) async fn evict(&self, idle_close: &watch::Sender<IdleCloseReason>) -> Infallible {
        loop {
            self.shortage.notified().await;
            while self.waiting.get() > 0 {
                self.evictions_left.set(self.waiting.get());
                idle_close.send_replace(IdleCloseReason::SlotsTaken);
                sleep(EVICTION_INTERVAL).await;
            }
        }
    }

    /// Returns whether a connection that can make room has to, and counts it.
    pub(super) fn must_make_room(&self) -> bool {
        let left = self.evictions_left.get();
        self.evictions_left.set(left.saturating_sub(1));
        left > 0
    }
}
