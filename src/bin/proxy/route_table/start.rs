//! The start of the tasks of the route table and the recorder, as far as they are configured.

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

/// Number of file descriptors that these tasks may need: a connection for a watch, a report and a segment, and one more
/// for the next of each.
pub const DESCRIPTORS: usize = 6;

/// The parts of the program that these tasks use.
pub struct Parts<'a> {
    /// Engine that applies the weights.
    pub engine: &'a Rc<Engine>,
    /// Counters of requests.
    pub counters: &'a Rc<Counters>,
    /// Membership of the tier's proxies, where it is configured.
    pub membership: &'a Option<Rc<Membership>>,
    /// Addresses of the registries from discovery.
    pub discovery: &'a watch::Receiver<Vec<SocketAddr>>,
    /// Counter of the bytes sent and received.
    pub traffic: &'a Traffic,
}

/// Starts the configured tasks, and returns the route table client and the recording.
pub fn start(
    config: &Config,
    observer: &Rc<Observer>,
    parts: Parts,
) -> (Option<Rc<RouteTableClient>>, Option<Rc<Recording>>) {
    let site = &config.platform.site;
    let engine = parts.engine;
    let zone = site.zones.get(usize::from(config.platform.settings.zone)).cloned().unwrap_or_default();
    let identity = Identity::new(config.name.clone(), zone, parts.membership.clone());
    let configured = config.routes.as_ref().map(|r| r.registries.clone()).filter(|all| !all.is_empty());
    // Configured addresses are fixed, so nothing more is sent on this channel.
    let registries = configured.map_or_else(|| parts.discovery.clone(), |all| watch::channel(all).1);
    let recording = config.record.as_ref().map(|settings| {
        let recording = Recording::new(
            settings,
            &identity,
            config.settings_text.clone(),
            engine.now_ms(),
            parts.traffic.clone(),
        );
        observer.start_recording(engine.now_ms(), recording.clone());
        let clock = engine.clone();
        spawn_local(recording.clone().cut_segments(move || clock.now_ms()));
        spawn_local(recording.clone().ship_segments(registries.clone()));
        recording
    });
    let routes = config.routes.as_ref().map(|settings| {
        let proxy = Box::new(ObservedEngine {
            engine: engine.clone(),
            observer: observer.clone(),
            counters: parts.counters.clone(),
        });
        let routes = RouteTableClient::new(settings, identity, proxy, parts.traffic.clone());
        spawn_local(routes.clone().run_watch(registries));
        spawn_local(routes.clone().run_reports());
        routes
    });
    (routes, recording)
}
