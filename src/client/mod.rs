//! The client of the control plane: what a proxy asks of a registry, and how proxies find each other.
//!
//! - [`discovery`] keeps the endpoint list up to date, in the form that [`list`] parses.
//! - [`route_table`] keeps the route table up to date and reports what the proxy did with it.
//! - [`membership`] finds the live proxies of the tier by gossip.
//! - [`registry`] makes the calls, [`backoff`] spaces the failed ones, [`traffic`] counts their messages and bytes.
//!
//! The proxy runs it on its data path's thread. A benchmark can run hundreds of clients in one process with the same
//! code, with its own [`discovery::EndpointListener`] and [`route_table::RoutedProxy`] in place of a proxy.
//!
//! All of it runs on one thread: it must be spawned inside a [`tokio::task::LocalSet`].

pub mod backoff;
pub mod discovery;
pub mod list;
pub mod membership;
pub mod registry;
pub mod route_table;
pub mod traffic;
