//! Validation of a proposal: its texts, its weights, and how far it moves a backend's weight from the table
//! in force.
//!
//! Pure functions without state. [`Control::propose`](crate::route_table::Control::propose) calls them for a
//! new proposal, and again for an `awaited` one when the list of backends changes.

use super::super::{MAX_WEIGHTS, Proposal, Weights};
use super::ProposalError;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::HashSet;

/// Maximum length of the name of a backend, class, zone, proxy or proposer, in bytes.
pub const MAX_NAME_BYTES: usize = 253;
/// Maximum length of the reason of an override, in bytes.
pub const MAX_OVERRIDE_REASON: usize = 1024;
/// Maximum weight.
pub const MAX_WEIGHT: f64 = 1e6;

/// A listed backend, with the fields that weights depend on.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// Name of the backend.
    pub host: String,
    /// Machine class of the backend.
    pub class: String,
    /// Zone of the backend.
    pub zone: String,
    /// Relative size of the backend in the list. The weight is multiplied by it.
    pub share: f64,
}

/// Rounds weights to nine decimals, the precision that a JSON round trip keeps.
///
/// Failure: a weight that a proxy parses to another bit pattern gives another digest there, and the table is
/// refused.
pub(super) fn round_weights(mut weights: Weights) -> Weights {
    let Weights { backends, classes, zones } = &mut weights;
    for weight in backends.values_mut().chain(classes.values_mut()).chain(zones.values_mut()) {
        // Adding 0 turns -0 into 0, which has another bit pattern and so another digest.
        *weight = (*weight * 1e9).round() / 1e9 + 0.0;
    }
    weights
}

/// Whether a text has 1 to `max_bytes` bytes and no control characters.
pub(crate) fn is_printable(text: &str, max_bytes: usize) -> bool {
    !text.is_empty() && text.len() <= max_bytes && !text.chars().any(char::is_control)
}

/// Digest of the listed backends: 16 hexadecimal digits of a SHA-256. It does not depend on their order.
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

/// Checks a proposal against the weights in force and the listed backends.
///
/// `max_weight_step` is the maximum factor by which a backend's weight, relative to the mean, may change. A
/// relative weight below the inverse of that factor counts as the inverse, so that a backend of the mean
/// weight can be set to 0 at once.
///
/// # Errors
///
/// [`ProposalError`] for the first fault found: in the size, texts and weights, then in names that are not
/// listed, then in the step.
pub fn check_proposal(
    proposal: &Proposal,
    in_force: &Weights,
    listed: &[Backend],
    max_weight_step: f64,
) -> Result<(), ProposalError> {
    check_values(proposal)?;
    if listed.is_empty() {
        return Err(ProposalError::NoBackends);
    }
    check_names_are_listed(&proposal.weights, listed)?;
    check_step(&proposal.weights, in_force, listed, max_weight_step)
}

/// Checks the values that do not depend on the list of backends: count, texts and ranges.
fn check_values(proposal: &Proposal) -> Result<(), ProposalError> {
    let weights = &proposal.weights;
    let count = weights.backends.len() + weights.classes.len() + weights.zones.len();
    if count > MAX_WEIGHTS {
        return Err(ProposalError::TooMany { count });
    }
    if !is_printable(&proposal.by, MAX_NAME_BYTES) {
        return Err(ProposalError::Text { what: "by", max: MAX_NAME_BYTES });
    }
    if proposal.override_reason.as_ref().is_some_and(|why| !is_printable(why, MAX_OVERRIDE_REASON)) {
        return Err(ProposalError::Text { what: "override", max: MAX_OVERRIDE_REASON });
    }
    for (kind, name, weight) in weights.iter() {
        if !is_printable(name, MAX_NAME_BYTES) {
            return Err(ProposalError::Text { what: kind, max: MAX_NAME_BYTES });
        }
        if !(0.0..=MAX_WEIGHT).contains(&weight) {
            return Err(ProposalError::Weight { kind, name: name.into(), weight });
        }
    }
    Ok(())
}

/// Checks that each weight names a listed backend, class or zone. Failure: a misspelt name would have no
/// effect.
fn check_names_are_listed(weights: &Weights, listed: &[Backend]) -> Result<(), ProposalError> {
    let names = |of: fn(&Backend) -> &str| listed.iter().map(of).collect::<HashSet<_>>();
    let hosts = names(|backend| &backend.host);
    let classes = names(|backend| &backend.class);
    let zones = names(|backend| &backend.zone);
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
    Ok(())
}

/// Checks that some backend has a weight above 0, and that no weight changes too much relative to the mean.
fn check_step(
    proposed: &Weights,
    in_force: &Weights,
    listed: &[Backend],
    max_step: f64,
) -> Result<(), ProposalError> {
    let of_listed = |weights: &Weights| -> Vec<f64> {
        listed.iter().map(|b| weights.of(&b.host, &b.class, &b.zone)).collect()
    };
    let old = of_listed(in_force);
    let new = of_listed(proposed);
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
    let old_mean = mean(&old);
    let new_mean = mean(&new);
    if new_mean <= 0.0 {
        return Err(ProposalError::AllZero);
    }
    // After a change of the list all weights in force may be 0; then there is no step to measure.
    if old_mean <= 0.0 {
        return Ok(());
    }
    for (backend, (old, new)) in listed.iter().zip(old.into_iter().zip(new)) {
        let from = old / old_mean;
        let to = new / new_mean;
        let moved = from.max(1.0 / max_step) / to.max(1.0 / max_step);
        if moved.max(1.0 / moved) > max_step * (1.0 + 1e-9) {
            return Err(ProposalError::Step { backend: backend.host.clone(), from, to, max: max_step });
        }
    }
    Ok(())
}
