//! Unit tests of `src/bin/proxy/engine/state.rs`, which names this file.

use super::*;
use load_balancer::interface::{Class, Entry, Phase, Settings};
use std::cell::Cell;

/// Returns a state without backends or requests.
fn state() -> State {
    let settings = Settings {
        instance_count: 1,
        tick_ms: 5.0,
        classes: vec![Class { latency_objective_ms: 1.0, ..Class::default() }],
        ..Settings::default()
    };
    State {
        balancer: Balancer::new(settings, 1).expect("valid settings"),
        id_by_host: HashMap::new(),
        host_by_id: HashMap::new(),
        removal_candidates: HashSet::new(),
        targets: HashMap::new(),
        requests: HashMap::new(),
        next_request_id: 1,
        events: VecDeque::new(),
        actions: Vec::new(),
    }
}

impl State {
    /// Applies a list as the engine does.
    fn apply_list(&mut self, kind: ListKind, hosts: &[(&str, Phase)]) {
        let mut entries = Vec::new();
        for (host, phase) in hosts {
            let backend = self.id_of(host);
            self.removal_candidates.insert(backend);
            if *phase == Phase::Ready {
                let target = Target {
                    address: ([127, 0, 0, 1], 1).into(),
                    started_at_ms: 0.0,
                    drained_at: Cell::default(),
                };
                self.targets.insert(backend, Rc::new(target));
            }
            entries.push(Entry { backend, phase: *phase, weight: 1.0, ..Entry::default() });
        }
        let mut actions = Vec::new();
        self.balancer.handle(0.0, Event::List { kind, entries }, &mut actions);
        for action in actions {
            if let Action::Withdraw { backend } = action {
                self.removal_candidates.insert(backend);
                self.targets[&backend].drained_at.set(Some(Instant::now()));
            }
        }
        self.remove_unknown(kind);
    }

    /// Returns the names of the known backends in order.
    fn known_hosts(&self) -> Vec<&str> {
        assert_eq!(self.id_by_host.len(), self.host_by_id.len());
        assert!(
            self.id_by_host.iter().all(|(name, id)| self.host_by_id[id] == *name),
            "the two maps must be inverse to each other"
        );
        let mut hosts: Vec<&str> = self.id_by_host.keys().map(String::as_str).collect();
        hosts.sort_unstable();
        hosts
    }
}

#[test]
fn a_delta_removes_only_backends_that_are_gone() {
    let mut state = state();
    state.apply_list(ListKind::Full, &[("a", Phase::Ready), ("b", Phase::Ready), ("c", Phase::Draining)]);
    assert_eq!(state.known_hosts(), ["a", "b", "c"]);
    state.apply_list(ListKind::Delta, &[("a", Phase::Gone), ("d", Phase::Ready)]);
    assert_eq!(state.known_hosts(), ["b", "c", "d"]);
    state.apply_list(ListKind::Delta, &[("b", Phase::Draining), ("never", Phase::Gone)]);
    assert_eq!(state.known_hosts(), ["b", "c", "d"]);
    state.apply_list(ListKind::Delta, &[("b", Phase::Gone), ("c", Phase::Gone)]);
    assert_eq!(state.known_hosts(), ["d"]);
    assert_eq!(state.targets.len(), 1);
}

#[test]
fn a_full_list_removes_the_backends_that_it_lacks() {
    let mut state = state();
    state.apply_list(ListKind::Full, &[("a", Phase::Ready), ("b", Phase::Ready), ("c", Phase::Draining)]);
    state.apply_list(ListKind::Full, &[("b", Phase::Ready)]);
    assert_eq!(state.known_hosts(), ["b"]);
    assert_eq!(state.targets.len(), 1);
}

/// A delta must cost time in proportion to its changes, so that only backends that may be removed are candidates.
#[test]
fn serving_backends_are_not_removal_candidates() {
    let mut state = state();
    let hosts: Vec<String> = (0..500).map(|n| format!("host-{n}")).collect();
    let all: Vec<(&str, Phase)> = hosts.iter().map(|host| (host.as_str(), Phase::Ready)).collect();
    state.apply_list(ListKind::Full, &all);
    assert!(
        state.removal_candidates.is_empty(),
        "{} of 500 backends are candidates",
        state.removal_candidates.len()
    );
    state.apply_list(ListKind::Delta, &[("host-1", Phase::Draining), ("host-2", Phase::Ready)]);
    assert_eq!(state.removal_candidates.len(), 1);
    state.apply_list(ListKind::Delta, &[("host-1", Phase::Ready)]);
    assert!(state.removal_candidates.is_empty());
}

#[test]
fn two_hosts_never_share_an_id() {
    let mut state = state();
    let taken = backend_id("a");
    state.host_by_id.insert(taken, "another".into());
    state.id_by_host.insert("another".into(), taken);
    assert_eq!(state.id_of("a"), taken.wrapping_add(1));
    assert_eq!(state.id_of("a"), taken.wrapping_add(1));
    assert_eq!(state.id_of("another"), taken);
}
