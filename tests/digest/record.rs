//! The text form of decisions in the digests. It uses the names that the interface had when the digests were
//! recorded, so that a renamed action or field changes no digest, and a changed decision does.

use load_balancer::interface::{Action, Census, TrafficShare};

/// An action with all its fields.
pub fn action(action: &Action) -> String {
    match action {
        Action::Send { request, backend, deadline_ms } => {
            format!("Send {{ request: {request}, backend: {backend}, not_past: {deadline_ms:?} }}")
        }
        Action::Reject { request, retry_after_ms } => {
            format!("Refuse {{ request: {request}, retry_after: {retry_after_ms:?} }}")
        }
        Action::Fail { request } => format!("Fail {{ request: {request} }}"),
        Action::Cancel { request, attempt } => {
            format!("Cancel {{ request: {request}, attempt: {attempt} }}")
        }
        Action::SetTimer { delay_ms, token } => {
            format!("WakeMe {{ delay: {delay_ms:?}, token: {token} }}")
        }
        Action::CloseIdle { backend } => format!("Close {{ backend: {backend} }}"),
        Action::Watch { on } => format!("Watch {{ on: {on} }}"),
        Action::Withdraw { backend } => format!("Withdraw {{ backend: {backend} }}"),
        Action::Resync => "Relist".to_owned(),
    }
}

/// The counts of the listed endpoints.
pub fn census(counts: &Census) -> String {
    let Census { listed, excluded, unlisted } = counts;
    format!("Census {{ listed: {listed}, excluded: {excluded}, unlisted: {unlisted} }}")
}

/// The share of the calls that a backend may get.
pub fn traffic_share(share: TrafficShare) -> &'static str {
    match share {
        TrafficShare::Full => "Full",
        TrafficShare::Ejected => "Ejected",
        TrafficShare::WarmingUp => "Cold",
        TrafficShare::Draining => "Draining",
        TrafficShare::OutsideSubset => "Subset",
        TrafficShare::Slow => "Slow",
    }
}
