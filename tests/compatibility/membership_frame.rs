//! The datagrams of membership: `HRM1`, two checksums, and a body that postcard encodes field by field, by place.
//!
//! In a roll-out old and new proxies are one cluster. postcard writes no field names, so a field of the identity that
//! moves, or another magic or default cluster, splits the cluster or garbles its members' names without any error.

use crate::proxy_golden::{golden_bytes, hex, same};
use crate::rig::{ProxyProcess, TestDiscovery, settings};
use crate::waits::within_deadline;
use load_balancer::client::membership::swim::{DropReason, MemberId, MemberState, Swim, Timing};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

const GENERATION: u64 = 1_764_633_600_000_000;

/// An identity in the fixed addresses of the golden files.
fn id(port: u16, name: &str, zone: &str) -> MemberId {
    let generation = GENERATION + u64::from(port);
    MemberId {
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        generation,
        name: name.into(),
        zone: zone.into(),
    }
}

fn varint(mut value: u64) -> Vec<u8> {
    let mut out = Vec::new();
    while value >= 0x80 {
        out.push(value as u8 | 0x80);
        value >>= 7;
    }
    out.push(value as u8);
    out
}

fn text(text: &str) -> Vec<u8> {
    [varint(text.len() as u64), text.into()].concat()
}

/// An identity as bytes: IPv4 is 0, then four octets, the port, the generation, the name and the zone.
fn identity(addr: SocketAddr, generation: u64, name: &str, zone: &str) -> Vec<u8> {
    let SocketAddr::V4(v4) = addr else { panic!("tests use IPv4") };
    let octets = v4.ip().octets().to_vec();
    [vec![0], octets, varint(addr.port().into()), varint(generation), text(name), text(zone)].concat()
}

/// A frame as bytes: the magic, the checksum of the cluster's name, that of the body, the body.
fn frame(cluster: &str, body: &[u8]) -> Vec<u8> {
    let crc = |bytes: &[u8]| crc32fast::hash(bytes).to_le_bytes();
    [&b"HRM1"[..], &crc(cluster.as_bytes()), &crc(body), body].concat()
}

/// The datagram by which a member asks to be taken in: who it is, its incarnation, whom it asks, and message 6.
fn announce(cluster: &str, from: &[u8], to: SocketAddr) -> Vec<u8> {
    frame(cluster, &[from, &[0], &identity(to, 0, "", ""), &[6]].concat())
}

/// All datagrams that wait to be sent.
fn drain(swim: &mut Swim) -> Vec<Vec<u8>> {
    std::iter::from_fn(|| swim.next_datagram()).map(|(_, datagram)| datagram).collect()
}

fn swim(id: MemberId, cluster: &str) -> Swim {
    Swim::new(id, &Timing::default(), cluster, 7)
}

#[test]
fn the_identity_has_these_bytes_both_ways() {
    let member = id(40_001, "n1", "zone-a");
    let bytes = postcard::to_stdvec(&member).expect("encoded");
    same("membership_identity.hex", &hex(&bytes));
    assert_eq!(bytes, identity(member.addr, member.generation, "n1", "zone-a"));
    assert_eq!(postcard::from_bytes::<MemberId>(&golden_bytes("membership_identity.hex")), Ok(member));
    let v6 = MemberId { addr: "[::1]:40001".parse().expect("an address"), ..id(40_001, "n1", "zone-a") };
    same("membership_identity_v6.hex", &hex(&postcard::to_stdvec(&v6).expect("encoded")));
    assert_eq!(postcard::from_bytes::<MemberId>(&golden_bytes("membership_identity_v6.hex")), Ok(v6));
}

/// An exchange of two members, every datagram of it as recorded, in the order in which they are sent: announce, feed,
/// a probe and its answer. Each is taken in from its recorded bytes.
#[test]
fn the_datagrams_have_these_bytes_both_ways() {
    let (mut a, mut b) =
        (swim(id(40_001, "n1", "zone-a"), "tier-1"), swim(id(40_002, "n2", "zone-b"), "tier-1"));
    a.announce(b.id().addr);
    let exchange = |name: &str, from: &mut Swim, to: &mut Swim| {
        let sent = drain(from);
        same(name, &sent.iter().map(|datagram| hex(datagram) + "\n").collect::<String>());
        for datagram in &sent {
            assert_eq!(to.receive(datagram).as_ref(), Ok(from.id()), "{name}");
        }
        sent
    };
    let sent = exchange("membership_announce.hex", &mut a, &mut b);
    let from = identity(a.id().addr, a.id().generation, "n1", "zone-a");
    assert_eq!(sent, [announce("tier-1", &from, b.id().addr)]);
    exchange("membership_feed.hex", &mut b, &mut a);
    let seen = |swim: &Swim| swim.members().map(|m| (m.id, m.state)).collect::<Vec<_>>();
    assert_eq!(seen(&a), [(b.id().clone(), MemberState::Alive)]);
    assert_eq!(seen(&b), [(a.id().clone(), MemberState::Alive)]);
    drain(&mut a);
    // The timers that are set now, and not those that these set in turn.
    let timers: Vec<_> = std::iter::from_fn(|| a.next_timer()).collect();
    timers.into_iter().for_each(|(_, timer)| a.handle_timer(timer));
    exchange("membership_probe.hex", &mut a, &mut b);
    exchange("membership_answer.hex", &mut b, &mut a);
    b.leave();
    exchange("membership_leave.hex", &mut b, &mut a);
    assert_eq!(seen(&a), [(b.id().clone(), MemberState::Gone)]);
}

#[test]
fn a_recorded_datagram_is_taken_and_that_of_another_cluster_or_a_spoilt_one_is_not() {
    let recorded = golden_bytes("membership_announce.hex");
    let own = || id(40_002, "n2", "zone-b");
    assert_eq!(swim(own(), "tier-1").receive(&recorded), Ok(id(40_001, "n1", "zone-a")));
    assert_eq!(swim(own(), "tier-2").receive(&recorded), Err(DropReason::OtherCluster));
    for at in [0, 3, 8, 12, recorded.len() - 1] {
        let mut spoilt = recorded.clone();
        spoilt[at] ^= 1;
        assert_eq!(swim(own(), "tier-1").receive(&spoilt), Err(DropReason::Malformed), "byte {at}");
    }
}

async fn proxy(membership: Value) -> (ProxyProcess, TestDiscovery) {
    let discovery = TestDiscovery::start(Vec::new()).await;
    let mut config = discovery.proxy_config(settings());
    config["ops"] = "127.0.0.1:0".into();
    config["membership"] = membership;
    (ProxyProcess::start_with_command(&config, "exec \"$0\"").await, discovery)
}

async fn members(proxy: &ProxyProcess, is: impl Fn(&Value) -> bool) -> Value {
    within_deadline(async {
        loop {
            let page = proxy.ops_call("members").await;
            let page = serde_json::from_str(page.lines().next().expect("a page")).expect("JSON");
            if is(&page) {
                return page;
            }
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await
}

/// The program, with a socket of the test in the place of an old member. No cluster is configured: it is `heathroad`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_program_and_a_member_of_the_recorded_build_find_each_other_in_the_default_cluster() {
    let old = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let at = old.local_addr().expect("bound");
    let (proxy, _discovery) =
        proxy(json!({"bind": "127.0.0.1:0", "name": "n0", "seeds": [at.to_string()]})).await;
    let mut datagram = [0; 2048];
    let (n, from) = within_deadline(old.recv_from(&mut datagram)).await.expect("a datagram");
    let page = members(&proxy, |_| true).await;
    assert_eq!(page["addr"], from.to_string());
    let generation = page["generation"].as_u64().expect("a number");
    let wanted = announce("heathroad", &identity(from, generation, "n0", "a"), at);
    assert_eq!(hex(&datagram[..n]), hex(&wanted), "what the program sends first");
    let own = identity(at, GENERATION, "old", "zone-b");
    let [mut spoilt, other] = [announce("heathroad", &own, from), announce("proxy", &own, from)];
    *spoilt.last_mut().expect("bytes") ^= 1;
    for bad in [&spoilt, &other] {
        old.send_to(bad, from).await.expect("sent");
    }
    let page = members(&proxy, |page| page["traffic"]["other_cluster"] == 1).await;
    assert_eq!((&page["traffic"]["garbage"], &page["alive"]), (&json!(1), &json!(1)));
    old.send_to(&announce("heathroad", &own, from), from).await.expect("sent");
    let page = members(&proxy, |page| page["alive"] == 2).await;
    let member = &page["members"][0];
    let told = ["name", "zone", "addr", "generation"].map(|key| member[key].clone());
    assert_eq!(json!(told), json!(["old", "zone-b", at.to_string(), GENERATION]));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_program_drops_what_comes_from_another_cluster_than_the_configured_one() {
    let old = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let (proxy, _discovery) = proxy(json!({"bind": "127.0.0.1:0", "name": "n0", "cluster": "tier-1"})).await;
    let page = members(&proxy, |_| true).await;
    let to: SocketAddr = page["addr"].as_str().expect("text").parse().expect("an address");
    let own = identity(old.local_addr().expect("bound"), GENERATION, "old", "zone-b");
    old.send_to(&announce("heathroad", &own, to), to).await.expect("sent");
    let page = members(&proxy, |page| page["traffic"]["other_cluster"] == 1).await;
    assert_eq!((&page["known"], &page["members"]), (&json!(1), &json!([])));
    old.send_to(&announce("tier-1", &own, to), to).await.expect("sent");
    members(&proxy, |page| page["alive"] == 2).await;
}
