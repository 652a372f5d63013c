//! The started program between callers, backends and discovery on loopback sockets. Nothing here decides or
//! models anything: a backend does what a test tells it to, and tests wait for what they see.
#![allow(dead_code, unused_imports)]

mod backend;
mod caller;
mod discovery;
mod proxy;
mod settings;
mod sockets;

pub use crate::waits::*;
pub use backend::{Backend, Do, Orders, Pieces, line};
pub use caller::{Caller, connect, refusing, request, silent};
pub use discovery::Discovery;
pub use proxy::{Proxy, write_config};
pub use settings::{settings, with_cap};
pub use sockets::{connecting, end_arrived, in_queue};

use serde_json::Value;
use std::sync::Arc;

/// Two backends with common orders, discovery that lists them, and a proxy that holds the list.
pub struct Scene {
    pub orders: Arc<Orders>,
    pub a: Backend,
    pub b: Backend,
    pub discovery: Discovery,
    pub proxy: Proxy,
}

pub async fn scene(settings: Value) -> Scene {
    scene_with(settings, |_| {}).await
}

/// A scene whose proxy has a configuration of its own.
pub async fn scene_with(settings: Value, change: impl FnOnce(&mut Value)) -> Scene {
    let orders = Arc::new(Orders::default());
    let (a, b) = (Backend::start("a", &orders).await, Backend::start("b", &orders).await);
    let discovery = Discovery::start(vec![a.line("SERVING"), b.line("SERVING")]).await;
    let mut config = discovery.config(settings);
    change(&mut config);
    let proxy = Proxy::start_as(&config, "exec \"$0\"").await;
    discovery.settled().await;
    Scene { orders, a, b, discovery, proxy }
}
