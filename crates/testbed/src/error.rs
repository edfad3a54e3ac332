//! Errors of test clusters.

use std::{io, path::PathBuf, time::Duration};

use comfreyweir_standins::StandinError;
use snafu::Snafu;

/// Why a test cluster does not work.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TestbedError {
    /// All loopback blocks are taken.
    #[snafu(display("no loopback block is free"))]
    NoBlock,
    /// A file of the cluster cannot be written or read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// A program cannot be started or signalled.
    #[snafu(display("process {name}: {source}"))]
    Process {
        /// Name in the cluster.
        name: String,
        /// What failed.
        source: io::Error,
    },
    /// A process ended while it was started.
    #[snafu(display("process {name} ended at its start with {status}; its log:\n{log}"))]
    Ended {
        /// Name in the cluster.
        name: String,
        /// How it ended.
        status: String,
        /// Last lines of its log.
        log: String,
    },
    /// There is nothing of this name in the cluster.
    #[snafu(display("nothing named {name} in the cluster"))]
    Unknown {
        /// The name.
        name: String,
    },
    /// A call failed.
    #[snafu(display("{url}: {reason}"))]
    Call {
        /// What was called.
        url: String,
        /// What was seen.
        reason: String,
    },
    /// A condition was not met in time.
    #[snafu(display("not within {after:?}: {what}"))]
    Timeout {
        /// The condition.
        what: String,
        /// The limit.
        after: Duration,
    },
    /// The catalog was not accepted.
    #[snafu(display("catalog not published: {reason}"))]
    Publish {
        /// Why.
        reason: String,
    },
    /// A stand-in of this process failed.
    #[snafu(display("{source}"), context(false))]
    Standin {
        /// What failed.
        source: StandinError,
    },
}
