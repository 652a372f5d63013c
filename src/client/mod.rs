//! Client of the control plane: a proxy's calls to a registry, and the membership among proxies.
//!
//! - [`discovery`] keeps the endpoint list up to date, in the form that [`list`] parses.
//! - [`route_table`] keeps the route table up to date and reports the proxy's calls and the table in force.
//! - [`membership`] detects the live proxies of the tier by gossip.
//! - [`registry`] makes the calls, [`backoff`] delays retries, [`traffic`] counts messages and bytes.
//!
//! The proxy runs the client on the thread of its data path. A benchmark can run hundreds of clients in one process,
//! with its own [`discovery::EndpointListener`] and [`route_table::RoutedProxy`] in place of a proxy.
//!
//! All tasks of a client run on one thread and must be spawned inside a [`tokio::task::LocalSet`].

pub mod backoff;
pub mod discovery;
pub mod list;
pub mod membership;
pub mod registry;
pub mod route_table;
pub mod traffic;
