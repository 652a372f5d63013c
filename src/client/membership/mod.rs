//! Membership among the proxies of a tier: which of them are alive, found by gossip over UDP.
//!
//! [`Membership`] owns the socket, the seeds and the counts of datagrams; the protocol, without sockets or clock, is
//! in [`swim`]. Three tasks act: one receives datagrams, one announces this process to seeds, and where registries are
//! configured one registers it there. The rest of the program reads the count of members; what follows from a change
//! of it is the decision module's to decide.

mod datagrams;
mod operator_page;
mod registration;
mod seeding;
mod settings;
pub mod swim;
mod witnesses;

pub use settings::Settings;

use crate::client::traffic::Traffic;
use operator_page::DatagramCounts;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use swim::{MemberCount, MemberId, Swim};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;
use tracing::info;

/// The UDP address cannot be used, so that this process cannot take part.
#[derive(Debug, thiserror::Error)]
#[error("membership: {address}: {source}; free the UDP address or set another as membership.bind")]
pub struct Error {
    address: SocketAddr,
    source: std::io::Error,
}

/// This process as a member.
pub struct Membership {
    swim: RefCell<Swim>,
    socket: UdpSocket,
    /// The configured seeds, followed by the proxies that a registry lists.
    seeds: RefCell<Vec<SocketAddr>>,
    /// How many of `seeds` are configured.
    configured_seeds: usize,
    /// The registries that list the tier's proxies.
    registries: Vec<SocketAddr>,
    /// Notified when a registry lists a new proxy and this process is alone.
    new_seeds: Notify,
    /// When each member's last datagram came, by its address.
    last_received: RefCell<HashMap<SocketAddr, Instant>>,
    datagram_counts: Cell<DatagramCounts>,
    /// Counts this client's control traffic of all kinds.
    control_traffic: Traffic,
    count: watch::Sender<MemberCount>,
    has_left: Cell<bool>,
}

impl Membership {
    /// Binds the socket and logs its address. The process is alone until [`Membership::run`] has found others.
    ///
    /// `seed` seeds the protocol's random choices. Fails if the address in the settings cannot be bound.
    pub async fn bind(
        settings: &Settings,
        zone: &str,
        seed: u64,
        control_traffic: Traffic,
    ) -> Result<Rc<Self>, Error> {
        let failed = |source| Error { address: settings.bind, source };
        let socket = UdpSocket::bind(settings.bind).await.map_err(failed)?;
        let bound = socket.local_addr().map_err(failed)?;
        info!("membership on {bound}");
        let swim = Swim::new(member_id(settings, bound, zone), &settings.timing, &settings.cluster, seed);
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
            control_traffic,
            count,
            has_left: Cell::default(),
        }))
    }

    /// The count of members, which notifies its receivers of each change.
    pub fn count(&self) -> watch::Receiver<MemberCount> {
        self.count.subscribe()
    }

    /// Takes part for ever.
    pub async fn run(self: Rc<Self>) {
        spawn_local(self.clone().run_seeding());
        if !self.registries.is_empty() {
            spawn_local(registration::run_registration(self.clone(), self.registries.clone()));
        }
        self.receive_datagrams().await;
    }

    /// Announces to the other members that this process leaves, and deletes its registration. Only the first call does
    /// something.
    pub fn leave(self: &Rc<Self>) {
        if self.has_left.replace(true) {
            return;
        }
        self.swim.borrow_mut().leave();
        self.flush_protocol();
        if !self.registries.is_empty() {
            spawn_local(registration::deregister(self.clone(), self.registries.clone()));
        }
    }
}

/// This process's identity. Its generation is the time of its start, so that it rises with each restart.
fn member_id(settings: &Settings, bound: SocketAddr, zone: &str) -> MemberId {
    let addr = settings.advertise.unwrap_or(bound);
    let name = settings.name.clone().unwrap_or_else(|| addr.to_string());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    MemberId { addr, generation: since_epoch.as_micros() as u64, name, zone: zone.to_string() }
}
