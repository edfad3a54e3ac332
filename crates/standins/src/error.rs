//! Errors of the stand-ins.

use std::{io, net::SocketAddr, path::PathBuf};

use snafu::Snafu;

/// Why a stand-in cannot run.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// The settings file cannot be read.
    #[snafu(display("settings {} cannot be read: {source}", path.display()))]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The settings file is not understood.
    #[snafu(display("settings {} are wrong: {source}", path.display()))]
    ParseSettings {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: toml::de::Error,
    },
    /// The command line is not understood.
    #[snafu(display("{source}\nTry 'comfreyweir-standins --help'."))]
    Arguments {
        /// What is wrong.
        source: lexopt::Error,
    },
    /// The command line names no settings file.
    #[snafu(display("no settings file: give --config FILE"))]
    NoSettings,
    /// Signals cannot be waited for.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signal {
        /// What failed.
        source: io::Error,
    },
}
