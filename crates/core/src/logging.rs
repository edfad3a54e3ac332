//! Logs of the daemons: JSON lines on standard error.

use std::sync::Arc;

use spdlog::{
    Logger,
    error::Error,
    formatter::JsonFormatter,
    sink::{StdStream, StdStreamSink},
};

/// Makes JSON lines on standard error the log of this process.
pub fn init() -> Result<(), Error> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build()?;
    let logger = Logger::builder().sink(Arc::new(sink)).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
