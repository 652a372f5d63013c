//! Members that end, stop and are found.

use super::{Fleet, JOINED, LOOK, PROBE, SUSPICION, detected_within, quick, view};
use crate::registry_rig::{Registry, data_dir, entry, host_names};
use crate::waits::within_deadline;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_member_is_gone_for_all_within_the_bound_and_its_successor_is_not_taken_for_it() {
    let mut fleet = Fleet::start(5, quick()).await;
    fleet.until_all_alive(JOINED).await;
    let before = view(&fleet.proxies[0]).await.generations["n4"];
    fleet.proxies.pop().expect("five").kill().await;
    fleet.until(&[0, 1, 2, 3], detected_within(4), "n4 gone", |v| v.is("n4", "gone") && v.alive == 4).await;
    let (again, _) = fleet.spawn(4, "tier").await;
    fleet.proxies.push(again);
    fleet.until_all_alive(JOINED).await;
    assert!(view(&fleet.proxies[0]).await.generations["n4"] > before);
    // A planned stop says so itself.
    let mut stopped = fleet.proxies.pop().expect("five");
    stopped.terminate().await;
    let told = fleet.until(&[0, 1, 2, 3], detected_within(4), "n4 left", |v| v.is("n4", "gone")).await;
    assert!(told < Duration::from_millis(SUSPICION), "who leaves is not suspected first: {told:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_that_was_stopped_for_long_returns_and_stays() {
    let fleet = Fleet::start(3, quick()).await;
    fleet.until_all_alive(JOINED).await;
    let before = view(&fleet.proxies[0]).await.generations["n2"];
    fleet.proxies[2].send_signal("-STOP");
    fleet.until(&[0, 1], detected_within(2), "n2 gone", |v| v.is("n2", "gone")).await;
    fleet.proxies[2].send_signal("-CONT");
    fleet.until_all_alive(JOINED).await;
    assert!(view(&fleet.proxies[0]).await.generations["n2"] > before, "it is back as the next generation");
    let settled = Instant::now();
    while settled.elapsed() < Duration::from_millis(15 * PROBE) {
        for proxy in &fleet.proxies {
            let view = view(proxy).await;
            assert_eq!(view.count(&["gone"]), 0, "{:?}", view.standings);
        }
        sleep(LOOK).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxies_find_each_other_by_a_registry_and_outlive_it() {
    let registry = Registry::start(&data_dir("proxies"), &[]).await;
    let mut fleet = Fleet::found_by(3, quick(), Some(registry.address)).await;
    // The first finds the others by being asked; a renewal is 12.5 s off at the most.
    fleet.until_all_alive(JOINED).await;
    let listed = async || {
        let mut names = host_names(&registry.get("").await);
        names.sort();
        names
    };
    assert_eq!(listed().await, ["n0", "n1", "n2"]);
    fleet.proxies[2].terminate().await;
    let off = async {
        while listed().await != ["n0", "n1"] {
            sleep(LOOK).await;
        }
    };
    timeout(JOINED, off).await.expect("who stops takes itself off well within its TTL");
    fleet.proxies.pop();
    registry.kill().await;
    fleet.until(&[0, 1], JOINED, "n2 left", |v| v.is("n2", "gone") && v.alive == 2).await;
    for proxy in &fleet.proxies {
        assert_eq!(proxy.call("look").await, (200, "a".into()));
    }
    fleet.until(&[0, 1], JOINED, "both stay", |v| v.alive == 2).await;
}

/// A registry lists ten thousand proxies, all at one place under the longest names: the list is read, and that place is
/// asked. One that is longer than a list may be is said, and calls go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_list_of_ten_thousand_proxies_is_read_and_one_that_is_too_long_is_said() {
    const WRITE: usize = 10_000;
    for (writes, too_long) in [(1, false), (4, true)] {
        let registry = Registry::start(&data_dir(&format!("listed-{writes}")), &[]).await;
        let place = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let at = place.local_addr().expect("bound");
        for write in 0..writes {
            let listed = |n: usize| {
                let mut entry = entry(&format!("{n:0>63}"), at, "SERVING");
                entry["site"] = "z".repeat(63).into();
                entry
            };
            registry.put(600_000, (write * WRITE..(write + 1) * WRITE).map(listed).collect()).await;
        }
        let mut fleet = Fleet::found_by(1, quick(), Some(registry.address)).await;
        if too_long {
            fleet.proxies[0].wait_for_log("length limit").await;
        } else {
            let mut datagram = [0; 2048];
            assert!(within_deadline(place.recv_from(&mut datagram)).await.expect("a datagram").0 > 0);
        }
        assert_eq!(fleet.proxies[0].call("look").await, (200, "a".into()));
    }
}
