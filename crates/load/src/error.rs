//! Errors of the load tool.

use std::{io, path::PathBuf};

use comfreyweir_testbed::TestbedError;
use snafu::Snafu;

/// Why a run did not give a result.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// The command line is not understood.
    #[snafu(display("{source}; try --help"))]
    Arguments {
        /// What is wrong.
        source: lexopt::Error,
    },
    /// The command line names something that does not exist.
    #[snafu(display("{what}; try --help"))]
    Usage {
        /// What is wrong.
        what: String,
    },
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// A file is not the result of a run.
    #[snafu(display("{} is not a result of comfreyweir-load run: {source}", path.display()))]
    Result {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The cluster failed.
    #[snafu(display("{source}"), context(false))]
    Testbed {
        /// What failed.
        source: TestbedError,
    },
}
