//! Membership among the proxies of a tier: the UDP socket, the timers, and the view that the rest of the program
//! uses. The protocol is in `swim`; what the count of members changes is the module's to decide.

mod listing;
mod seek;
mod settings;
pub mod swim;
mod view;
mod witness;

pub use settings::Settings;

use crate::client::traffic::{self, Kind};
use foca::OwnedNotification;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use swim::{Count, Dropped, Id, Swim};
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
    configured: usize,
    registries: Vec<SocketAddr>,
    /// Who is alone looks for others again at once when there is somebody new to ask.
    found: Notify,
    heard: RefCell<HashMap<SocketAddr, Instant>>,
    traffic: Cell<Traffic>,
    /// Counts this client's control traffic, that of other kinds too.
    control: traffic::Traffic,
    count: watch::Sender<Count>,
    left: Cell<bool>,
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
        let id = Id { addr, generation: unix.as_micros() as u64, name, zone: zone.to_string() };
        let swim = Swim::new(id, &settings.timing, &settings.cluster, seed);
        let count = watch::Sender::new(swim.count());
        Ok(Rc::new(Membership {
            swim: RefCell::new(swim),
            socket,
            seeds: RefCell::new(settings.seeds.clone()),
            configured: settings.seeds.len(),
            registries: settings.registries.clone(),
            found: Notify::new(),
            heard: RefCell::default(),
            traffic: Cell::default(),
            control,
            count,
            left: Cell::default(),
        }))
    }

    /// How many members there are, whenever that changes.
    pub fn count(&self) -> watch::Receiver<Count> {
        self.count.subscribe()
    }

    /// Takes part for ever.
    pub async fn run(self: Rc<Self>) {
        spawn_local(self.clone().seek());
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
                self.take(&datagram[..n]);
            }
            self.carry_out();
            sleep(REST).await;
        }
    }

    /// Tells the others that this process goes.
    pub fn leave(self: &Rc<Self>) {
        if !self.left.replace(true) {
            self.swim.borrow_mut().leave();
            self.carry_out();
            if !self.registries.is_empty() {
                spawn_local(listing::leave(self.clone(), self.registries.clone()));
            }
        }
    }

    fn take(&self, datagram: &[u8]) {
        let mut traffic = self.traffic.get();
        traffic.received += 1;
        traffic.received_bytes += datagram.len() as u64;
        self.control.received(Kind::Datagram, 1, datagram.len() as u64);
        match self.swim.borrow_mut().receive(datagram) {
            Ok(from) => drop(self.heard.borrow_mut().insert(from.addr, Instant::now())),
            Err(Dropped::Garbage) => traffic.garbage += 1,
            Err(Dropped::OtherCluster) => traffic.other_cluster += 1,
            Err(Dropped::TooMany) => {
                if traffic.too_many_members == 0 {
                    let most = swim::MAX_MEMBERS;
                    warn!(
                        "membership: {most} members are known, no more are taken in; give each tier its own cluster"
                    );
                }
                traffic.too_many_members += 1;
            }
        }
        self.traffic.set(traffic);
    }

    /// Does what the protocol wants done.
    fn carry_out(self: &Rc<Self>) {
        let swim = &mut *self.swim.borrow_mut();
        let mut traffic = self.traffic.get();
        while let Some((to, datagram)) = swim.next_datagram() {
            // One that cannot be sent now is lost, as any may be.
            match self.socket.try_send_to(&datagram, to) {
                Ok(n) => {
                    (traffic.sent, traffic.sent_bytes) = (traffic.sent + 1, traffic.sent_bytes + n as u64);
                    self.control.sent(Kind::Datagram, 1, n as u64);
                }
                Err(_) => traffic.unsent += 1,
            }
        }
        self.traffic.set(traffic);
        while let Some((after, timer)) = swim.next_timer() {
            let member = self.clone();
            spawn_local(async move {
                sleep(after).await;
                member.swim.borrow_mut().wake(timer);
                member.carry_out();
            });
        }
        let mut changed = false;
        while let Some(news) = swim.news() {
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
            self.heard.borrow_mut().retain(|addr, _| known.contains(addr));
            let count = swim.count();
            self.count.send_if_modified(|was| std::mem::replace(was, count) != count);
        }
    }
}
