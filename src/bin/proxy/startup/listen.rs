//! Opens listening sockets.

use crate::error::Error;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};
use tracing::info;

/// Maximum number of connections that the operating system queues for a listener.
const LISTEN_BACKLOG: u32 = 1024;

/// Opens a listener and logs its address. If `shared`, other processes may listen on the address at the same time, such
/// as the one that this process replaces.
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
