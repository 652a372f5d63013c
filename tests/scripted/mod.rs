//! Backends scripted to the byte: what they hear of a request, what they say to it and when, and how they end its
//! connection.
#![allow(dead_code, unused_imports)]

mod script;

use crate::rig::{Discovery, Proxy, line};
use crate::waits::soon;
pub use script::{Act, End, Script, whole};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// A proxy before two backends, `a` and `b`, that follow one script.
pub struct Stage {
    pub script: Arc<Script>,
    pub backends: [SocketAddr; 2],
    pub discovery: Discovery,
    pub proxy: Proxy,
}

pub async fn stage(settings: Value) -> Stage {
    stage_with(settings, |_| {}).await
}

/// The same, the proxy with a configuration of its own.
pub async fn stage_with(settings: Value, change: impl FnOnce(&mut Value)) -> Stage {
    let script = Arc::new(Script::default());
    let backends = [script.backend().await, script.backend().await];
    let [a, b] = backends;
    let discovery = Discovery::start(vec![line("a", a, "SERVING"), line("b", b, "SERVING")]).await;
    let mut config = discovery.config(settings);
    change(&mut config);
    let proxy = Proxy::start_as(&config, "exec \"$0\"").await;
    discovery.settled().await;
    Stage { script, backends, discovery, proxy }
}
