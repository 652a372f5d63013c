//! The decisions of a load balancer for calls between services, as a library without I/O.
//!
//! A [`Balancer`] belongs to one proxy instance in front of one tier. It learns one concurrency limit for the
//! calls of that instance, divides it among classes by their priority weight, sheds low-priority requests
//! first once the limit is reached, and selects backends within a subset of the tier that grows with its
//! load. The proxy passes it each event ([`interface::Event`]) with the current time, and carries out the
//! actions that it returns ([`interface::Action`]). It owns no clock, thread or socket: the same settings,
//! seed and events give the same actions.
//!
//! A proxy embeds it as follows:
//!
//! ```
//! use load_balancer::Balancer;
//! use load_balancer::interface::*;
//!
//! // The settings of this instance, given once.
//! let settings = Settings {
//!     instance_index: 0,
//!     instance_count: 1,
//!     tick_ms: 5.0,
//!     classes: vec![Class {
//!         latency_objective_ms: 300.0,
//!         priority_weight: 1.0,
//!         idempotency: Idempotency::Idempotent,
//!         in_order: false,
//!     }],
//!     caps: Caps { max_attempts: 3, ..Caps::default() },
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // The endpoint list. The first event also sets a timer.
//! let entries = [1, 2].map(|backend| Entry { backend, weight: 1.0, ..Entry::default() }).to_vec();
//! balancer.handle(0.0, Event::List { kind: ListKind::Full, entries }, &mut actions);
//! let Some(&Action::SetTimer { delay_ms, token }) = actions.first() else { panic!("a timer is set") };
//!
//! // A request arrives and is sent at once.
//! actions.clear();
//! let arrival =
//!     Arrival { request: 7, key: 0, class: 0, tenant: 0, deadline_ms: 1000.0, body_pending: false };
//! balancer.handle(10.0, Event::Request(arrival), &mut actions);
//! let Some(&Action::Send { request: 7, backend, .. }) = actions.first() else { panic!("sent") };
//!
//! // The timer fires.
//! actions.clear();
//! balancer.handle(delay_ms, Event::TimerFired { token }, &mut actions);
//!
//! // The attempt ends. The proxy has forwarded the answer, so the request has ended.
//! let resolved = Resolved {
//!     request: 7,
//!     attempt: 0,
//!     backend,
//!     outcome: Outcome::Ok,
//!     latency_ms: 80.0,
//!     request_ended: true,
//!     body_consumed: false,
//! };
//! actions.clear();
//! balancer.handle(90.0, Event::Resolved(resolved), &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! # What the embedding proxy guarantees
//!
//! - It passes on every event, in order, with a clock that only goes forward, and an
//!   [`interface::Event::TimerFired`] for every timer that was set.
//! - It passes on one [`interface::Event::Resolved`] for every [`interface::Action::Send`], also after the
//!   end of the request, and no later than its `deadline_ms`.
//! - It passes on one [`interface::Event::BodyComplete`] for a request that arrived with `body_pending` set,
//!   unless the request ends before its last byte.
//! - It sets `request_ended` once the request is over: the first successful answer is forwarded to the client
//!   without a further action and ends the request.
//!
//! Events about requests, attempts or backends that are unknown or have ended are ignored.
//!
//! The only part with I/O is [`client`], the client of the control plane that a proxy may run with its
//! balancer; no decision depends on it.

#![forbid(unsafe_code)]
#![warn(clippy::cognitive_complexity)]
#![warn(missing_docs)]

mod balancer;
pub mod catalog;
pub mod client;
pub mod replay;
pub mod route_table;

pub use balancer::{Balancer, interface, platform_settings};

use interface::BackendId;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the id that a proxy gives to the backend named `host`, unless that id is taken and it gives the
/// next free one. The id is a hash of the name and the same at every instance: all instances order the
/// backends by it, so that their subsets overlap evenly.
pub fn backend_id(host: &str) -> BackendId {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish() as BackendId
}
