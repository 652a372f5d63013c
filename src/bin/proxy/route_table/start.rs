//! Starts what is configured of the routing and the recording.

use super::proxy::ObservedEngine;
use crate::config::Config;
use crate::counters::Counters;
use crate::engine::Engine;
use crate::observer::Observer;
use crate::recorder::Recording;
use load_balancer::client::membership::Membership;
use load_balancer::client::route_table::{Identity, RouteTableClient};
use load_balancer::client::traffic::Traffic;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Connections that these may hold: a watch, a report and a segment, and the next of each.
pub const DESCRIPTORS: usize = 6;

/// What they need of the rest.
pub struct Parts<'a> {
    /// Decides.
    pub engine: &'a Rc<Engine>,
    /// Counts requests.
    pub counters: &'a Rc<Counters>,
    /// The tier's proxies, where they tell each other.
    pub membership: &'a Option<Rc<Membership>>,
    /// Where discovery answers now.
    pub discovery: &'a watch::Receiver<Vec<SocketAddr>>,
    /// Counts what all this says and hears.
    pub traffic: &'a Traffic,
}

/// Starts them.
pub fn start(
    config: &Config,
    observer: &Rc<Observer>,
    parts: Parts,
) -> (Option<Rc<RouteTableClient>>, Option<Rc<Recording>>) {
    let (site, engine) = (&config.facts.site, parts.engine);
    let zone = site.zones.get(usize::from(config.facts.settings.zone)).cloned().unwrap_or_default();
    let who = Identity::new(config.name.clone(), zone, parts.membership.clone());
    let named = config.routes.as_ref().map(|r| r.registries.clone()).filter(|all| !all.is_empty());
    // Those that the file names stay: no more comes over this channel.
    let registries = named.map_or_else(|| parts.discovery.clone(), |all| watch::channel(all).1);
    let recording = config.record.as_ref().map(|settings| {
        let recording =
            Recording::new(settings, &who, config.text.clone(), engine.now(), parts.traffic.clone());
        observer.record(engine.now(), recording.clone());
        let clock = engine.clone();
        spawn_local(recording.clone().cut(move || clock.now()));
        spawn_local(recording.clone().ship(registries.clone()));
        recording
    });
    let routes = config.routes.as_ref().map(|settings| {
        let (engine, observer, counters) = (engine.clone(), observer.clone(), parts.counters.clone());
        let proxy = Box::new(ObservedEngine { engine, observer, counters });
        let routes = RouteTableClient::new(settings, who, proxy, parts.traffic.clone());
        spawn_local(routes.clone().run_watch(registries));
        spawn_local(routes.clone().run_reports());
        routes
    });
    (routes, recording)
}
