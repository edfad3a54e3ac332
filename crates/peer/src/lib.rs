//! Links between the processes of the system: authenticated Cap'n Proto RPC connections.
//!
//! Both sides authenticate before the first call, because calls between peers affect token
//! allowances and placement. Cap'n Proto objects are not `Send`, so a link stays on the thread that
//! opened it.

mod auth;
mod link;
#[allow(clippy::all, clippy::pedantic, missing_docs, unused_qualifications)]
pub mod peer_capnp;

pub use crate::{
    auth::{AuthError, PeerSecret, SecretError},
    link::{LinkError, PeerLink, PeerServer, bind, open, wire_millis},
};
