//! The log: one line to each thing that operators should know, on standard error.

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

/// Logs from now on what RUST_LOG asks for; without it all but details.
pub fn begin() {
    let wanted = EnvFilter::builder().with_default_directive(LevelFilter::INFO.into()).from_env_lossy();
    // A log that nobody reads any more must not end the program.
    let lines = tracing_subscriber::fmt().with_ansi(false).log_internal_errors(false);
    lines.event_format(Line).with_writer(std::io::stderr).with_env_filter(wanted).init();
}
