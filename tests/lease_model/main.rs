//! A model of the lease and fencing protocol, checked with `stateright` in every order of its events.
//!
//! `docs/duties.md` lists what the model covers and what it leaves out. Each safeguard is also removed in turn; the
//! checker must then find the fault that the safeguard prevents.

mod transitions;

use stateright::{Checker, HasDiscoveries, Model};
use std::collections::BTreeSet;

/// Duration of a lease in ticks of the registry's clock.
const TTL: u8 = 3;
/// A holder's clock may miss one tick, and then none before it has counted this many.
const DRIFT_EVERY: u8 = 3;
/// Time at which the model ends, in ticks.
const LAST_TICK: u8 = 5;
/// Maximum number of tokens that the registry grants.
const MAX_TOKENS: u8 = 2;
/// Maximum number of messages in the network at the same time.
const MAX_MESSAGES: usize = 2;

/// The name of the property that at most one holder acts at a time.
const ONE_ACTIVE_HOLDER: &str = "at most one holder acts at a time";
/// The name of the property that tokens of accepted actions never go down.
const TOKENS_NEVER_GO_DOWN: &str = "no action with an older token is accepted after one with a newer token";

/// The safeguards of the protocol.
#[derive(Clone, Copy)]
struct Protocol {
    /// Ticks before the end of its lease at which a holder stops acting.
    margin: u8,
    /// After a restart the registry keeps each lease on disk for a full TTL.
    keeps_leases: bool,
    /// The service on which holders act rejects tokens other than the current one.
    checks_token: bool,
    /// A holder measures its lease from the time of its request, not from that of the answer.
    measures_from_request: bool,
}

const ALL_SAFEGUARDS: Protocol =
    Protocol { margin: 1, keeps_leases: true, checks_token: true, measures_from_request: true };

/// A message in the network.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// A request sent at `sent_at` on the holder's clock: without a token to acquire, with one to renew.
    Request { by: u8, token: Option<u8>, sent_at: u8 },
    /// The answer to a request that was granted.
    Granted { to: u8, token: u8, sent_at: u8 },
    /// The release of a lease.
    Release { by: u8, token: u8 },
    /// An action on behalf of the duty's holder.
    Act { token: u8 },
}

/// The state of a process that may hold the duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    clock: u8,
    /// Ticks since the holder's clock last missed one, at most [`DRIFT_EVERY`].
    ticks_since_drift: u8,
    /// Time at which the pending request was sent, on the holder's clock.
    pending_since: Option<u8>,
    /// Token of the holder's lease, and the time on its own clock until which it acts.
    lease: Option<(u8, u8)>,
    is_dead: bool,
}

impl Holder {
    /// Returns the token with which the holder acts now.
    fn active_token(&self) -> Option<u8> {
        self.lease.filter(|(_, until)| !self.is_dead && self.clock < *until).map(|(token, _)| token)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    registry_is_up: bool,
    /// Holder and token of the lease on the registry's disk.
    lease: Option<(u8, u8)>,
    last_token: u8,
    /// End of the lease; kept in the registry's memory only.
    lease_until: u8,
    holders: [Holder; 2],
    network: BTreeSet<Message>,
    /// Token of the last accepted action, or [`TOKEN_WENT_DOWN`](transitions::TOKEN_WENT_DOWN).
    acted_token: u8,
    has_crashed: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Advances the time by one tick; the clocks of the marked holders miss it.
    Tick([bool; 2]),
    Request(u8),
    Release(u8),
    Act(u8),
    Die(u8),
    Crash,
    Restart,
    Deliver(Message),
    Lose(Message),
}

#[test]
fn the_protocol_satisfies_its_properties_in_every_order_of_events() {
    let start = std::time::Instant::now();
    let checked = ALL_SAFEGUARDS.checker().threads(4).spawn_bfs().join();
    println!("lease model: {} states in {:?}", checked.unique_state_count(), start.elapsed());
    assert!(checked.unique_state_count() > 10_000, "the checker visited too few states");
    checked.assert_properties();
}

#[test]
fn without_any_one_safeguard_the_checker_finds_a_violation() {
    for (protocol, violated) in [
        (Protocol { margin: 0, ..ALL_SAFEGUARDS }, ONE_ACTIVE_HOLDER),
        (Protocol { keeps_leases: false, ..ALL_SAFEGUARDS }, ONE_ACTIVE_HOLDER),
        (Protocol { measures_from_request: false, ..ALL_SAFEGUARDS }, ONE_ACTIVE_HOLDER),
        (Protocol { checks_token: false, ..ALL_SAFEGUARDS }, TOKENS_NEVER_GO_DOWN),
    ] {
        let checked =
            protocol.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
        assert!(checked.discovery(violated).is_some(), "no violation was found of {violated:?}");
    }
}
