//! The balancer's interface: the settings, the events that it handles and the actions that it returns. Times
//! and durations are in milliseconds as `f64`. The embedding proxy passes the clock time to
//! [`Balancer::handle`](crate::Balancer::handle); it may start at any value and never goes back.

mod action;
mod attempt;
mod census;
mod connection_use;
mod event;
mod list;
mod settings;
mod settings_error;
mod validation;

pub use action::Action;
pub use attempt::{Arrival, Outcome, Resolved};
pub use census::{Census, TrafficShare};
pub use connection_use::ConnectionUse;
pub use event::Event;
pub use list::{Entry, ListKind, Phase};
pub use settings::{Caps, Class, DedupScope, Goal, Idempotency, ListGuard, Rules, Settings, Tenant};
pub use settings_error::SettingsError;

/// Id of a client request at one instance; it is never reused.
pub type RequestId = u64;
/// Id of a backend; it is the same at every instance and across restarts of the backend's process.
pub type BackendId = u32;
/// Number of an attempt within its request, counted from 0 in the order of sends.
pub type AttemptNo = u8;
