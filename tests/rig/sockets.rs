//! The TCP socket table of the kernel: connection states and unread data, independent of what processes have read.

use super::within_deadline;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

const ESTABLISHED: &str = "01";
const SYN_SENT: &str = "02";
const CLOSE_WAIT: &str = "08";
const LISTENING: &str = "0A";

/// One end of a connection on this machine.
struct Socket {
    local: u16,
    remote: u16,
    state: String,
    /// Bytes that the peer's system has not acknowledged.
    unacknowledged: usize,
    /// Receive queue: unread bytes, or pending connections if the socket listens.
    unread: usize,
}

fn sockets() -> Vec<Socket> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the TCP table is readable");
    table.lines().skip(1).filter_map(socket).collect()
}

fn socket(line: &str) -> Option<Socket> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let port = |at: usize| u16::from_str_radix(fields.get(at)?.rsplit_once(':')?.1, 16).ok();
    let (unacknowledged, unread) = fields.get(4)?.split_once(':')?;
    let bytes = |text| usize::from_str_radix(text, 16).ok();
    let (unacknowledged, unread) = (bytes(unacknowledged)?, bytes(unread)?);
    let state = fields.get(3)?.to_string();
    Some(Socket { local: port(1)?, remote: port(2)?, state, unacknowledged, unread })
}

/// Waits until a connect to an address is in progress.
pub async fn wait_for_connecting(addr: SocketAddr) {
    while !sockets().iter().any(|s| s.remote == addr.port() && s.state == SYN_SENT) {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until the end at `at` has received the close or reset of its peer at `from`.
pub async fn wait_for_peer_close(at: SocketAddr, from: SocketAddr) {
    let open = |s: &Socket| s.local == at.port() && s.remote == from.port() && s.state == ESTABLISHED;
    within_deadline(async {
        while sockets().iter().any(open) {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

/// Waits until everything that was written to the connection from `from` has arrived at its peer's system.
pub async fn wait_until_arrived(from: SocketAddr) {
    let is_pending = |s: &Socket| s.local == from.port() && s.unacknowledged > 0;
    within_deadline(async {
        while sockets().iter().any(is_pending) {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

/// Returns the number of connections to an address that their side has not closed.
pub fn connections_to(addr: SocketAddr) -> usize {
    let is_held = |s: &&Socket| [ESTABLISHED, SYN_SENT, CLOSE_WAIT].contains(&s.state.as_str());
    sockets().iter().filter(|s| s.remote == addr.port()).filter(is_held).count()
}

/// Returns the number of connections in the accept queue of a listener.
pub fn accept_queue_len(listener: SocketAddr) -> usize {
    // The table lists listeners before connections, of which there may be thousands.
    let table = BufReader::new(File::open("/proc/net/tcp").expect("the TCP table is readable"));
    let listens = |s: &Socket| s.local == listener.port() && s.state == LISTENING;
    let rows = table.lines().map_while(Result::ok);
    rows.filter_map(|row| socket(&row)).find(listens).expect("the listener is in the table").unread
}
