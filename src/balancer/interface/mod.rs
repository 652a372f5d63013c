//! The decision module's interface: settings, events in, actions out. It decides nothing.
//!
//! Times and durations are milliseconds as `f64`; the clock is whatever the embedding proxy passes
//! to [`Balancer::handle`](crate::Balancer::handle), starts anywhere and only goes forward.

mod action;
mod attempt;
mod census;
mod event;
mod list;
mod settings;
mod settings_error;
mod validation;

pub use action::Action;
pub use attempt::{Arrival, Outcome, Resolved};
pub use census::{Census, TrafficShare};
pub use event::Event;
pub use list::{Entry, ListKind, Phase};
pub use settings::{Caps, Class, DedupScope, Goal, Idempotency, ListGuard, Rules, Settings, Tenant};
pub use settings_error::SettingsError;

/// Identifies a client request at one instance; never reused.
pub type RequestId = u64;
/// Identifies a backend; the same at every instance and across restarts of its process.
pub type BackendId = u32;
/// Number of an attempt within its request, counted from 0 in the order of sends.
pub type AttemptNo = u8;
