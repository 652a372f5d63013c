//! Socket and timers of the membership: passes datagrams to the protocol and performs its output.

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

/// Most datagrams that are received before the task yields.
///
/// Without a limit, a flood of datagrams would occupy the only thread and stall calls. At most one batch is received
/// per `BATCH_INTERVAL`; the socket's buffer drops the rest, and the protocol tolerates lost datagrams.
const MAX_BATCH: usize = 256;
/// Delay between two batches of received datagrams.
const BATCH_INTERVAL: Duration = Duration::from_millis(1);
/// Delay after the socket reports an error, such as a lack of memory or descriptors.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(10);
/// Size of the receive buffer in bytes, larger than the longest datagram that members send.
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

    /// Sends the protocol's pending datagrams, sets its timers, and logs and publishes its notifications.
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

    /// Sends the pending datagrams. One that the socket does not accept is lost; the protocol tolerates the loss of any
    /// datagram.
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

    /// Removes the datagram times of forgotten members, and notifies the receivers if the count changed.
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
                    "membership: {} members are known; datagrams of new members are dropped. Set a separate \
                     membership.cluster for each tier",
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
        OwnedNotification::Rejoin(id) => {
            warn!("membership: this process was declared dead and rejoins as {}", describe(id))
        }
        OwnedNotification::Rename(old, new) => {
            info!("membership: {} replaces {}", describe(new), describe(old));
        }
        OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
    }
}

fn describe(id: &MemberId) -> String {
    format!("{} at {} (generation {})", id.name, id.addr, id.generation)
}
