//! Guards against events whose cost grows with the length of the endpoint list. The cost, counted in accesses
//! to endpoint records, may grow only with the subset and with the endpoints that are cold or ejected.

use super::*;

const COLD: u32 = 20;
const EJECTED: u32 = 4;
const ROUNDS: usize = 60;

/// A balancer instance in a fleet with as many instances as backends.
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
    /// Creates a fleet with `size` backends, of which the same number is cold or ejected at every size.
    fn new(size: u32, cross_zone: f64) -> Self {
        let balancer = Balancer::new(settings(size, cross_zone), 1).expect("valid settings");
        let mut fleet = Fleet { balancer, now: 1e6, next: 1, size, actions: Vec::new() };
        let entries = (0..size).map(|n| fleet.entry(n)).collect();
        fleet.cost(Event::List { kind: ListKind::Full, entries });
        for id in fleet.balancer.subset.members.clone().into_iter().take(EJECTED as usize) {
            fleet.balancer.eject(fleet.now, id);
        }
        fleet.tick();
        assert_eq!(fleet.balancer.endpoint_set.members.len(), size as usize);
        fleet
    }

    fn entry(&self, n: u32) -> Entry {
        // The cold backends are spread evenly over the list.
        let started_at = if n.is_multiple_of(self.size / COLD) { self.now } else { 0.0 };
        let (backend, zone) = (n * 1000, (n % 3) as u16);
        Entry { backend, zone, started_at_ms: started_at, weight: 1.0, ..Entry::default() }
    }

    /// Handles an event and returns the number of its accesses to endpoint records.
    fn cost(&mut self, event: Event) -> usize {
        self.actions.clear();
        self.balancer.endpoints.take_access_count();
        self.balancer.handle(self.now, event, &mut self.actions);
        self.balancer.endpoints.take_access_count()
    }

    fn tick(&mut self) -> usize {
        self.now += 50.0;
        self.cost(Event::TimerFired { token: Timer::Tick.token() })
    }

    /// Applies two deltas (one backend drains while another changes its zone, then both return) and returns
    /// the higher cost.
    fn delta(&mut self, n: u32) -> usize {
        let draining = Entry { phase: Phase::Draining, ..self.entry(n) };
        let entries = vec![draining, Entry { zone: 1, ..self.entry(n + 1) }];
        let cost = self.cost(Event::List { kind: ListKind::Delta, entries });
        let entries = vec![self.entry(n), self.entry(n + 1)];
        cost.max(self.cost(Event::List { kind: ListKind::Delta, entries }))
    }

    fn call(&mut self, outcome: Outcome) -> usize {
        self.now += 2.0;
        let (request, deadline) = (self.next, self.now + 1000.0);
        self.next += 1;
        let arrival =
            Arrival { request, key: 0, class: 0, tenant: 0, deadline_ms: deadline, body_pending: false };
        let cost = self.cost(Event::Request(arrival));
        let Some(&Action::Send { backend, .. }) = self.actions.first() else { return cost };
        let succeeded = outcome == Outcome::Ok;
        let resolved = Resolved {
            request,
            attempt: 0,
            backend,
            outcome,
            latency_ms: 1.0,
            request_ended: succeeded,
            body_consumed: !succeeded,
        };
        cost + self.cost(Event::Resolved(resolved))
    }

    /// Returns the highest cost of each kind of event.
    fn max_costs(&mut self) -> [(&'static str, usize); 5] {
        let rounds = 0..ROUNDS;
        let tick = rounds.clone().map(|_| self.tick()).max();
        let delta = rounds.clone().map(|n| self.delta(n as u32)).max();
        let call = rounds.clone().map(|_| self.call(Outcome::Ok)).max();
        let error = rounds.clone().map(|_| self.call(Outcome::Error)).max();
        let peers = |n| Event::Peers { alive: self.size, known: self.size, rank: Some(n as u32) };
        let peers: Vec<Event> = rounds.map(peers).collect();
        let peers = peers.into_iter().map(|event| self.cost(event)).max();
        let kinds = ["tick", "list delta", "successful call", "failed call", "peers report"];
        std::array::from_fn(|i| (kinds[i], [tick, delta, call, error, peers][i].expect("rounds")))
    }
}

#[test]
fn event_cost_does_not_grow_with_a_ten_times_longer_list() {
    // The random draws of a selection access some more records of the subset in one fleet than in another.
    const RANDOM_DRAW_TOLERANCE: usize = 60;
    for cross_zone in [0.0, 0.1] {
        let (short, long) =
            (Fleet::new(400, cross_zone).max_costs(), Fleet::new(4000, cross_zone).max_costs());
        for ((kind, few), (_, many)) in short.into_iter().zip(long) {
            assert!(
                many <= few + RANDOM_DRAW_TOLERANCE,
                "{kind}: {few} records of 400 backends, {many} of 4000"
            );
            assert!(many < 400, "{kind}: {many} records");
        }
    }
}

#[test]
fn only_degraded_endpoints_are_stored_individually() {
    for size in [400, 4000] {
        let fleet = Fleet::new(size, 0.0);
        let degraded = fleet.balancer.endpoint_set.degraded.len();
        assert!(degraded <= (COLD + EJECTED) as usize, "{degraded} of {size}");
    }
}

/// Guards the count itself: an event that iterates over the full list must be counted as such.
#[test]
fn full_list_accesses_every_backend() {
    let mut fleet = Fleet::new(400, 0.0);
    let entries = (0..400).map(|n| fleet.entry(n)).collect();
    assert!(fleet.cost(Event::List { kind: ListKind::Full, entries }) >= 400);
}
