//! Members that die, leave, are paused, and are found through a registry.

use super::{
    Fleet, JOIN_DEADLINE, POLL_INTERVAL, PROBE_MS, SUSPICION_MS, detection_bound, membership_view,
    short_timing,
};
use crate::registry_rig::{Registry, data_dir, entry, host_names};
use crate::waits::within_deadline;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_member_is_seen_as_gone_within_the_bound_and_rejoins_with_a_higher_generation() {
    let mut fleet = Fleet::start(5, short_timing()).await;
    fleet.wait_until_all_alive(JOIN_DEADLINE).await;
    let generation_before = membership_view(&fleet.proxies[0]).await.generations["n4"];
    fleet.proxies.pop().expect("the fleet has five proxies").kill().await;
    fleet
        .wait_until(&[0, 1, 2, 3], detection_bound(4), "n4 gone", |v| {
            v.has_state("n4", "gone") && v.alive == 4
        })
        .await;
    let (restarted, _) = fleet.spawn(4, "tier").await;
    fleet.proxies.push(restarted);
    fleet.wait_until_all_alive(JOIN_DEADLINE).await;
    assert!(membership_view(&fleet.proxies[0]).await.generations["n4"] > generation_before);
    // A member that is terminated announces that it leaves.
    let mut terminated = fleet.proxies.pop().expect("the fleet has five proxies");
    terminated.terminate().await;
    let time_to_gone =
        fleet.wait_until(&[0, 1, 2, 3], detection_bound(4), "n4 left", |v| v.has_state("n4", "gone")).await;
    assert!(
        time_to_gone < Duration::from_millis(SUSPICION_MS),
        "a leaving member is not suspected first: {time_to_gone:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_that_was_paused_until_gone_rejoins_and_stays_alive() {
    let fleet = Fleet::start(3, short_timing()).await;
    fleet.wait_until_all_alive(JOIN_DEADLINE).await;
    let generation_before = membership_view(&fleet.proxies[0]).await.generations["n2"];
    fleet.proxies[2].send_signal("-STOP");
    fleet.wait_until(&[0, 1], detection_bound(2), "n2 gone", |v| v.has_state("n2", "gone")).await;
    fleet.proxies[2].send_signal("-CONT");
    fleet.wait_until_all_alive(JOIN_DEADLINE).await;
    assert!(
        membership_view(&fleet.proxies[0]).await.generations["n2"] > generation_before,
        "n2 rejoins with a higher generation"
    );
    let rejoined = Instant::now();
    while rejoined.elapsed() < Duration::from_millis(15 * PROBE_MS) {
        for proxy in &fleet.proxies {
            let view = membership_view(proxy).await;
            assert_eq!(view.count(&["gone"]), 0, "{:?}", view.states);
        }
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxies_find_each_other_by_a_registry_and_stay_members_without_it() {
    let registry = Registry::start(&data_dir("proxies"), &[]).await;
    let mut fleet = Fleet::start_with_registry(3, short_timing(), Some(registry.address)).await;
    // The first proxy learns of the others from their announcements; its next renewal may be 12.5 s away.
    fleet.wait_until_all_alive(JOIN_DEADLINE).await;
    let listed = async || {
        let mut names = host_names(&registry.get("").await);
        names.sort();
        names
    };
    assert_eq!(listed().await, ["n0", "n1", "n2"]);
    fleet.proxies[2].terminate().await;
    let deregistered = async {
        while listed().await != ["n0", "n1"] {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(JOIN_DEADLINE, deregistered).await.expect("a terminated proxy deregisters well within its TTL");
    fleet.proxies.pop();
    registry.kill().await;
    fleet.wait_until(&[0, 1], JOIN_DEADLINE, "n2 left", |v| v.has_state("n2", "gone") && v.alive == 2).await;
    for proxy in &fleet.proxies {
        assert_eq!(proxy.call("look").await, (200, "a".into()));
    }
    fleet.wait_until(&[0, 1], JOIN_DEADLINE, "both stay alive", |v| v.alive == 2).await;
}

/// A registry lists ten thousand proxies with the longest names, all at one address: the list is read, and that address
/// gets an announcement. A list that exceeds the length limit is logged, and calls are still served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_list_of_ten_thousand_proxies_is_read_and_one_that_is_too_long_is_logged() {
    const PROXIES_PER_WRITE: usize = 10_000;
    for (writes, too_long) in [(1, false), (4, true)] {
        let registry = Registry::start(&data_dir(&format!("listed-{writes}")), &[]).await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("binds a loopback port");
        let address = socket.local_addr().expect("bound socket has an address");
        for write in 0..writes {
            let proxy_entry = |n: usize| {
                let mut entry = entry(&format!("{n:0>63}"), address, "SERVING");
                entry["site"] = "z".repeat(63).into();
                entry
            };
            let numbers = write * PROXIES_PER_WRITE..(write + 1) * PROXIES_PER_WRITE;
            registry.put(600_000, numbers.map(proxy_entry).collect()).await;
        }
        let mut fleet = Fleet::start_with_registry(1, short_timing(), Some(registry.address)).await;
        if too_long {
            fleet.proxies[0].wait_for_log("length limit").await;
        } else {
            let mut datagram = [0; 2048];
            let received = within_deadline(socket.recv_from(&mut datagram)).await;
            assert!(received.expect("a datagram arrives").0 > 0);
        }
        assert_eq!(fleet.proxies[0].call("look").await, (200, "a".into()));
    }
}
