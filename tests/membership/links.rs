//! Links that lose, are cut, or carry what is not meant.

use super::{Fleet, JOINED, LOOK, View, detected_within, quick, view};
use serde_json::json;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fifth_of_all_datagrams_lost_makes_nobody_gone() {
    let timing = json!({"probe_ms": 500, "rtt_ms": 150, "suspicion_ms": 4000, "forget_ms": 600_000});
    let fleet = Fleet::start(5, timing).await;
    fleet.until_all_alive(JOINED).await;
    let before = view(&fleet.proxies[0]).await.generations;
    fleet.links.lose(0.2);
    let (begun, passed) = (Instant::now(), fleet.links.passed());
    while begun.elapsed() < Duration::from_secs(30) {
        for proxy in &fleet.proxies {
            let view = view(proxy).await;
            assert_eq!((view.count(&["gone"]), view.alive), (0, 5), "{:?}", view.standings);
        }
        sleep(LOOK * 4).await;
    }
    assert!(fleet.links.passed() > passed + 500, "they did go on talking");
    assert_eq!(view(&fleet.proxies[0]).await.generations, before, "who was suspected refuted it");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_one_way_cut_is_got_round_and_a_split_heals_with_the_shares_in_bound() {
    let fleet = Fleet::start(5, quick()).await;
    fleet.until_all_alive(JOINED).await;
    // n0 hears n1, n1 does not hear n0: the others probe for them.
    fleet.links.cut(0, 1);
    let begun = Instant::now();
    while begun.elapsed() < 2 * detected_within(4) {
        for proxy in &fleet.proxies {
            assert_eq!(view(proxy).await.count(&["gone"]), 0);
        }
        sleep(LOOK).await;
    }
    fleet.links.heal();
    let (many, few) = ([0, 1, 2], [3, 4]);
    for (a, b) in many.iter().flat_map(|a| few.map(|b| (*a, b))) {
        fleet.links.cut(a, b);
        fleet.links.cut(b, a);
    }
    let split = async {
        fleet.until(&many, 3 * detected_within(4), "the few gone", |v| v.alive == 3).await;
        fleet.until(&few, 3 * detected_within(4), "the many gone", |v| v.alive == 2).await;
    };
    let sum = async || {
        let mut sum = 0.0;
        for proxy in &fleet.proxies {
            sum += view(proxy).await.share;
        }
        sum
    };
    let mut most: f64 = 0.0;
    let watch = async {
        loop {
            most = most.max(sum().await);
            sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = split => {}
        () = watch => {}
    }
    // The many go on for a while: they take over slowly.
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        most = most.max(sum().await);
        sleep(LOOK).await;
    }
    assert!(most > 1.0 && most < 1.2, "the sum of the shares after a few seconds of a split: {most}");
    fleet.links.heal();
    fleet.until_all_alive(JOINED).await;
    assert!((sum().await - 1.0).abs() < 1e-6, "at once after it: {}", sum().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn garbage_strangers_and_a_flood_are_dropped_and_nothing_else_suffers() {
    let fleet = Fleet::start(3, quick()).await;
    fleet.until_all_alive(JOINED).await;
    let (stranger, _) = fleet.spawn(2, "another tier").await;
    let place = fleet.places[0];
    let foe = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let mut chance = fastrand::Rng::with_seed(3);
    for size in [0, 1, 11, 12, 13, 100, 1400, 2000] {
        let datagram: Vec<u8> = (0..size).map(|_| chance.u8(..)).collect();
        foe.send_to(&datagram, place).await.expect("sent");
        // The right magic alone makes it no better.
        let datagram = [b"HRM1".as_slice(), &datagram].concat();
        foe.send_to(&datagram, place).await.expect("sent");
    }
    let dropped = |key: &'static str| move |v: &View| v.traffic[key].as_u64().expect("a number") >= 10;
    fleet.until(&[0], JOINED, "garbage is counted", dropped("garbage")).await;
    fleet.until(&[0, 1], JOINED, "another cluster's too", |v| v.traffic["other_cluster"] != 0).await;
    assert_eq!(view(&stranger).await.alive, 1, "it is nobody's member");
    stranger.kill().await;
    fleet.links.place(2, fleet.places[2]);
    let before = fleet.proxies[0].peak_memory_mb();
    for _ in 0..200 {
        for _ in 0..200 {
            let _ = foe.try_send_to(&[7; 1200], place);
        }
        assert_eq!(fleet.proxies[0].call("look").await, (200, "a".into()), "calls go on");
    }
    assert!(fleet.proxies[0].peak_memory_mb() < before + 8, "a flood is not kept");
    fleet.until_all_alive(JOINED).await;
    assert!(fleet.orders.requests.borrow().len() >= 200);
}
