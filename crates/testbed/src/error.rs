//! Errors of the testbed.

use std::{io, path::PathBuf, time::Duration};

use comfreyweir_standins::StandinError;
use snafu::Snafu;

/// Error of starting or controlling a test cluster, or of a call to it.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TestbedError {
    /// All loopback blocks are claimed by other clusters.
    #[snafu(display("no loopback block is free"))]
    NoBlock,
    /// A file of the cluster cannot be written or read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// A program cannot be started or signalled.
    #[snafu(display("process {name}: {source}"))]
    Process {
        /// Name of the process in the cluster.
        name: String,
        /// The underlying error.
        source: io::Error,
    },
    /// A process exited before it listened.
    #[snafu(display("process {name} exited during startup with {status}; its log:\n{log}"))]
    Ended {
        /// Name of the process in the cluster.
        name: String,
        /// Its exit status.
        status: String,
        /// The end of its log.
        log: String,
    },
    /// The cluster has no process, engine or service of this name.
    #[snafu(display("no process, engine or service named {name} in the cluster"))]
    Unknown {
        /// The name asked for.
        name: String,
    },
    /// An HTTP call failed, or its answer could not be read.
    #[snafu(display("{url}: {reason}"))]
    Call {
        /// URL or path that was called.
        url: String,
        /// The failure, or the status of the answer.
        reason: String,
    },
    /// A condition was not met in time.
    #[snafu(display("not within {after:?}: {what}"))]
    Timeout {
        /// The awaited condition.
        what: String,
        /// The time limit.
        after: Duration,
    },
    /// The catalog could not be published.
    #[snafu(display("catalog not published: {reason}"))]
    Publish {
        /// The error of the publication.
        reason: String,
    },
    /// A stand-in that runs inside this process failed.
    #[snafu(display("{source}"), context(false))]
    Standin {
        /// The underlying error.
        source: StandinError,
    },
}
