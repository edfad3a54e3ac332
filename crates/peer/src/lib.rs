//! Links between the processes of the system: authenticated Cap'n Proto connections.
//!
//! A link is authenticated before the first call, because the peer ports decide about tokens
//! and placement. Capnp objects are not `Send`, so a link lives on the thread that opened it.

mod auth;
mod link;
#[allow(clippy::all, clippy::pedantic, missing_docs, unused_qualifications)]
pub mod peer_capnp;

pub use crate::{
    auth::{AuthError, Secret, SecretError},
    link::{Link, LinkError, PeerServer, bind, open, wire_millis},
};
