//! The settings of an instance, given once at its start.
//!
//! `Settings::default()` is all zeros and empty lists, which [`Balancer::new`](crate::Balancer::new) rejects:
//! at least one instance and one class are required. "Default" below is the value that a setting gets where
//! the platform's JSON omits its key; settings without a default are required there.

#[cfg(doc)]
use super::Action;

/// Settings of an instance.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Index of this instance, from 0 to [`instance_count`](Self::instance_count) less one.
    pub instance_index: u32,
    /// Number of instances that send to this tier; at least 1.
    pub instance_count: u32,
    /// Index of the tier that this instance sends to; 0 is the tier that clients reach.
    pub tier: u32,
    /// Index of this instance's zone.
    pub zone: u16,
    /// Clock step: shortest time (ms) between two rounds of events.
    pub tick_ms: f64,
    /// Whether the instance must subscribe to the list of backends ([`Action::Watch`]) rather than having it
    /// pushed.
    pub must_subscribe: bool,
    /// Priority of a request over its tenant's quota, as a share of its class's priority.
    pub over_quota_weight: f64,
    /// Request classes, at least one; a request refers to its class by the index in this list.
    pub classes: Vec<Class>,
    /// Tenants, possibly none; a request refers to its tenant by the index in this list.
    pub tenants: Vec<Tenant>,
    /// Limits on what the balancer may do.
    pub caps: Caps,
    /// Parameters of the rules that an instance must follow.
    pub rules: Rules,
    /// Weights and prices that the operators give to results.
    pub goal: Goal,
    /// Protection against lists that wrongly remove backends.
    pub list_guard: ListGuard,
}

/// Protection from a list service that has lost its state: backends that a suspicious list lacks stay in
/// service until full lists have lacked them for a while or failed connects confirm the removal.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ListGuard {
    /// Share of the backends, from 0 to 1, such that an update that leaves that share or less in service is
    /// suspicious. Default: 0, which trusts every update; a proxy with its own configuration has 0.1.
    pub panic_threshold: f64,
    /// Time (ms) for which full lists must lack the backends before their removal is confirmed. Default: 0; a
    /// proxy with its own configuration has 30 000.
    pub confirm_after_ms: f64,
}

/// A class of requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Class {
    /// Latency (ms) up to which an answer has its full value; greater than 0.001.
    pub latency_objective_ms: f64,
    /// Value of a request relative to the other classes.
    pub priority_weight: f64,
    /// Whether a request may run again, and on which backends.
    pub idempotency: Idempotency,
    /// Whether requests with the same key run one at a time, in the order of arrival; all such classes share
    /// their keys. Default: false.
    pub in_order: bool,
}

/// Whether a request of a class may be repeated once it may have run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Idempotency {
    /// A request is safe to repeat on any backend.
    Idempotent,
    /// Repeats are deduplicated by the backends of `scope` for `dedup_window_ms` after the first attempt that
    /// may have run.
    Keyed {
        /// Set of backends that deduplicate each other's requests.
        scope: DedupScope,
        /// Time (ms) for which the backends deduplicate.
        dedup_window_ms: f64,
    },
    /// A request must never run twice.
    #[default]
    NonIdempotent,
}

/// Deduplication scope: the backends that deduplicate a request which one of them has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All backends.
    All,
    /// The backends in one zone.
    Zone,
    /// The backends in one cell.
    Cell,
}

/// A tenant.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tenant {
    /// Number of requests per second, over all instances, that get their class's full priority.
    pub quota_per_s: f64,
}

/// Limits on what the balancer may do.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Caps {
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether clients get a Retry-After with a rejection.
    pub retry_after: bool,
    /// Longest Retry-After (ms) that a client heeds.
    pub max_retry_after_ms: f64,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
}

/// Parameters of the rules that an instance must follow.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rules {
    /// Minimum capacity of a backend at its start, as a share of its full capacity.
    pub initial_capacity: f64,
    /// Time (ms) from a backend's start until it has its full capacity.
    pub warm_up_ms: f64,
    /// Multiple of a cold backend's current capacity above which the backend fails.
    pub overload_multiple: f64,
    /// Longest time (ms) that an instance may go without calling for the list, where it must subscribe: after
    /// it, a change counts as known. Default: 0.
    pub max_silence_ms: f64,
    /// Time (ms) within which idle connections to a draining backend are closed. Default: 0, which disables
    /// the rule.
    pub idle_close_within_ms: f64,
    /// Time (ms) for which a key of an ordered class is blocked after an attempt that may still be running.
    /// Default: 0.
    pub key_settle_ms: f64,
}

/// Weights and prices that the operators give to results.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Goal {
    /// Weight of the worst-served class as a share of the goal. Default: 0.
    pub worst_class_weight: f64,
    /// Price of attempts that cross zones. Default: 0.
    pub cross_zone_price: f64,
}
