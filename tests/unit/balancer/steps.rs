//! What an event costs grows with the subset and with who is cold or out of service, not with the list: counted in records
//! of backends that are looked at.

use super::*;

const COLD: u32 = 20;
const EJECTED: u32 = 4;
const ROUNDS: usize = 60;

/// An instance of a fleet with as many instances as backends.
struct Fleet {
    balancer: Balancer,
    now: f64,
    next: RequestId,
    size: u32,
    actions: Vec<Action>,
}

fn settings(instances: u32, cross_zone: f64) -> Settings {
    Settings {
        instance_count: instances,
        tick_ms: 5.0,
        classes: vec![Class {
            latency_objective_ms: 300.0,
            priority_weight: 1.0,
            idempotency: Idempotency::Idempotent,
            in_order: false,
        }],
        caps: Caps { max_attempts: 3, ..Caps::default() },
        rules: Rules {
            initial_capacity: 0.1,
            warm_up_ms: 1e9,
            overload_multiple: 3.0,
            idle_close_within_ms: 1.0,
            ..Rules::default()
        },
        goal: Goal { cross_zone_price: cross_zone, ..Goal::default() },
        list_guard: ListGuard { panic_threshold: 0.1, confirm_after_ms: 1000.0 },
        ..Settings::default()
    }
}

impl Fleet {
    /// So many backends, of which as many as in any other fleet are cold or out of service.
    fn new(size: u32, cross_zone: f64) -> Self {
        let balancer = Balancer::new(settings(size, cross_zone), 1).expect("valid settings");
        let mut fleet = Fleet { balancer, now: 1e6, next: 1, size, actions: Vec::new() };
        let entries = (0..size).map(|n| fleet.entry(n)).collect();
        fleet.steps(Event::List { kind: ListKind::Full, entries });
        for id in fleet.balancer.subset.members.clone().into_iter().take(EJECTED as usize) {
            fleet.balancer.eject(fleet.now, id);
        }
        fleet.tick();
        assert_eq!(fleet.balancer.endpoint_set.members.len(), size as usize);
        fleet
    }

    fn entry(&self, n: u32) -> Entry {
        // Every part of the list has its cold ones.
        let started_at = if n.is_multiple_of(self.size / COLD) { self.now } else { 0.0 };
        let (backend, zone) = (n * 1000, (n % 3) as u16);
        Entry { backend, zone, started_at_ms: started_at, weight: 1.0, ..Entry::default() }
    }

    /// How many records one event looks at.
    fn steps(&mut self, event: Event) -> usize {
        self.actions.clear();
        self.balancer.endpoints.take_looked_at();
        self.balancer.handle(self.now, event, &mut self.actions);
        self.balancer.endpoints.take_looked_at()
    }

    fn tick(&mut self) -> usize {
        self.now += 50.0;
        self.steps(Event::TimerFired { token: Timer::Tick.token() })
    }

    /// One entry that drains, and one that takes work again.
    fn delta(&mut self, n: u32) -> usize {
        let draining = Entry { phase: Phase::Draining, ..self.entry(n) };
        let entries = vec![draining, Entry { zone: 1, ..self.entry(n + 1) }];
        let steps = self.steps(Event::List { kind: ListKind::Delta, entries });
        let entries = vec![self.entry(n), self.entry(n + 1)];
        steps.max(self.steps(Event::List { kind: ListKind::Delta, entries }))
    }

    fn call(&mut self, outcome: Outcome) -> usize {
        self.now += 2.0;
        let (request, deadline) = (self.next, self.now + 1000.0);
        self.next += 1;
        let arrival =
            Arrival { request, key: 0, class: 0, tenant: 0, deadline_ms: deadline, body_pending: false };
        let steps = self.steps(Event::Request(arrival));
        let Some(&Action::Send { backend, .. }) = self.actions.first() else { return steps };
        let closed = outcome == Outcome::Ok;
        let over = Resolved {
            request,
            attempt: 0,
            backend,
            outcome,
            latency_ms: 1.0,
            request_ended: closed,
            body_consumed: !closed,
        };
        steps + self.steps(Event::Resolved(over))
    }

    /// The most that any event of a kind looks at.
    fn most(&mut self) -> [(&'static str, usize); 5] {
        let rounds = 0..ROUNDS;
        let tick = rounds.clone().map(|_| self.tick()).max();
        let delta = rounds.clone().map(|n| self.delta(n as u32)).max();
        let call = rounds.clone().map(|_| self.call(Outcome::Ok)).max();
        let error = rounds.clone().map(|_| self.call(Outcome::Error)).max();
        let peers = |n| Event::Peers { alive: self.size, known: self.size, rank: Some(n as u32) };
        let peers: Vec<Event> = rounds.map(peers).collect();
        let peers = peers.into_iter().map(|event| self.steps(event)).max();
        let kinds = ["a tick", "a change of the list", "a call", "a call that fails", "peers"];
        std::array::from_fn(|i| (kinds[i], [tick, delta, call, error, peers][i].expect("rounds")))
    }
}

#[test]
fn events_look_at_no_more_backends_where_the_list_is_ten_times_longer() {
    // Two draws and their trials: by chance a call looks at some more of the subset in one fleet than in another.
    const CHANCE: usize = 60;
    for cross_zone in [0.0, 0.1] {
        let (short, long) = (Fleet::new(400, cross_zone).most(), Fleet::new(4000, cross_zone).most());
        for ((kind, few), (_, many)) in short.into_iter().zip(long) {
            assert!(many <= few + CHANCE, "{kind}: {few} records of 400 backends, {many} of 4000");
            assert!(many < 400, "{kind}: {many} records");
        }
    }
}

#[test]
fn only_degraded_endpoints_are_stored_one_by_one() {
    for size in [400, 4000] {
        let fleet = Fleet::new(size, 0.0);
        let degraded = fleet.balancer.endpoint_set.degraded.len();
        assert!(degraded <= (COLD + EJECTED) as usize, "{degraded} of {size}");
    }
}

/// Guards the count itself: an event that goes through the full list is counted so.
#[test]
fn a_full_list_looks_at_every_backend() {
    let mut fleet = Fleet::new(400, 0.0);
    let entries = (0..400).map(|n| fleet.entry(n)).collect();
    assert!(fleet.steps(Event::List { kind: ListKind::Full, entries }) >= 400);
}
