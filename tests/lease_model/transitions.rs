//! The actions of the lease model, their effects, and the properties that must hold.

use super::*;
use stateright::Property;

impl Model for Protocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let holder = || Holder { ticks_since_drift: DRIFT_EVERY, ..Holder::default() };
        vec![State {
            now: 0,
            registry_is_up: true,
            lease: None,
            last_token: 0,
            lease_until: 0,
            holders: [holder(), holder()],
            network: BTreeSet::new(),
            acted_token: 0,
            has_crashed: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < LAST_TICK {
            for misses in [[false, false], [true, false], [false, true], [true, true]] {
                let may_miss = |holder: &Holder| holder.ticks_since_drift >= DRIFT_EVERY && !holder.is_dead;
                if (0..2).all(|n| !misses[n] || may_miss(&state.holders[n])) {
                    actions.push(Action::Tick(misses));
                }
            }
        }
        let can_send = state.network.len() < MAX_MESSAGES;
        for (n, holder) in state.holders.iter().enumerate().filter(|(_, holder)| !holder.is_dead) {
            let n = n as u8;
            // A client has one call at a time; it gives up on a call that is lost.
            let has_call = state.network.iter().any(|message| match message {
                Message::Request { by, .. } | Message::Granted { to: by, .. } => *by == n,
                _ => false,
            });
            if can_send && !has_call {
                actions.push(Action::Request(n));
            }
            if can_send && holder.active_token().is_some() {
                actions.push(Action::Act(n));
            }
            // The holders are symmetric, so it is enough that one of them dies or releases.
            if n == 0 && holder.active_token().is_some() {
                actions.push(Action::Die(n));
                if can_send {
                    actions.push(Action::Release(n));
                }
            }
        }
        if !state.has_crashed && state.lease.is_some() {
            actions.push(Action::Crash);
        }
        if !state.registry_is_up {
            actions.push(Action::Restart);
        }
        for message in &state.network {
            actions.push(Action::Lose(message.clone()));
            actions.push(Action::Deliver(message.clone()));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick(misses) => {
                state.now += 1;
                let alive = state.holders.iter_mut().zip(misses).filter(|(holder, _)| !holder.is_dead);
                for (holder, misses) in alive {
                    holder.clock += u8::from(!misses);
                    holder.ticks_since_drift =
                        if misses { 0 } else { (holder.ticks_since_drift + 1).min(DRIFT_EVERY) };
                    holder.lease = holder.lease.filter(|(_, until)| holder.clock < *until);
                }
            }
            Action::Request(n) => {
                let holder = &mut state.holders[usize::from(n)];
                let (sent_at, token) = (holder.clock, holder.active_token());
                // A client has one call at a time: the answer to an earlier call is ignored from now on.
                holder.pending_since = Some(sent_at);
                state.network.insert(Message::Request { by: n, token, sent_at });
            }
            Action::Release(n) => {
                let holder = &mut state.holders[usize::from(n)];
                let (token, _) = holder.lease.take()?;
                holder.pending_since = None;
                state.network.insert(Message::Release { by: n, token });
            }
            Action::Act(n) => {
                let token = state.holders[usize::from(n)].active_token()?;
                state.network.insert(Message::Act { token });
            }
            Action::Die(n) => {
                state.holders[usize::from(n)] = Holder { is_dead: true, ..Holder::default() };
            }
            Action::Crash => (state.registry_is_up, state.has_crashed) = (false, true),
            Action::Restart => {
                state.registry_is_up = true;
                state.lease_until = state.now + TTL;
                if !self.keeps_leases {
                    state.lease = None;
                }
            }
            Action::Lose(message) => {
                state.network.remove(&message);
                if let Message::Request { by, .. } | Message::Granted { to: by, .. } = message {
                    state.holders[usize::from(by)].pending_since = None;
                }
            }
            Action::Deliver(message) => {
                state.network.remove(&message);
                self.deliver(&mut state, message);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_ACTIVE_HOLDER, |_, state: &State| {
                state.holders.iter().filter(|holder| holder.active_token().is_some()).count() <= 1
            }),
            Property::always("no two holders have the same token", |_, state: &State| {
                let [a, b] = &state.holders;
                a.lease.is_none() || a.lease.map(|lease| lease.0) != b.lease.map(|lease| lease.0)
            }),
            Property::always(TOKENS_NEVER_GO_DOWN, |_, state: &State| state.acted_token <= MAX_TOKENS),
            Property::sometimes("a dead holder's duty is acquired by the other", |_, state: &State| {
                state.holders[0].is_dead && state.holders[1].active_token().is_some_and(|token| token > 1)
            }),
            Property::sometimes(
                "a duty changes its holder after a crash of the registry",
                |_, state: &State| state.has_crashed && state.acted_token >= 2,
            ),
        ]
    }
}

/// Value of [`State::acted_token`] after an action was accepted with an older token than that of an earlier one.
pub(super) const TOKEN_WENT_DOWN: u8 = MAX_TOKENS + 1;

impl Protocol {
    /// Applies the effect of a message that arrives.
    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Request { by, token, sent_at } if state.registry_is_up => {
                let active = state.lease.filter(|_| state.now < state.lease_until);
                let granted = match (active, token) {
                    (None, None) if state.last_token < MAX_TOKENS => {
                        state.last_token += 1;
                        Some(state.last_token)
                    }
                    (Some((holder, current)), Some(token)) if holder == by && current == token => Some(token),
                    _ => None,
                };
                if let Some(token) = granted {
                    (state.lease, state.lease_until) = (Some((by, token)), state.now + TTL);
                    state.network.insert(Message::Granted { to: by, token, sent_at });
                } else {
                    state.holders[usize::from(by)].pending_since = None;
                }
            }
            Message::Granted { to, token, sent_at } => {
                let holder = &mut state.holders[usize::from(to)];
                let from = if self.measures_from_request { sent_at } else { holder.clock };
                if holder.pending_since == Some(sent_at) && !holder.is_dead {
                    (holder.pending_since, holder.lease) = (None, Some((token, from + TTL - self.margin)));
                }
            }
            Message::Release { by, token } if state.registry_is_up && state.lease == Some((by, token)) => {
                state.lease = None;
            }
            Message::Act { token } => {
                let is_current = state.registry_is_up
                    && state.now < state.lease_until
                    && state.lease.is_some_and(|(_, current)| current == token);
                if is_current || !self.checks_token {
                    state.acted_token = if token < state.acted_token { TOKEN_WENT_DOWN } else { token };
                }
            }
            // The registry is down, so the call fails.
            Message::Request { by, .. } => state.holders[usize::from(by)].pending_since = None,
            Message::Release { .. } => {}
        }
    }
}
