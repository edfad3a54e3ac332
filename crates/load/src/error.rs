//! Errors of the load tool.

use std::{io, path::PathBuf};

use comfreyweir_testbed::TestbedError;
use snafu::Snafu;

/// Error that ends the load tool without a result.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// The command line cannot be parsed.
    #[snafu(display("{source}; try --help"))]
    Arguments {
        /// Error of the parser.
        source: lexopt::Error,
    },
    /// A command, option or value on the command line is unknown or not allowed.
    #[snafu(display("{what}; try --help"))]
    Usage {
        /// Message for the user.
        what: String,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file does not contain the expected JSON result.
    #[snafu(display("{} is not a result of comfreyweir-load run: {source}", path.display()))]
    InvalidResult {
        /// Path of the file.
        path: PathBuf,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The cluster of test processes failed.
    #[snafu(display("{source}"), context(false))]
    Testbed {
        /// Error of the testbed.
        source: TestbedError,
    },
}
