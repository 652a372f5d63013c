//! The system's table of connections: what has arrived where, whoever has read it or not.

use super::within_deadline;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

const ESTABLISHED: &str = "01";
const SYN_SENT: &str = "02";
const LISTENING: &str = "0A";

/// One end of a connection on this machine.
struct Socket {
    local: u16,
    remote: u16,
    state: String,
    /// Bytes that nobody has read; of a listener, connections that nobody has taken.
    unread: usize,
}

fn sockets() -> Vec<Socket> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    table.lines().skip(1).filter_map(socket).collect()
}

fn socket(line: &str) -> Option<Socket> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let port = |at: usize| u16::from_str_radix(fields.get(at)?.rsplit_once(':')?.1, 16).ok();
    let unread = usize::from_str_radix(fields.get(4)?.split_once(':')?.1, 16).ok()?;
    Some(Socket { local: port(1)?, remote: port(2)?, state: fields.get(3)?.to_string(), unread })
}

/// Waits until somebody's connect to an address is under way.
pub async fn wait_for_connecting(addr: SocketAddr) {
    while !sockets().iter().any(|s| s.remote == addr.port() && s.state == SYN_SENT) {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until one end of a connection has heard that the other end has closed or reset it.
pub async fn wait_for_peer_close(at: SocketAddr, from: SocketAddr) {
    let open = |s: &Socket| s.local == at.port() && s.remote == from.port() && s.state == ESTABLISHED;
    within_deadline(async {
        while sockets().iter().any(open) {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
}

/// How many wait in a listener's queue.
pub fn accept_queue_len(listener: SocketAddr) -> usize {
    // Listeners stand before all connections, of which there may be thousands.
    let table = BufReader::new(File::open("/proc/net/tcp").expect("a table"));
    let listens = |s: &Socket| s.local == listener.port() && s.state == LISTENING;
    let rows = table.lines().map_while(Result::ok);
    rows.filter_map(|row| socket(&row)).find(listens).expect("it listens").unread
}
