//! Membership among the proxies of a tier: detects by gossip over UDP which of them are alive.
//!
//! [`Membership`] owns the socket, the seeds and the counts of datagrams; the protocol, without sockets or clock, is
//! in [`swim`]. One task receives datagrams, one announces this process to seeds, and if registries are configured a
//! third registers it there. The rest of the program reads the count of members; the decision module decides how to
//! react to a change of the count.

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

/// Failure to bind the membership's UDP address.
#[derive(Debug, thiserror::Error)]
#[error("membership: {address}: {source}; free the UDP address or set another as membership.bind")]
pub struct Error {
    address: SocketAddr,
    source: std::io::Error,
}

/// This process as a member of the tier.
pub struct Membership {
    swim: RefCell<Swim>,
    socket: UdpSocket,
    /// Configured seeds, followed by the proxies that a registry lists.
    seeds: RefCell<Vec<SocketAddr>>,
    /// Number of configured seeds at the beginning of `seeds`.
    configured_seeds: usize,
    /// Registries that list the tier's proxies.
    registries: Vec<SocketAddr>,
    /// Notified when a registry lists a new proxy and this process is alone.
    new_seeds: Notify,
    /// Time of the last datagram received from each member, by address.
    last_received: RefCell<HashMap<SocketAddr, Instant>>,
    datagram_counts: Cell<DatagramCounts>,
    /// Counts of this client's control traffic of all kinds.
    control_traffic: Traffic,
    count: watch::Sender<MemberCount>,
    has_left: Cell<bool>,
}

impl Membership {
    /// Binds the socket and logs its address. The process knows no other members until [`Membership::run`] finds some.
    ///
    /// `seed` initializes the protocol's random number generator.
    ///
    /// # Errors
    ///
    /// Fails if the address in the settings cannot be bound.
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

    /// Returns a receiver of the member count that is notified of each change.
    pub fn count(&self) -> watch::Receiver<MemberCount> {
        self.count.subscribe()
    }

    /// Runs the membership's tasks for ever.
    pub async fn run(self: Rc<Self>) {
        spawn_local(self.clone().run_seeding());
        if !self.registries.is_empty() {
            spawn_local(registration::run_registration(self.clone(), self.registries.clone()));
        }
        self.receive_datagrams().await;
    }

    /// Announces to the other members that this process leaves, and deletes its registration. Later calls have no
    /// effect.
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

/// Builds this process's identity. Its generation is the start time, so it increases with each restart.
fn member_id(settings: &Settings, bound: SocketAddr, zone: &str) -> MemberId {
    let addr = settings.advertise.unwrap_or(bound);
    let name = settings.name.clone().unwrap_or_else(|| addr.to_string());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    MemberId { addr, generation: since_epoch.as_micros() as u64, name, zone: zone.to_string() }
}
