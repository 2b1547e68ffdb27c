//! Log output on standard error, as text or JSON.

use eyre::{Result, eyre};
use log::LevelFilter;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::starter_log;

agatepin_core::key_type! {
    /// Format of the log lines.
    pub enum LogFormat {
        /// Plain text.
        Text,
        /// One JSON object per line.
        Json,
    }
}

/// Installs a logger that writes lines of at least `level` to standard error.
///
/// # Errors
/// A logger is already installed.
pub fn start(format: LogFormat, level: LevelFilter) -> Result<()> {
    let append = match format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let level_name = level.to_string().to_lowercase();
    let spec = format!("{level_name},{}", actix_filter(level));
    let filter = RustLogFilterBuilder::from_spec(spec).build();
    starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append))
        .try_apply()
        .map_err(|err| eyre!("cannot install the logger: {err}"))?;
    log::set_max_level(level);
    Ok(())
}

/// Filter directive for `actix_server`, which logs the start of each worker at level info: these
/// lines are shown only if `level` is debug or trace.
fn actix_filter(level: LevelFilter) -> &'static str {
    match level {
        LevelFilter::Off | LevelFilter::Error => "actix_server=error",
        LevelFilter::Debug | LevelFilter::Trace => "actix_server=info",
        LevelFilter::Warn | LevelFilter::Info => "actix_server=warn",
    }
}
