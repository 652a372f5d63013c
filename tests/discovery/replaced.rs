//! Machines that are replaced for as long as a process runs.

use crate::rig::*;
use serde_json::{Value, json};

/// Backends in the list at a time; each list has others.
const HOSTS: usize = 1000;
/// Lists until all has come up that a process holds for a list of this size ...
const FIRST: usize = 8;
/// ... and after that.
const MORE: usize = 32;
/// What the process may hold more then, in MB. Names and addresses of all that came are over 6 MB.
const MOST: usize = 2;

fn hosts(list: usize) -> Vec<Value> {
    let host = |n: usize| {
        json!({"host": format!("s-{list:04}-of-a-tier-with-a-long-name-{n:08x}"), "dial": format!("127.9.{}.{}:9", n / 250, n % 250 + 1),
               "site": "a", "class": "m", "block": 0, "health": "SERVING", "share": 1.0, "born_ms": 0})
    };
    (0..HOSTS).map(host).collect()
}

#[tokio::test]
async fn backends_that_are_gone_for_good_leave_nothing_behind() {
    let discovery = TestDiscovery::start(hosts(0)).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings()).await;
    for list in 1..FIRST {
        discovery.publish(hosts(list)).await;
    }
    let before = proxy.current_memory_mb();
    for list in FIRST..FIRST + MORE {
        discovery.publish(hosts(list)).await;
    }
    let after = proxy.current_memory_mb();
    assert!(after <= before + MOST, "{before} MB after {FIRST} lists, {after} after {MORE} more");
}
