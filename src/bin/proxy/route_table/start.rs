//! Starts the tasks of the route table and the recorder, as far as they are configured.
//!
//! Acts once, at the start.

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

/// Descriptors that these tasks may need: connections for a watch, a report and a segment, and for the next of each.
pub const DESCRIPTORS: usize = 6;

/// What these tasks need of the rest of the program.
pub struct Parts<'a> {
    /// Has the weights.
    pub engine: &'a Rc<Engine>,
    /// Counts requests.
    pub counters: &'a Rc<Counters>,
    /// The proxies of the tier, where membership is configured.
    pub membership: &'a Option<Rc<Membership>>,
    /// Discovery's addresses.
    pub discovery: &'a watch::Receiver<Vec<SocketAddr>>,
    /// Counts the bytes sent and received.
    pub traffic: &'a Traffic,
}

/// Starts the tasks.
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
    // Configured addresses are fixed: nothing more is sent on this channel.
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
