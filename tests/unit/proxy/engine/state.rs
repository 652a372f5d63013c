//! Which backends the engine lets go of, and when.

use super::*;
use load_balancer::interface::{Class, Entry, Phase, Settings};
use std::cell::Cell;

fn state() -> State {
    let settings = Settings {
        instance_count: 1,
        tick_ms: 5.0,
        classes: vec![Class { latency_objective_ms: 1.0, ..Class::default() }],
        ..Settings::default()
    };
    State {
        balancer: Balancer::new(settings, 1).expect("sound settings"),
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
    /// What the engine does with a list.
    fn list(&mut self, kind: ListKind, hosts: &[(&str, Phase)]) {
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

    fn held(&self) -> Vec<&str> {
        assert_eq!(self.id_by_host.len(), self.host_by_id.len());
        assert!(self.id_by_host.iter().all(|(name, id)| self.host_by_id[id] == *name), "both ways alike");
        let mut held: Vec<&str> = self.id_by_host.keys().map(String::as_str).collect();
        held.sort_unstable();
        held
    }
}

#[test]
fn those_that_are_gone_are_let_go_of_and_no_others() {
    let mut state = state();
    state.list(ListKind::Full, &[("a", Phase::Ready), ("b", Phase::Ready), ("c", Phase::Draining)]);
    assert_eq!(state.held(), ["a", "b", "c"]);
    state.list(ListKind::Delta, &[("a", Phase::Gone), ("d", Phase::Ready)]);
    assert_eq!(state.held(), ["b", "c", "d"]);
    state.list(ListKind::Delta, &[("b", Phase::Draining), ("never", Phase::Gone)]);
    assert_eq!(state.held(), ["b", "c", "d"]);
    state.list(ListKind::Delta, &[("b", Phase::Gone), ("c", Phase::Gone)]);
    assert_eq!(state.held(), ["d"]);
    assert_eq!(state.targets.len(), 1);
}

#[test]
fn what_a_whole_list_lacks_is_let_go_of() {
    let mut state = state();
    state.list(ListKind::Full, &[("a", Phase::Ready), ("b", Phase::Ready), ("c", Phase::Draining)]);
    state.list(ListKind::Full, &[("b", Phase::Ready)]);
    assert_eq!(state.held(), ["b"]);
    assert_eq!(state.targets.len(), 1);
}

/// After a change only those are looked at that may be going: not the whole list.
#[test]
fn those_that_take_work_are_not_looked_at_again() {
    let mut state = state();
    let hosts: Vec<String> = (0..500).map(|n| format!("host-{n}")).collect();
    let all: Vec<(&str, Phase)> = hosts.iter().map(|host| (host.as_str(), Phase::Ready)).collect();
    state.list(ListKind::Full, &all);
    assert!(state.removal_candidates.is_empty(), "{} of 500", state.removal_candidates.len());
    state.list(ListKind::Delta, &[("host-1", Phase::Draining), ("host-2", Phase::Ready)]);
    assert_eq!(state.removal_candidates.len(), 1);
    state.list(ListKind::Delta, &[("host-1", Phase::Ready)]);
    assert!(state.removal_candidates.is_empty());
}

#[test]
fn two_names_never_have_one_number() {
    let mut state = state();
    let taken = backend_id("a");
    state.host_by_id.insert(taken, "another".into());
    state.id_by_host.insert("another".into(), taken);
    assert_eq!(state.id_of("a"), taken.wrapping_add(1));
    assert_eq!(state.id_of("a"), taken.wrapping_add(1));
    assert_eq!(state.id_of("another"), taken);
}
