//! Sets up logging: JSON lines on standard error, which never block the process.

use std::{
    io::{self, Write},
    panic,
    sync::Arc,
    time::Duration,
};

use comfreyweir_log::{LogWriter, spawn_writer};
use snafu::{ResultExt, Snafu};
use spdlog::{Level, LevelFilter, Logger};

/// Longest time for which the end of the process waits for lines that are not written yet.
const FINISH_LIMIT: Duration = Duration::from_secs(1);

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verbosity {
    /// Informational messages and everything more severe.
    Info,
    /// Warnings and errors only.
    Warnings,
}

/// Why logging could not be set up.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LoggingError {
    /// Standard error cannot be used, or the writer thread cannot be started.
    #[snafu(display("cannot start the log: {source}"))]
    Output {
        /// Cause of the failure.
        source: io::Error,
    },
    /// The logger cannot be built.
    #[snafu(display("cannot build the logger: {source}"))]
    Build {
        /// Cause of the failure.
        source: spdlog::Error,
    },
}

/// The log of this process. Dropping it waits until all lines are written, for at most one second.
pub struct Log(LogWriter);

impl Log {
    /// Writes a line of plain text.
    pub fn write_text(&self, text: &str) {
        self.0.write_text(text);
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        self.0.finish(FINISH_LIMIT);
    }
}

/// Standard error without the lock of the standard library's handle: it would be held for as long as
/// a write blocks, and whoever uses that handle would wait for it. It is not a duplicate of the
/// descriptor either, since some supervisors collect the output by descriptor number.
struct UnlockedStderr;

impl Write for UnlockedStderr {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(io::stderr(), buf)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs a logger that writes JSON lines to standard error as the default of this process. Panics
/// are logged too.
pub fn init(verbosity: Verbosity) -> Result<Log, LoggingError> {
    let min_level = match verbosity {
        Verbosity::Info => Level::Info,
        Verbosity::Warnings => Level::Warn,
    };
    let writer = spawn_writer(UnlockedStderr).context(OutputSnafu)?;
    let logger = Logger::builder()
        .sink(Arc::new(writer.sink()))
        .level_filter(LevelFilter::MoreSevereEqual(min_level))
        .build()
        .context(BuildSnafu)?;
    spdlog::set_default_logger(Arc::new(logger));
    // The standard library writes the message of a panic to standard error in the panicking thread.
    panic::set_hook(Box::new(|panic| {
        let message = panic.to_string();
        spdlog::critical!("panic", kv: { message = message.as_str() });
    }));
    Ok(Log(writer))
}
