//! Sets up logging: JSON lines on standard error.

use std::sync::Arc;

use spdlog::{
    Level, LevelFilter, Logger,
    error::Error,
    formatter::JsonFormatter,
    sink::{StdStream, StdStreamSink},
};

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verbosity {
    /// Informational messages and everything more severe.
    Info,
    /// Warnings and errors only.
    Warnings,
}

/// Installs a logger that writes JSON lines to standard error as the default of this process.
pub fn init(verbosity: Verbosity) -> Result<(), Error> {
    let min_level = match verbosity {
        Verbosity::Info => Level::Info,
        Verbosity::Warnings => Level::Warn,
    };
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(min_level))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
