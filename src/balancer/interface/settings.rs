//! The settings of an instance, given once at its start.
//!
//! `Settings::default()` is all zeros and empty lists, which [`Balancer::new`](crate::Balancer::new) rejects:
//! at least one instance and one class are required. "Default" below is what a proxy's settings get where the
//! platform's JSON leaves the key out; settings without one are required there.

#[cfg(doc)]
use super::Action;

/// The settings of an instance.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Index of this instance among [`instance_count`](Self::instance_count), from 0.
    pub instance_index: u32,
    /// Number of instances that send to this tier; 1 or more.
    pub instance_count: u32,
    /// Index of the tier that this instance sends to; 0 is the one that clients reach.
    pub tier: u32,
    /// Index of this instance's zone.
    pub zone: u16,
    /// Shortest time (ms) between two rounds of events.
    pub tick_ms: f64,
    /// Whether the list of backends must be asked for ([`Action::Watch`]) rather than being pushed.
    pub must_subscribe: bool,
    /// Priority of a request over its tenant's quota, as a share of its class's priority.
    pub over_quota_weight: f64,
    /// Request classes; a request names its index in this list. One or more.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What the site allows.
    pub caps: Caps,
    /// Figures of the rules that an instance must keep.
    pub rules: Rules,
    /// How the operators weigh and price results.
    pub goal: Goal,
    /// When the removals of a list are not believed at once.
    pub list_guard: ListGuard,
}

/// Protects an instance from a list service that has lost its state: backends that a suspicious list lacks
/// stay in service until lists have lacked them for a while or their own calls confirm the removal.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ListGuard {
    /// An update that leaves this share of the backends in service, or less, is suspicious: 0 to 1. Default:
    /// 0, which believes every update; a proxy with its own configuration has 0.1.
    pub panic_threshold: f64,
    /// Time (ms) for which a full list must lack the backends before their removal is believed. Default: 0; a
    /// proxy with its own configuration has 30 000.
    pub confirm_after_ms: f64,
}

/// A class of requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Class {
    /// An answer within this time (ms) has its full value; over 0.001.
    pub latency_objective_ms: f64,
    /// Value of a request, in relation to the other classes.
    pub priority_weight: f64,
    /// Whether and where a request may run again.
    pub idempotency: Idempotency,
    /// Requests with one key run one at a time, in the order of arrival; all such classes share their keys.
    /// Default: false.
    pub in_order: bool,
}

/// Whether a request of a class may be repeated once it may have run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Idempotency {
    /// Safe to repeat anywhere.
    Idempotent,
    /// Repeats are dropped by the backends of `scope` for `dedup_window_ms` after the first send that may
    /// have run.
    Keyed {
        /// Which backends drop each other's repeats.
        scope: DedupScope,
        /// For how long (ms) they do.
        dedup_window_ms: f64,
    },
    /// Must never run twice.
    #[default]
    NonIdempotent,
}

/// The backends that drop repeats of a request which one of them has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All backends.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// A tenant.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all instances, that have their class's full priority.
    pub quota_per_s: f64,
}

/// What the site allows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Caps {
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether clients get a Retry-After with a rejection.
    pub retry_after: bool,
    /// Longest Retry-After (ms) that a client heeds.
    pub max_retry_after_ms: f64,
    /// Most attempts for one request.
    pub max_attempts: u32,
}

/// Figures of the rules that an instance must keep.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rules {
    /// Share of its full capacity that a backend has at its start, at least.
    pub initial_capacity: f64,
    /// Time (ms) after its start by which a backend has its full capacity.
    pub warm_up_ms: f64,
    /// Multiple of its present capacity over which a cold backend fails.
    pub overload_multiple: f64,
    /// Longest time (ms) without asking for the list, where it must be asked for: a change counts as known
    /// after it. Default: 0.
    pub max_silence_ms: f64,
    /// Time (ms) within which idle connections to a draining backend are closed. Default: 0, no such rule.
    pub idle_close_within_ms: f64,
    /// Time (ms) for which a key of an ordered class is blocked after an attempt that may still be running.
    /// Default: 0.
    pub key_settle_ms: f64,
}

/// How the operators weigh and price results.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Goal {
    /// Weight of the worst-served class, as a share of the goal. Default: 0.
    pub worst_class_weight: f64,
    /// Price of attempts that cross zones. Default: 0.
    pub cross_zone_price: f64,
}
