//! Logs of the daemons: JSON lines on standard error.

use std::sync::Arc;

use spdlog::{
    Level, LevelFilter, Logger,
    error::Error,
    formatter::JsonFormatter,
    sink::{StdStream, StdStreamSink},
};

/// How much is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Detail {
    /// What operators need to know.
    Info,
    /// Only what is wrong.
    Warnings,
}

/// Makes JSON lines on standard error the log of this process.
pub fn init(detail: Detail) -> Result<(), Error> {
    let least = match detail {
        Detail::Info => Level::Info,
        Detail::Warnings => Level::Warn,
    };
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(least))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
