//! Whether a report can be taken.

use super::check::{MAX_NAME, plain};
use super::{Config, MAX_REPORTED, MAX_WITNESSED, Report};

/// Largest count of a report: a window has fewer.
pub const MAX_COUNT: u64 = 1 << 40;
/// How far ahead of the registry's clock a revision or a generation may lie.
const AHEAD_MS: u64 = 86_400_000;

/// Why a report was not taken, and what to do.
#[derive(thiserror::Error, Clone, Debug, PartialEq)]
pub enum ReportError {
    /// A name past its length, empty or with control characters.
    #[error("{what}: must be 1 to {MAX_NAME} printable bytes: correct the proxy's configuration")]
    Name {
        /// Of what.
        what: &'static str,
    },
    /// Too many entries.
    #[error("{what}: {count} entries, at most {most}: send the others in the next report")]
    TooMany {
        /// Which.
        what: &'static str,
        /// How many.
        count: usize,
        /// The bound.
        most: usize,
    },
    /// Not 16 hexadecimal digits.
    #[error(
        "digest: must be 16 lower-case hexadecimal digits: the proxy's build is not of this registry's kind"
    )]
    Digest,
    /// A number that cannot be.
    #[error("{what}: {value} is out of range: see the proxy's clock and build")]
    Number {
        /// Which.
        what: &'static str,
        /// Its value.
        value: u64,
    },
    /// No room for another proxy.
    #[error(
        "reports of {most} proxies are kept and no more: raise routes.names, or have fewer proxies report here"
    )]
    Full {
        /// The bound.
        most: usize,
    },
    /// No room for more counts.
    #[error("counts of {most} backends are kept and no more: raise routes.counts, or use smaller subsets")]
    FullCounts {
        /// The bound.
        most: usize,
    },
    /// More often than a proxy has cause to.
    #[error(
        "{name:?} reports more often than every {least_ms} ms: see its report_ms, or whether two use its name"
    )]
    TooOften {
        /// Who.
        name: String,
        /// The least time between two.
        least_ms: u64,
    },
}

impl ReportError {
    /// The status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            ReportError::TooMany { .. } => 413,
            ReportError::TooOften { .. } => 429,
            ReportError::Full { .. } | ReportError::FullCounts { .. } => 503,
            _ => 400,
        }
    }
}

/// Checks a report by itself.
pub(super) fn check(report: &Report, now: u64, config: &Config) -> Result<(), ReportError> {
    let maps =
        [("calls", report.calls.len()), ("errors", report.errors.len()), ("left_out", report.left_out.len())];
    for (what, count) in maps {
        if count > MAX_REPORTED {
            return Err(ReportError::TooMany { what, count, most: MAX_REPORTED });
        }
    }
    let count = report.members.len();
    if count > MAX_WITNESSED {
        return Err(ReportError::TooMany { what: "members", count, most: MAX_WITNESSED });
    }
    if report.zone.len() > MAX_NAME || report.zone.chars().any(char::is_control) {
        return Err(ReportError::Name { what: "zone" });
    }
    let backends = report.calls.keys().chain(report.errors.keys()).chain(report.left_out.keys());
    let names = [("name", &report.name)].into_iter();
    let names = names.chain(report.members.iter().map(|m| ("members", &m.name)));
    if let Some((what, _)) =
        names.chain(backends.map(|name| ("backend", name))).find(|(_, name)| !plain(name, MAX_NAME))
    {
        return Err(ReportError::Name { what });
    }
    let hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if report.digest.len() != 16 || !report.digest.bytes().all(hex) {
        return Err(ReportError::Digest);
    }
    let latest = now.saturating_add(AHEAD_MS);
    let counts = [&report.requests, &report.refused, &report.failed].into_iter();
    let most = counts.chain(report.calls.values()).chain(report.errors.values()).copied().max().unwrap_or(0);
    let numbers = [
        ("number", report.number, report.number == 0),
        ("generation", report.generation, report.generation / 1000 > latest),
        ("revision", report.revision, report.revision > latest),
        ("window_ms", report.window_ms, report.window_ms == 0 || report.window_ms > 100 * config.report_ms),
        ("alive", report.alive.into(), report.alive as usize > 1 << 16),
        ("refused", report.refused, report.refused > report.requests),
        ("failed", report.failed, report.failed > report.requests),
        ("counts", most, most > MAX_COUNT),
    ];
    match numbers.into_iter().find(|(_, _, bad)| *bad) {
        Some((what, value, _)) => Err(ReportError::Number { what, value }),
        None => Ok(()),
    }
}
