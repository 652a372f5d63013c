//! Membership among the proxies of a tier: the UDP socket, the timers, and the view that the rest of the program
//! uses. The protocol is in `swim`; what the count of members changes is the module's to decide.

mod listing;
mod seek;
mod settings;
pub mod swim;
mod view;
mod witness;

pub use settings::Settings;

use crate::client::traffic::{self, TrafficKind};
use foca::OwnedNotification;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use swim::{DropReason, MemberCount, MemberId, Swim};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};
use view::{Traffic, told};

/// Datagrams that are read in a row. A flood gets no more of the one thread than this between two rests.
const BATCH: usize = 256;
const REST: Duration = Duration::from_millis(1);
/// Pause when nothing can be received.
const STARVED: Duration = Duration::from_millis(10);

/// Why this process cannot take part.
#[derive(Debug, thiserror::Error)]
#[error("membership: {address}: {source}; free the UDP address or set another as membership.bind")]
pub struct Error {
    address: SocketAddr,
    source: std::io::Error,
}

/// This process among the members.
pub struct Membership {
    swim: RefCell<Swim>,
    socket: UdpSocket,
    /// From the configuration, and behind them those that a registry lists.
    seeds: RefCell<Vec<SocketAddr>>,
    configured_seeds: usize,
    registries: Vec<SocketAddr>,
    /// Who is alone looks for others again at once when there is somebody new to ask.
    new_seeds: Notify,
    last_received: RefCell<HashMap<SocketAddr, Instant>>,
    datagram_counts: Cell<Traffic>,
    /// Counts this client's control traffic, that of other kinds too.
    control_traffic: traffic::Traffic,
    count: watch::Sender<MemberCount>,
    has_left: Cell<bool>,
}

impl Membership {
    /// Listens, and says where. Alone until `run` has found others.
    pub async fn bind(
        settings: &Settings,
        zone: &str,
        seed: u64,
        control: traffic::Traffic,
    ) -> Result<Rc<Self>, Error> {
        let failed = |source| Error { address: settings.bind, source };
        let socket = UdpSocket::bind(settings.bind).await.map_err(failed)?;
        let bound = socket.local_addr().map_err(failed)?;
        info!("membership on {bound}");
        let addr = settings.advertise.unwrap_or(bound);
        let name = settings.name.clone().unwrap_or_else(|| addr.to_string());
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let id = MemberId { addr, generation: unix.as_micros() as u64, name, zone: zone.to_string() };
        let swim = Swim::new(id, &settings.timing, &settings.cluster, seed);
        let count = watch::Sender::new(swim.count());
        Ok(Rc::new(Membership {
            swim: RefCell::new(swim),
            socket,
            seeds: RefCell::new(settings.seeds.clone()),
            configured_seeds: settings.seeds.len(),
            registries: settings.registries.clone(),
            new_seeds: Notify::new(),
            last_received: RefCell::default(),
            datagram_counts: Cell::default(),
            control_traffic: control,
            count,
            has_left: Cell::default(),
        }))
    }

    /// How many members there are, whenever that changes.
    pub fn count(&self) -> watch::Receiver<MemberCount> {
        self.count.subscribe()
    }

    /// Takes part for ever.
    pub async fn run(self: Rc<Self>) {
        spawn_local(self.clone().run_seeding());
        if !self.registries.is_empty() {
            spawn_local(listing::keep(self.clone(), self.registries.clone()));
        }
        let mut datagram = [0; 2048];
        loop {
            if self.socket.readable().await.is_err() {
                sleep(STARVED).await;
                continue;
            }
            for _ in 0..BATCH {
                let Ok(n) = self.socket.try_recv(&mut datagram) else { break };
                self.handle_datagram(&datagram[..n]);
            }
            self.flush_protocol();
            sleep(REST).await;
        }
    }

    /// Tells the others that this process goes.
    pub fn leave(self: &Rc<Self>) {
        if !self.has_left.replace(true) {
            self.swim.borrow_mut().leave();
            self.flush_protocol();
            if !self.registries.is_empty() {
                spawn_local(listing::leave(self.clone(), self.registries.clone()));
            }
        }
    }

    fn handle_datagram(&self, datagram: &[u8]) {
        let mut traffic = self.datagram_counts.get();
        traffic.received += 1;
        traffic.received_bytes += datagram.len() as u64;
        self.control_traffic.record_received(TrafficKind::Datagram, 1, datagram.len() as u64);
        match self.swim.borrow_mut().receive(datagram) {
            Ok(from) => drop(self.last_received.borrow_mut().insert(from.addr, Instant::now())),
            Err(DropReason::Malformed) => traffic.garbage += 1,
            Err(DropReason::OtherCluster) => traffic.other_cluster += 1,
            Err(DropReason::TooManyMembers) => {
                if traffic.too_many_members == 0 {
                    let most = swim::MAX_MEMBERS;
                    warn!(
                        "membership: {most} members are known, no more are taken in; give each tier its own cluster"
                    );
                }
                traffic.too_many_members += 1;
            }
        }
        self.datagram_counts.set(traffic);
    }

    /// Does what the protocol wants done.
    fn flush_protocol(self: &Rc<Self>) {
        let swim = &mut *self.swim.borrow_mut();
        let mut traffic = self.datagram_counts.get();
        while let Some((to, datagram)) = swim.next_datagram() {
            // One that cannot be sent now is lost, as any may be.
            match self.socket.try_send_to(&datagram, to) {
                Ok(n) => {
                    (traffic.sent, traffic.sent_bytes) = (traffic.sent + 1, traffic.sent_bytes + n as u64);
                    self.control_traffic.record_sent(TrafficKind::Datagram, 1, n as u64);
                }
                Err(_) => traffic.unsent += 1,
            }
        }
        self.datagram_counts.set(traffic);
        while let Some((after, timer)) = swim.next_timer() {
            let member = self.clone();
            spawn_local(async move {
                sleep(after).await;
                member.swim.borrow_mut().handle_timer(timer);
                member.flush_protocol();
            });
        }
        let mut changed = false;
        while let Some(news) = swim.next_notification() {
            changed = true;
            match news {
                OwnedNotification::MemberUp(id) => info!("membership: {} is alive", told(&id)),
                OwnedNotification::MemberDown(id) => {
                    warn!("membership: {} is gone", told(&id))
                }
                OwnedNotification::Rejoin(id) => warn!("membership: back as {}", told(&id)),
                OwnedNotification::Rename(old, new) => {
                    info!("membership: {} takes the place of {}", told(&new), told(&old));
                }
                OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
            }
        }
        if changed {
            let known: Vec<SocketAddr> = swim.members().map(|m| m.id.addr).collect();
            self.last_received.borrow_mut().retain(|addr, _| known.contains(addr));
            let count = swim.count();
            self.count.send_if_modified(|was| std::mem::replace(was, count) != count);
        }
    }
}
