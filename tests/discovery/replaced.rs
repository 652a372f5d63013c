//! Memory of a proxy whose backends are replaced again and again.

use crate::rig::*;
use serde_json::{Value, json};

/// Number of backends in a list; each list has different ones.
const BACKENDS: usize = 1000;
/// Number of lists after which the process has allocated what it needs for a list of this size.
const WARM_UP_LISTS: usize = 8;
/// Number of lists that are published after the warm-up.
const FURTHER_LISTS: usize = 32;
/// Limit on the memory growth over the further lists, MB. Names and addresses of all their backends exceed 6 MB.
const MAX_GROWTH_MB: usize = 2;

/// Returns the entries of the numbered list; all lists have different backends.
fn entries(list: usize) -> Vec<Value> {
    let entry = |n: usize| {
        json!({"host": format!("s-{list:04}-of-a-tier-with-a-long-name-{n:08x}"), "dial": format!("127.9.{}.{}:9", n / 250, n % 250 + 1),
               "site": "a", "class": "m", "block": 0, "health": "SERVING", "share": 1.0, "born_ms": 0})
    };
    (0..BACKENDS).map(entry).collect()
}

#[tokio::test]
async fn memory_does_not_grow_with_the_number_of_removed_backends() {
    let discovery = TestDiscovery::start(entries(0)).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings()).await;
    for list in 1..WARM_UP_LISTS {
        discovery.publish(entries(list)).await;
    }
    let memory_before = proxy.current_memory_mb();
    for list in WARM_UP_LISTS..WARM_UP_LISTS + FURTHER_LISTS {
        discovery.publish(entries(list)).await;
    }
    let memory_after = proxy.current_memory_mb();
    assert!(
        memory_after <= memory_before + MAX_GROWTH_MB,
        "{memory_before} MB after {WARM_UP_LISTS} lists, {memory_after} MB after {FURTHER_LISTS} more"
    );
}
