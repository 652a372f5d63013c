//! Listening sockets.

use crate::error::Error;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};
use tracing::info;

/// Connections that the system may queue for a listener.
const LISTEN_BACKLOG: u32 = 1024;

/// Listens, and logs where. At a shared address another process may listen, which this one replaces.
pub(super) fn bind(what: &'static str, address: SocketAddr, shared: bool) -> Result<TcpListener, Error> {
    let listen = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        if shared {
            socket.set_reuseport(true)?;
        }
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    let failed = |source| Error::Listen { what, address, source };
    let listener = listen().map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    info!("{what} on {bound}");
    Ok(listener)
}
