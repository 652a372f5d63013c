//! The membership's socket and timers: passes datagrams to the protocol and carries out what it asks for.

use super::Membership;
use super::operator_page::DatagramCounts;
use super::swim::{self, DropReason, MemberId, Swim};
use crate::client::traffic::TrafficKind;
use foca::{OwnedNotification, Timer};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// Datagrams that are received in a row before the task yields.
///
/// Failure: a flood of datagrams occupies the one thread, and calls stall. The flood gets at most one batch in each
/// `BATCH_INTERVAL`; the rest is dropped by the socket's buffer, and the protocol bears lost datagrams.
const MAX_BATCH: usize = 256;
/// Delay between two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(1);
/// Delay after the socket reports an error, for lack of memory or descriptors.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(10);
/// Bytes of the receive buffer, above the longest datagram that members send.
const RECEIVE_BUFFER: usize = 2048;

impl Membership {
    /// Receives datagrams for ever.
    pub(super) async fn receive_datagrams(self: &Rc<Self>) {
        let mut buffer = [0; RECEIVE_BUFFER];
        loop {
            if self.socket.readable().await.is_err() {
                sleep(SOCKET_ERROR_DELAY).await;
                continue;
            }
            for _ in 0..MAX_BATCH {
                let Ok(length) = self.socket.try_recv(&mut buffer) else { break };
                self.handle_datagram(&buffer[..length]);
            }
            self.flush_protocol();
            sleep(BATCH_INTERVAL).await;
        }
    }

    fn handle_datagram(&self, datagram: &[u8]) {
        let length = datagram.len() as u64;
        let mut counts = self.datagram_counts.get();
        counts.received += 1;
        counts.received_bytes += length;
        self.control_traffic.record_received(TrafficKind::Datagram, 1, length);
        match self.swim.borrow_mut().receive(datagram) {
            Ok(sender) => {
                self.last_received.borrow_mut().insert(sender.addr, Instant::now());
            }
            Err(reason) => count_dropped(&mut counts, reason),
        }
        self.datagram_counts.set(counts);
    }

    /// Sends the datagrams, sets the timers and reports the changes that the protocol has ready.
    pub(super) fn flush_protocol(self: &Rc<Self>) {
        let swim = &mut *self.swim.borrow_mut();
        self.send_datagrams(swim);
        while let Some((delay, timer)) = swim.next_timer() {
            self.set_timer(delay, timer);
        }
        let mut has_changed = false;
        while let Some(notification) = swim.next_notification() {
            has_changed = true;
            log_notification(&notification);
        }
        if has_changed {
            self.publish_count(swim);
        }
    }

    /// Sends what waits. A datagram that the socket does not accept is lost, as any datagram may be.
    fn send_datagrams(&self, swim: &mut Swim) {
        let mut counts = self.datagram_counts.get();
        while let Some((to, datagram)) = swim.next_datagram() {
            match self.socket.try_send_to(&datagram, to) {
                Ok(length) => {
                    counts.sent += 1;
                    counts.sent_bytes += length as u64;
                    self.control_traffic.record_sent(TrafficKind::Datagram, 1, length as u64);
                }
                Err(_) => counts.unsent += 1,
            }
        }
        self.datagram_counts.set(counts);
    }

    fn set_timer(self: &Rc<Self>, delay: Duration, timer: Timer<MemberId>) {
        let membership = self.clone();
        spawn_local(async move {
            sleep(delay).await;
            membership.swim.borrow_mut().handle_timer(timer);
            membership.flush_protocol();
        });
    }

    /// Forgets the datagram times of members that are forgotten, and notifies the receivers of a changed count.
    fn publish_count(&self, swim: &Swim) {
        let known: Vec<SocketAddr> = swim.members().map(|member| member.id.addr).collect();
        self.last_received.borrow_mut().retain(|address, _| known.contains(address));
        let count = swim.count();
        self.count.send_if_modified(|published| std::mem::replace(published, count) != count);
    }
}

fn count_dropped(counts: &mut DatagramCounts, reason: DropReason) {
    match reason {
        DropReason::Malformed => counts.malformed += 1,
        DropReason::OtherCluster => counts.other_cluster += 1,
        DropReason::TooManyMembers => {
            if counts.too_many_members == 0 {
                warn!(
                    "membership: {} members are known, no more are taken in; give each tier its own cluster",
                    swim::MAX_MEMBERS
                );
            }
            counts.too_many_members += 1;
        }
    }
}

fn log_notification(notification: &OwnedNotification<MemberId>) {
    match notification {
        OwnedNotification::MemberUp(id) => info!("membership: {} is alive", describe(id)),
        OwnedNotification::MemberDown(id) => warn!("membership: {} is gone", describe(id)),
        OwnedNotification::Rejoin(id) => warn!("membership: back as {}", describe(id)),
        OwnedNotification::Rename(old, new) => {
            info!("membership: {} takes the place of {}", describe(new), describe(old));
        }
        OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
    }
}

fn describe(id: &MemberId) -> String {
    format!("{} at {} (generation {})", id.name, id.addr, id.generation)
}
