//! Membership over links that lose datagrams, are cut, or carry invalid datagrams.

use super::{
    Fleet, JOIN_DEADLINE, MembershipView, POLL_INTERVAL, detection_bound, membership_view, short_timing,
};
use serde_json::json;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_member_is_declared_gone_while_a_fifth_of_the_datagrams_is_lost() {
    let timing = json!({"probe_ms": 500, "rtt_ms": 150, "suspicion_ms": 4000, "forget_ms": 600_000});
    let fleet = Fleet::start(5, timing).await;
    fleet.wait_until_all_alive(JOIN_DEADLINE).await;
    let generations_before = membership_view(&fleet.proxies[0]).await.generations;
    fleet.links.set_loss(0.2);
    let (started, forwarded) = (Instant::now(), fleet.links.forwarded());
    while started.elapsed() < Duration::from_secs(30) {
        for proxy in &fleet.proxies {
            let view = membership_view(proxy).await;
            assert_eq!((view.count(&["gone"]), view.alive), (0, 5), "{:?}", view.states);
        }
        sleep(POLL_INTERVAL * 4).await;
    }
    assert!(fleet.links.forwarded() > forwarded + 500, "the members kept exchanging datagrams");
    assert_eq!(
        membership_view(&fleet.proxies[0]).await.generations,
        generations_before,
        "suspects refuted the suspicion"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn members_survive_a_one_way_cut_and_join_again_after_a_partition_with_bounded_shares() {
    let fleet = Fleet::start(5, short_timing()).await;
    fleet.wait_until_all_alive(JOIN_DEADLINE).await;
    // n1 does not receive the datagrams of n0, but n0 receives those of n1: the other members probe for them.
    fleet.links.cut(0, 1);
    let started = Instant::now();
    while started.elapsed() < 2 * detection_bound(4) {
        for proxy in &fleet.proxies {
            assert_eq!(membership_view(proxy).await.count(&["gone"]), 0);
        }
        sleep(POLL_INTERVAL).await;
    }
    fleet.links.heal();
    let (majority, minority) = ([0, 1, 2], [3, 4]);
    for (a, b) in majority.iter().flat_map(|a| minority.map(|b| (*a, b))) {
        fleet.links.cut(a, b);
        fleet.links.cut(b, a);
    }
    let partition = async {
        fleet.wait_until(&majority, 3 * detection_bound(4), "minority gone", |v| v.alive == 3).await;
        fleet.wait_until(&minority, 3 * detection_bound(4), "majority gone", |v| v.alive == 2).await;
    };
    let share_sum = async || {
        let mut sum = 0.0;
        for proxy in &fleet.proxies {
            sum += membership_view(proxy).await.share;
        }
        sum
    };
    let mut max_sum: f64 = 0.0;
    let observe = async {
        loop {
            max_sum = max_sum.max(share_sum().await);
            sleep(POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = partition => {}
        () = observe => {}
    }
    // The majority takes over the shares of the minority slowly, so the observation continues for a few seconds.
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        max_sum = max_sum.max(share_sum().await);
        sleep(POLL_INTERVAL).await;
    }
    assert!(max_sum > 1.0 && max_sum < 1.2, "largest sum of the shares during the partition: {max_sum}");
    fleet.links.heal();
    fleet.wait_until_all_alive(JOIN_DEADLINE).await;
    assert!((share_sum().await - 1.0).abs() < 1e-6, "sum of the shares afterwards: {}", share_sum().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_datagrams_other_clusters_and_a_flood_are_dropped_without_effect_on_calls() {
    let fleet = Fleet::start(3, short_timing()).await;
    fleet.wait_until_all_alive(JOIN_DEADLINE).await;
    let (other_cluster, _) = fleet.spawn(2, "another tier").await;
    let address = fleet.process_addresses[0];
    let sender = UdpSocket::bind("127.0.0.1:0").await.expect("binds a loopback port");
    let mut rng = fastrand::Rng::with_seed(3);
    for size in [0, 1, 11, 12, 13, 100, 1400, 2000] {
        let datagram: Vec<u8> = (0..size).map(|_| rng.u8(..)).collect();
        sender.send_to(&datagram, address).await.expect("the datagram is sent");
        // A valid magic number alone does not make a datagram valid.
        let datagram = [b"HRM1".as_slice(), &datagram].concat();
        sender.send_to(&datagram, address).await.expect("the datagram is sent");
    }
    let counts_malformed = |v: &MembershipView| {
        v.traffic["garbage"].as_u64().expect("the page counts malformed datagrams") >= 10
    };
    fleet.wait_until(&[0], JOIN_DEADLINE, "malformed datagrams are counted", counts_malformed).await;
    fleet
        .wait_until(&[0, 1], JOIN_DEADLINE, "other cluster is counted", |v| v.traffic["other_cluster"] != 0)
        .await;
    assert_eq!(membership_view(&other_cluster).await.alive, 1, "the other cluster's proxy has no members");
    other_cluster.kill().await;
    fleet.links.set_process_address(2, fleet.process_addresses[2]);
    let memory_before = fleet.proxies[0].peak_memory_mb();
    for _ in 0..200 {
        for _ in 0..200 {
            let _ = sender.try_send_to(&[7; 1200], address);
        }
        assert_eq!(fleet.proxies[0].call("look").await, (200, "a".into()), "calls are served");
    }
    assert!(fleet.proxies[0].peak_memory_mb() < memory_before + 8, "the flood is not buffered");
    fleet.wait_until_all_alive(JOIN_DEADLINE).await;
    assert!(fleet.control.requests.borrow().len() >= 200);
}
