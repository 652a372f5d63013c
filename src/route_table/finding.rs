//! What the drift detector says.

use serde::Serialize;

/// What is wrong with a proxy, or with the detector.
#[derive(Serialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// An older revision for longer than the grace.
    Lagging,
    /// The right revision, another digest.
    Diverged,
    /// A revision that the registry never gave.
    Ahead,
    /// The right table, but the calls do not follow its weights.
    Effect,
    /// No report, while its peers hold it for alive.
    Silent,
    /// No report, and no peer that holds it for alive.
    Gone,
    /// An older process of the same name still reports.
    Zombie,
    /// It starts, or comes and goes, again and again.
    Flapping,
    /// The detector hears less than a majority of the proxies alive.
    Blind,
}

impl FindingKind {
    /// How many there are.
    pub(super) const COUNT: usize = FindingKind::Blind as usize + 1;
    /// Those of a proxy. One that flaps is not told of otherwise.
    pub(super) const OF_PROXIES: [FindingKind; 8] = [
        FindingKind::Flapping,
        FindingKind::Lagging,
        FindingKind::Diverged,
        FindingKind::Ahead,
        FindingKind::Effect,
        FindingKind::Silent,
        FindingKind::Gone,
        FindingKind::Zombie,
    ];

    /// What an operator can do.
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

/// Something that is wrong, of one proxy or of many with one cause.
#[derive(Serialize, Clone, Debug, PartialEq)]
pub struct Finding {
    /// What.
    pub kind: FindingKind,
    /// The proxy; none where it is the fleet's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub proxy: Option<String>,
    /// How many proxies.
    pub proxies: usize,
    /// Some of them, at most 8.
    #[serde(rename = "some")]
    pub examples: Vec<String>,
    /// Since when, Unix time in milliseconds: the first bad window.
    pub since_ms: u64,
    /// When it was raised.
    pub raised_ms: u64,
    /// What was seen.
    pub evidence: String,
    /// What an operator can do.
    pub what_to_do: &'static str,
}
