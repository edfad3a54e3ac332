//! Errors of the stand-ins.

use std::{io, net::SocketAddr, path::PathBuf};

use snafu::Snafu;

/// Failures to start or run a stand-in.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// Listening on the address failed.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Bind {
        /// Address from the settings.
        addr: SocketAddr,
        /// I/O error of the bind.
        source: io::Error,
    },
    /// Reading the settings file failed.
    #[snafu(display("cannot read settings file {}: {source}", path.display()))]
    ReadSettings {
        /// Path from the command line.
        path: PathBuf,
        /// I/O error of the read.
        source: io::Error,
    },
    /// The settings file is not valid TOML or does not have the expected fields.
    #[snafu(display("invalid settings file {}: {source}", path.display()))]
    ParseSettings {
        /// Path from the command line.
        path: PathBuf,
        /// Parse error, with its position in the file.
        source: toml::de::Error,
    },
    /// An option is unknown or lacks its value.
    #[snafu(display("{source}\nTry 'comfreyweir-standins --help'."))]
    Arguments {
        /// Error of the command-line parser.
        source: lexopt::Error,
    },
    /// The command line has no `--config` option.
    #[snafu(display("no settings file: give --config FILE"))]
    NoSettings,
    /// Installing a signal handler failed.
    #[snafu(display("cannot install signal handler: {source}"))]
    Signal {
        /// I/O error of the registration.
        source: io::Error,
    },
}
