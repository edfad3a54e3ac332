//! Errors of the planner.

use std::{io, net::SocketAddr};

use comfreyweir_peer::{LinkError, SecretError};
use snafu::Snafu;

/// Why a planner cannot be started.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlannerError {
    /// The peer secret cannot be used.
    #[snafu(display("{source}"))]
    Secret {
        /// What failed.
        source: SecretError,
    },
    /// The peer port cannot be opened.
    #[snafu(display("{source}"))]
    Peer {
        /// What failed.
        source: LinkError,
    },
    /// The admin port cannot be opened.
    #[snafu(display("cannot listen for operators on {addr}: {source}"))]
    Admin {
        /// Address of the admin port.
        addr: SocketAddr,
        /// What failed.
        source: io::Error,
    },
}
