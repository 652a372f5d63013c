//! The client of the control plane: what a proxy asks of a registry, and what proxies tell each other.
//!
//! The program `proxy` runs it beside its data path. A benchmark may run hundreds of clients in one process through
//! the very same code, with its own [`discovery::Listener`] and [`routes::RoutedProxy`] in place of a proxy.
//!
//! All of it runs on one thread: it must be spawned inside a [`tokio::task::LocalSet`].

pub mod discovery;
pub mod list;
pub mod membership;
pub mod pauses;
pub mod registry;
pub mod route_table;
pub mod traffic;
