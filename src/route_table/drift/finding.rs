//! The findings of the drift detector: their kinds, the advice to operators for each, and their form on the
//! page.
//!
//! `silent` and `gone` report a lost proxy; [`Drift::evaluate`](super::Drift::evaluate) decides when.

use serde::Serialize;

/// The kind of a fault of a proxy or of the detector. The serialized names are a contract with operators.
#[derive(Serialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The proxy has an older revision than its target, although it could have had the target for longer than
    /// `grace_ms`.
    Lagging,
    /// The proxy has an issued revision, but with another digest than was issued.
    Diverged,
    /// The proxy has a revision that the registry never issued, or one that was rolled back.
    Ahead,
    /// The proxy has its target table, but its calls do not follow the weights.
    Effect,
    /// The proxy sends no reports, while its peers consider it alive.
    Silent,
    /// The proxy sends no reports, and no peer considers it alive.
    Gone,
    /// An older process with the proxy's name still reports.
    Zombie,
    /// The proxy repeatedly starts, or falls silent and returns.
    Flapping,
    /// No majority of the live proxies reports to this registry.
    Blind,
}

impl FindingKind {
    /// Number of kinds.
    pub(crate) const COUNT: usize = FindingKind::Blind as usize + 1;
    /// The kinds that concern a proxy, in the order in which they are checked. No other kind is raised for a
    /// proxy that flaps.
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

    /// Advice to operators on a finding of this kind.
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

/// A finding about one proxy, or about several proxies with a common cause.
#[derive(Serialize, Clone, Debug, PartialEq)]
pub struct Finding {
    /// Kind of the finding.
    pub kind: FindingKind,
    /// Name of the proxy; `None` for a finding of the fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub proxy: Option<String>,
    /// Number of proxies that deviate.
    pub proxies: usize,
    /// Names of some of the proxies that deviate, at most 8.
    #[serde(rename = "some")]
    pub examples: Vec<String>,
    /// Time of the first bad window, Unix time in milliseconds.
    pub since_ms: u64,
    /// Time at which the finding was raised, Unix time in milliseconds.
    pub raised_ms: u64,
    /// Evidence of the deviation, as text for operators.
    pub evidence: String,
    /// Advice to operators, from [`FindingKind::what_to_do`].
    pub what_to_do: &'static str,
}
