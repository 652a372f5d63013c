//! Validation of a single report, before any of it is kept: sizes, names, digest and ranges.
//!
//! Reports come from outside. Each bound here limits the memory or the arithmetic of the drift detector.

use super::proposal::{MAX_NAME_BYTES, is_printable};
use super::{Config, MAX_REPORTED, MAX_WITNESSED, Report};

/// Maximum count of requests or calls in a report; a window of any proxy has far fewer.
pub const MAX_COUNT: u64 = 1 << 40;
/// Maximum lead of a revision or a generation over the registry's clock, in milliseconds: a day, far above
/// the usual difference between clocks. A larger revision would raise the revision of every later proposal.
const MAX_CLOCK_LEAD_MS: u64 = 86_400_000;

/// Longest window of a report, as a multiple of `report_ms`: a paused proxy has a long one.
const MAX_WINDOWS_IN_A_REPORT: u64 = 100;
/// Maximum number of live proxies that a report may claim.
const MAX_ALIVE: u32 = 1 << 16;
/// Length of a digest, in hexadecimal digits.
const DIGEST_DIGITS: usize = 16;

/// Why a report was refused, and what to do.
#[derive(thiserror::Error, Clone, Debug, PartialEq)]
pub enum ReportError {
    /// A name is empty, too long or has control characters.
    #[error("{what}: must be 1 to {MAX_NAME_BYTES} printable bytes: correct the proxy's configuration")]
    Name {
        /// Part of the report that holds the name.
        what: &'static str,
    },
    /// A part of the report has too many entries.
    #[error("{what}: {count} entries, at most {max}: send the others in the next report")]
    TooMany {
        /// Part of the report.
        what: &'static str,
        /// Number of entries.
        count: usize,
        /// Maximum number of entries.
        max: usize,
    },
    /// The digest is not 16 lower-case hexadecimal digits.
    #[error(
        "digest: must be 16 lower-case hexadecimal digits: the proxy's build is not of this registry's kind"
    )]
    Digest,
    /// A number is out of its range.
    #[error("{what}: {value} is out of range: see the proxy's clock and build")]
    Number {
        /// Field that holds the number.
        what: &'static str,
        /// Value that was reported.
        value: u64,
    },
    /// There is no capacity for another proxy.
    #[error(
        "reports of {max} proxies are kept and no more: raise routes.names, or have fewer proxies report here"
    )]
    Full {
        /// Maximum number of proxies.
        max: usize,
    },
    /// There is no capacity for the counts of more backends.
    #[error("counts of {max} backends are kept and no more: raise routes.counts, or use smaller subsets")]
    FullCounts {
        /// Maximum number of backend counts.
        max: usize,
    },
    /// Reports under one name arrive far more often than once a window.
    #[error(
        "{name:?} reports more often than every {min_interval_ms} ms: see its report_ms, or whether two use its name"
    )]
    TooOften {
        /// Name of the proxy.
        name: String,
        /// Expected interval between two reports, in milliseconds.
        min_interval_ms: u64,
    },
}

impl ReportError {
    /// The HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            ReportError::TooMany { .. } => 413,
            ReportError::TooOften { .. } => 429,
            ReportError::Full { .. } | ReportError::FullCounts { .. } => 503,
            _ => 400,
        }
    }
}

/// Validates a report: first its sizes, then names, the digest and numbers.
///
/// # Errors
///
/// [`ReportError`] for the first fault found.
pub(super) fn check_limits(report: &Report, now_ms: u64, config: &Config) -> Result<(), ReportError> {
    check_sizes(report)?;
    check_names(report)?;
    check_digest(&report.digest)?;
    check_numbers(report, now_ms, config)
}

fn check_sizes(report: &Report) -> Result<(), ReportError> {
    let sizes = [
        ("calls", report.calls.len(), MAX_REPORTED),
        ("errors", report.errors.len(), MAX_REPORTED),
        ("left_out", report.left_out.len(), MAX_REPORTED),
        ("members", report.members.len(), MAX_WITNESSED),
    ];
    match sizes.into_iter().find(|(_, count, max)| count > max) {
        Some((what, count, max)) => Err(ReportError::TooMany { what, count, max }),
        None => Ok(()),
    }
}

fn check_names(report: &Report) -> Result<(), ReportError> {
    // Unlike a name, the zone may be empty.
    if report.zone.len() > MAX_NAME_BYTES || report.zone.chars().any(char::is_control) {
        return Err(ReportError::Name { what: "zone" });
    }
    let members = report.members.iter().map(|member| ("members", &member.name));
    let backends = report.calls.keys().chain(report.errors.keys()).chain(report.left_out.keys());
    let backends = backends.map(|name| ("backend", name));
    let mut names = [("name", &report.name)].into_iter().chain(members).chain(backends);
    match names.find(|(_, name)| !is_printable(name, MAX_NAME_BYTES)) {
        Some((what, _)) => Err(ReportError::Name { what }),
        None => Ok(()),
    }
}

fn check_digest(digest: &str) -> Result<(), ReportError> {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if digest.len() == DIGEST_DIGITS && digest.bytes().all(is_hex) {
        Ok(())
    } else {
        Err(ReportError::Digest)
    }
}

fn check_numbers(report: &Report, now_ms: u64, config: &Config) -> Result<(), ReportError> {
    let latest_ms = now_ms.saturating_add(MAX_CLOCK_LEAD_MS);
    let longest_window_ms = MAX_WINDOWS_IN_A_REPORT * config.report_ms;
    let requests = [&report.requests, &report.refused, &report.failed].into_iter();
    let counts = requests.chain(report.calls.values()).chain(report.errors.values());
    let largest_count = counts.copied().max().unwrap_or(0);
    let numbers = [
        ("number", report.number, report.number == 0),
        ("generation", report.generation, report.generation / 1000 > latest_ms),
        ("revision", report.revision, report.revision > latest_ms),
        ("window_ms", report.window_ms, report.window_ms == 0 || report.window_ms > longest_window_ms),
        ("alive", report.alive.into(), report.alive > MAX_ALIVE),
        ("refused", report.refused, report.refused > report.requests),
        ("failed", report.failed, report.failed > report.requests),
        ("counts", largest_count, largest_count > MAX_COUNT),
    ];
    match numbers.into_iter().find(|(_, _, out_of_range)| *out_of_range) {
        Some((what, value, _)) => Err(ReportError::Number { what, value }),
        None => Ok(()),
    }
}
