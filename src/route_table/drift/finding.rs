//! The findings of the drift detector: their kinds, what an operator can do about each, and their form on the
//! page.
//!
//! A proxy is reported as lost by `silent` or `gone`: see [`Drift::evaluate`](super::Drift::evaluate) for
//! when.

use serde::Serialize;

/// What is wrong with a proxy, or with the detector. The serialized names are a contract with operators.
#[derive(Serialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// It has an older revision than its target, for longer than `grace_ms` after it could have the target.
    Lagging,
    /// It has an issued revision with another digest than that revision has.
    Diverged,
    /// It has a revision that the registry never issued, or one that was rolled back.
    Ahead,
    /// It has its target table, but its calls do not follow the weights.
    Effect,
    /// It sends no reports, while its peers hold it for alive.
    Silent,
    /// It sends no reports, and no peer holds it for alive.
    Gone,
    /// An older process with its name still reports.
    Zombie,
    /// It starts, or falls silent and returns, again and again.
    Flapping,
    /// No majority of the live proxies reports to this registry.
    Blind,
}

impl FindingKind {
    /// Number of kinds.
    pub(crate) const COUNT: usize = FindingKind::Blind as usize + 1;
    /// The kinds of a proxy, in the order in which they are looked at. Nothing else is raised of a proxy that
    /// flaps.
    pub(crate) const OF_PROXIES: [FindingKind; 8] = [
        FindingKind::Flapping,
        FindingKind::Lagging,
        FindingKind::Diverged,
        FindingKind::Ahead,
        FindingKind::Effect,
        FindingKind::Silent,
        FindingKind::Gone,
        FindingKind::Zombie,
    ];

    /// What an operator can do about it.
    pub fn what_to_do(self) -> &'static str {
        match self {
            FindingKind::Lagging => {
                "see whether the proxy reaches the registry and its log for refused tables; restart it if it does"
            }
            FindingKind::Diverged => {
                "the proxy's weights are not those of its revision: see that all run the same build, restart it; \
                 if it comes back, take it out of service"
            }
            FindingKind::Ahead => {
                "this registry lost state, nothing is rolled back: bring back its newest directory, or propose the \
                 whole weights that the fleet should have, with an override"
            }
            FindingKind::Effect => {
                "the proxy has the table but spreads its calls otherwise: compare its calls with the weights in the \
                 evidence, see its ops page for slow or failing backends; keep it out of rollouts until it is known why"
            }
            FindingKind::Silent => {
                "its peers hold the proxy for alive: see whether it reaches the registry and its reports are on; it \
                 goes on with its last good table"
            }
            FindingKind::Gone => {
                "start the proxy again, unless it was taken away on purpose; it is forgotten in a while"
            }
            FindingKind::Zombie => {
                "two processes report under one name: end the older one, or give each a name of its own"
            }
            FindingKind::Flapping => {
                "the proxy starts or vanishes again and again: see its log and its supervisor"
            }
            FindingKind::Blind => {
                "most proxies alive are not heard: see the network between them and this registry; until then no \
                 finding is raised or cleared and no rollout goes on"
            }
        }
    }
}

/// A finding, of one proxy or of many with one cause.
#[derive(Serialize, Clone, Debug, PartialEq)]
pub struct Finding {
    /// Its kind.
    pub kind: FindingKind,
    /// The proxy; none for a finding of the fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub proxy: Option<String>,
    /// Number of proxies that deviate.
    pub proxies: usize,
    /// Names of some of them, at most 8.
    #[serde(rename = "some")]
    pub examples: Vec<String>,
    /// Time of the first bad window, Unix time in milliseconds.
    pub since_ms: u64,
    /// When it was raised, Unix time in milliseconds.
    pub raised_ms: u64,
    /// What was seen.
    pub evidence: String,
    /// See [`FindingKind::what_to_do`].
    pub what_to_do: &'static str,
}
