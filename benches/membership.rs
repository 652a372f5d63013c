//! Membership's figures: `cargo bench --bench membership`. The protocol's members run in memory on a clock of their
//! own, so that the figures are the same on every machine. The network loses datagrams by a seeded chance and delays
//! each by 1 ms; nothing else is modelled.

#[allow(dead_code)]
#[path = "../src/client/membership/swim/mod.rs"]
mod swim;

use foca::Timer;
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use swim::{MemberId, MemberState, Swim, Timing};

const LATENCY: u64 = 1000;
const SECOND: u64 = 1_000_000;

enum Due {
    Datagram(Vec<u8>),
    Timer(Timer<MemberId>),
}

/// Members, what is on its way to them, and the time in microseconds.
struct Net {
    members: Vec<Option<Swim>>,
    due: BinaryHeap<Reverse<(u64, u64, usize)>>,
    waiting: std::collections::HashMap<u64, Due>,
    now: u64,
    next: u64,
    loss: f64,
    chance: fastrand::Rng,
    bytes: u64,
    datagrams: u64,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7946))
}

fn number(addr: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = addr else { unreachable!("only such are made") };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

impl Net {
    /// All have joined and know each other.
    fn joined(size: usize, timing: &Timing, seed: u64) -> Net {
        let id =
            |n: usize| MemberId { addr: address(n), generation: 1, name: format!("n{n}"), zone: "a".into() };
        let members =
            (0..size).map(|n| Some(Swim::new(id(n), timing, "bench", seed * 1000 + n as u64))).collect();
        let (due, waiting, chance) = (BinaryHeap::new(), Default::default(), fastrand::Rng::with_seed(seed));
        let mut net =
            Net { members, due, waiting, now: 0, next: 0, loss: 0.0, chance, bytes: 0, datagrams: 0 };
        while !net.all_know_all() {
            for n in 1..size {
                if net.members[n].as_ref().is_some_and(|m| m.count().alive < size as u32) {
                    net.act(n, |m| m.announce(address(0)));
                    net.run(net.now + 5 * SECOND / size as u64, |_| false);
                }
            }
            net.run(net.now + 2 * SECOND, |_| false);
            assert!(net.now < 3600 * SECOND, "they join");
        }
        net.run(net.now + 30 * SECOND, |_| false);
        (net.bytes, net.datagrams) = (0, 0);
        net
    }

    fn all_know_all(&self) -> bool {
        let size = self.members.iter().flatten().count() as u32;
        self.members.iter().flatten().all(|m| m.count().alive == size)
    }

    fn act(&mut self, n: usize, what: impl FnOnce(&mut Swim)) {
        let Some(member) = &mut self.members[n] else { return };
        what(member);
        while let Some((to, datagram)) = member.next_datagram() {
            self.bytes += datagram.len() as u64;
            self.datagrams += 1;
            if self.chance.f64() >= self.loss {
                self.due.push(Reverse((self.now + LATENCY, self.next, number(to))));
                self.waiting.insert(self.next, Due::Datagram(datagram));
                self.next += 1;
            }
        }
        while let Some((after, timer)) = member.next_timer() {
            self.due.push(Reverse((self.now + after.as_micros() as u64, self.next, n)));
            self.waiting.insert(self.next, Due::Timer(timer));
            self.next += 1;
        }
        while member.next_notification().is_some() {}
    }

    /// Runs until a time, or until `done` says so; it is asked after every event with the member that had it.
    fn run(&mut self, until: u64, mut done: impl FnMut(&Swim) -> bool) {
        while let Some(&Reverse((at, key, n))) = self.due.peek().filter(|Reverse((at, ..))| *at <= until) {
            self.due.pop();
            self.now = at;
            let due = self.waiting.remove(&key).expect("each is kept once");
            self.act(n, |m| match due {
                Due::Datagram(datagram) => drop(m.receive(&datagram)),
                Due::Timer(timer) => m.handle_timer(timer),
            });
            if self.members[n].as_ref().is_some_and(&mut done) {
                return;
            }
        }
        self.now = self.now.max(until);
    }
}

fn standing(member: &Swim, of: usize) -> Option<MemberState> {
    member.members().find(|m| m.id.addr == address(of)).map(|m| m.state)
}

/// Time from a death to each other's knowing of it, over a number of deaths.
fn detection(size: usize, deaths: usize, timing: &Timing) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("a histogram");
    for seed in 0..deaths as u64 {
        let mut net = Net::joined(size, timing, seed + 1);
        let (dead, died) = (size - 1, net.now);
        net.members[dead] = None;
        let mut unaware = size - 1;
        let mut aware = vec![false; size];
        while unaware > 0 {
            let mut told = None;
            net.run(died + 600 * SECOND, |m| {
                let n = number(m.id().addr);
                let news = !aware[n] && standing(m, dead) == Some(MemberState::Gone);
                told = news.then_some(n);
                news
            });
            let n = told.expect("a death is noticed");
            aware[n] = true;
            unaware -= 1;
            times.record((net.now - died) / 1000).expect("in range");
        }
    }
    times
}

/// Live members declared gone, a member-hour: how many views of a live member turned to gone.
fn false_deaths(size: usize, loss: f64, hours: f64, timing: &Timing) -> f64 {
    let mut net = Net::joined(size, timing, 11);
    net.loss = loss;
    let (end, mut deaths) = (net.now + (hours * 3600.0) as u64 * SECOND, 0);
    let mut generations: Vec<u64> = net.members.iter().flatten().map(|m| m.id().generation).collect();
    while net.now < end {
        // A live member that is declared gone hears of it and returns as the next generation.
        net.run(end, |m| {
            std::mem::replace(&mut generations[number(m.id().addr)], m.id().generation) != m.id().generation
        });
        deaths += usize::from(net.now < end);
    }
    deaths as f64 / (size as f64 * hours)
}

fn main() {
    let timing = Timing::default();
    for (size, deaths) in [(5, 40), (50, 4)] {
        let times = detection(size, deaths, &timing);
        let ratio = |q| times.value_at_quantile(q) as f64 / timing.suspicion_ms as f64;
        println!(
            "death of one of {size}, {deaths} times: known to another after p50 {} ms, p99 {} ms; over the suspicion time of {} ms: {:.2} and {:.2}",
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            timing.suspicion_ms,
            ratio(0.5),
            ratio(0.99)
        );
    }
    for loss in [0.1, 0.2] {
        let rate = false_deaths(50, loss, 1.0, &timing);
        println!(
            "false deaths of 50 members under {:.0} % loss, 1 hour: {rate:.4} a member-hour",
            loss * 100.0
        );
    }
    let mut first = None;
    for size in [5, 50, 300] {
        let mut net = Net::joined(size, &timing, 5);
        let begun = net.now;
        net.run(begun + 60 * SECOND, |_| false);
        let per = |what: u64| what as f64 / 60.0 / size as f64;
        let bytes = per(net.bytes);
        println!(
            "{size} members at rest: {bytes:.0} bytes and {:.1} datagrams a second sent by each; {:.1} times those of 5",
            per(net.datagrams),
            bytes / *first.get_or_insert(bytes)
        );
    }
}
