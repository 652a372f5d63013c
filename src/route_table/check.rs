//! Whether a proposal can be taken.

use super::{MAX_WEIGHTS, Proposal, Revision, Weights};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Longest name of a backend, class, zone, proxy or proposer.
pub const MAX_NAME: usize = 253;
/// Longest reason of an override.
pub const MAX_OVERRIDE_REASON: usize = 1024;
/// Largest weight.
pub const MAX_WEIGHT: f64 = 1e6;

/// A backend of the list, as far as weights go.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// Its name.
    pub host: String,
    /// Its class of machine.
    pub class: String,
    /// Its zone.
    pub zone: String,
    /// Its size beside the others'; the weight is multiplied by it.
    pub share: f64,
}

/// Why a proposal was not taken, and what to do.
#[derive(thiserror::Error, Clone, Debug, PartialEq)]
pub enum ProposalError {
    /// Nothing would get calls.
    #[error("every listed backend would have weight 0: give at least one a weight above 0")]
    AllZero,
    /// A weight that is none.
    #[error("{kind} {name:?}: weight {weight} must be a number from 0 to 1000000: correct it")]
    Weight {
        /// `backend`, `class` or `zone`.
        kind: &'static str,
        /// Which.
        name: String,
        /// What it was given.
        weight: f64,
    },
    /// Nothing listed is called that.
    #[error(
        "{kind} {name:?} is not in the list of backends: correct the name, leave it out, or register it first"
    )]
    Unknown {
        /// `backend`, `class` or `zone`.
        kind: &'static str,
        /// Which.
        name: String,
    },
    /// Past [`MAX_WEIGHTS`].
    #[error("{count} weights, of which a table has at most {MAX_WEIGHTS}: say it by class or zone")]
    TooMany {
        /// How many.
        count: usize,
    },
    /// A name or text past its length, empty or with control characters.
    #[error("{what}: must be 1 to {most} printable bytes: shorten or correct it")]
    Text {
        /// Which.
        what: &'static str,
        /// Its bound.
        most: usize,
    },
    /// Nothing is listed.
    #[error("no backend is listed, so that no weight can be checked: register backends first")]
    NoBackends,
    /// Too much at once.
    #[error(
        "backend {backend:?} would go from {from:.3} to {to:.3} of the mean, by more than the factor {most}: \
         propose a smaller step, then the next"
    )]
    Step {
        /// Which moves too far.
        backend: String,
        /// Its weight over the mean in the table in force.
        from: f64,
        /// The same in the proposal.
        to: f64,
        /// The configured factor.
        most: f64,
    },
    /// Made from another table than the newest.
    #[error(
        "made from revision {from}, but {newest} is the newest: read that one, make the proposal anew from it"
    )]
    Conflict {
        /// What it was made from.
        from: Revision,
        /// What it must be made from.
        newest: Revision,
    },
    /// One at a time.
    #[error("revision {revision} is being rolled out: wait for its end, see the state of the routes")]
    RollingOut {
        /// Which.
        revision: Revision,
    },
    /// The registry lost state.
    #[error(
        "{proxies} proxies have a revision that this registry never gave, so that it lost state: bring back its \
         directory, or propose with an override and the whole weights that the fleet should have"
    )]
    Ahead {
        /// How many of them.
        proxies: usize,
    },
    /// An earlier decision is not on disk yet.
    #[error("another change of the routes is being written: ask again in a second")]
    Writing,
}

impl ProposalError {
    /// The status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            ProposalError::Conflict { .. }
            | ProposalError::RollingOut { .. }
            | ProposalError::Ahead { .. } => 409,
            ProposalError::TooMany { .. } => 413,
            ProposalError::Writing | ProposalError::NoBackends => 503,
            _ => 400,
        }
    }
}

/// Weights to nine decimals: so many come through JSON as they were, and with them the digest.
pub(super) fn rounded(mut weights: Weights) -> Weights {
    let Weights { backends, classes, zones } = &mut weights;
    for weight in backends.values_mut().chain(classes.values_mut()).chain(zones.values_mut()) {
        // Adding 0 makes 0 of -0.
        *weight = (*weight * 1e9).round() / 1e9 + 0.0;
    }
    weights
}

/// Whether a text is of 1 to `most` bytes without control characters.
pub(super) fn plain(text: &str, most: usize) -> bool {
    !text.is_empty() && text.len() <= most && !text.chars().any(char::is_control)
}

/// Digest of the listed backends: another list, another digest; their order does not count.
pub fn list_digest(listed: &[Backend]) -> String {
    let mut rows: Vec<_> = listed.iter().map(|b| (&b.host, &b.class, &b.zone, b.share.to_bits())).collect();
    rows.sort();
    let mut hash = Sha256::new();
    for (host, class, zone, share) in rows {
        for text in [host, class, zone] {
            hash.update((text.len() as u64).to_le_bytes());
            hash.update(text);
        }
        hash.update(share.to_le_bytes());
    }
    hash.finalize().iter().take(8).map(|byte| format!("{byte:02x}")).collect()
}

/// Checks a proposal against the weights in force and the listed backends; `step` is the most that a backend's weight
/// over the mean may move. Weights under a `step`th of the mean count as that, so that one backend can be emptied at once.
pub fn check(
    proposal: &Proposal,
    in_force: &Weights,
    listed: &[Backend],
    step: f64,
) -> Result<(), ProposalError> {
    let weights = &proposal.weights;
    let count = weights.backends.len() + weights.classes.len() + weights.zones.len();
    if count > MAX_WEIGHTS {
        return Err(ProposalError::TooMany { count });
    }
    if !plain(&proposal.by, MAX_NAME) {
        return Err(ProposalError::Text { what: "by", most: MAX_NAME });
    }
    if proposal.override_why.as_ref().is_some_and(|why| !plain(why, MAX_OVERRIDE_REASON)) {
        return Err(ProposalError::Text { what: "override", most: MAX_OVERRIDE_REASON });
    }
    for (kind, name, weight) in weights.iter() {
        if !plain(name, MAX_NAME) {
            return Err(ProposalError::Text { what: kind, most: MAX_NAME });
        }
        if !(0.0..=MAX_WEIGHT).contains(&weight) {
            return Err(ProposalError::Weight { kind, name: name.into(), weight });
        }
    }
    if listed.is_empty() {
        return Err(ProposalError::NoBackends);
    }
    let names = |of: fn(&Backend) -> &str| listed.iter().map(of).collect::<std::collections::HashSet<_>>();
    let (hosts, classes, zones) = (names(|b| &b.host), names(|b| &b.class), names(|b| &b.zone));
    for (kind, name, _) in weights.iter() {
        let known = match kind {
            "backend" => &hosts,
            "class" => &classes,
            _ => &zones,
        };
        if !known.contains(name) {
            return Err(ProposalError::Unknown { kind, name: name.into() });
        }
    }
    let of = |weights: &Weights| -> Vec<f64> {
        listed.iter().map(|b| weights.of(&b.host, &b.class, &b.zone)).collect()
    };
    let (old, new) = (of(in_force), of(weights));
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
    let (old_mean, new_mean) = (mean(&old), mean(&new));
    if new_mean <= 0.0 {
        return Err(ProposalError::AllZero);
    }
    // Those in force may all be zero by now, if the list has changed: then there is nothing to step from.
    if old_mean <= 0.0 {
        return Ok(());
    }
    for (backend, (old, new)) in listed.iter().zip(old.into_iter().zip(new)) {
        let (from, to) = (old / old_mean, new / new_mean);
        let moved = from.max(1.0 / step) / to.max(1.0 / step);
        if moved.max(1.0 / moved) > step * (1.0 + 1e-9) {
            return Err(ProposalError::Step { backend: backend.host.clone(), from, to, most: step });
        }
    }
    Ok(())
}
