//! The log: one line for each thing that operators should know, on standard error.
//!
//! Set up once, before the configuration is read. RUST_LOG selects the levels.

use std::fmt;
use tracing::{Event, Subscriber, level_filters::LevelFilter};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::registry::LookupSpan;

/// `proxy: what happened`. The platform and the supervisor put the time before it.
struct Line;

impl<S, N> FormatEvent<S, N> for Line
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, ctx: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        to.write_str("proxy: ")?;
        ctx.field_format().format_fields(to.by_ref(), event)?;
        writeln!(to)
    }
}

/// Logs from now on what RUST_LOG selects; without it everything from `info` on.
pub fn begin() {
    let wanted = EnvFilter::builder().with_default_directive(LevelFilter::INFO.into()).from_env_lossy();
    // Guards against a process that ends when the reader of its log does: errors in writing are dropped.
    let lines = tracing_subscriber::fmt().with_ansi(false).log_internal_errors(false);
    lines.event_format(Line).with_writer(std::io::stderr).with_env_filter(wanted).init();
}
