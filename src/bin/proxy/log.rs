//! Log for operators: one line per event, on standard error.
//!
//! It is set up once, before the configuration is read. RUST_LOG selects what is logged.

use std::fmt;
use tracing::{Event, Subscriber, level_filters::LevelFilter};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::registry::LookupSpan;

/// Line format `proxy: <message>`, without a time, which the platform and the supervisor put in front.
struct LineFormat;

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        ctx: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        writer.write_str("proxy: ")?;
        ctx.field_format().format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Installs the logger, which logs what RUST_LOG selects, or `info` and above without it.
pub fn init() {
    let filter = EnvFilter::builder().with_default_directive(LevelFilter::INFO.into()).from_env_lossy();
    // Write errors are ignored, so that the process does not end when the reader of its log does.
    let lines = tracing_subscriber::fmt().with_ansi(false).log_internal_errors(false);
    lines.event_format(LineFormat).with_writer(std::io::stderr).with_env_filter(filter).init();
}
