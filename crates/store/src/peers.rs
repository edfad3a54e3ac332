//! What following needs from the other processes of the system.

use std::net::SocketAddr;

use bytes::Bytes;

/// A process that can be asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its peer address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
}

/// What a peer says about its revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerRevision {
    /// Revision that the peer has in force.
    pub number: u64,
    /// Whether the peer itself, not one of its own peers, was in contact with the service within
    /// the contact period. False only when it has tried and failed.
    pub in_contact: bool,
    /// Root record as it is stored in the service; empty when `number` is not above the caller's.
    pub root: Bytes,
}

/// Why a peer said nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerSilence {
    /// Its instance answered that nothing listens there: the process is gone, and is not merely
    /// out of reach.
    NotRunning,
    /// No answer in time, or the link failed.
    NoAnswer,
}

/// The other processes of the system that follow the same configuration.
pub trait Peers: Clone + 'static {
    /// All peers by the latest list of instances, without this process. Peers that were removed
    /// from the list are not in it; leaving ones are, until they are gone.
    fn list(&self) -> Vec<Peer>;

    /// Asks a peer for its revision; `known` is the caller's. Bounded in time.
    async fn revision(&self, peer: SocketAddr, known: u64) -> Result<PeerRevision, PeerSilence>;

    /// Asks a peer for a chunk. The caller verifies its hash. Bounded in time.
    async fn chunk(&self, peer: SocketAddr, hash: &str) -> Option<Bytes>;
}

/// No peers at all.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    fn list(&self) -> Vec<Peer> {
        Vec::new()
    }

    async fn revision(&self, _peer: SocketAddr, _known: u64) -> Result<PeerRevision, PeerSilence> {
        Err(PeerSilence::NoAnswer)
    }

    async fn chunk(&self, _peer: SocketAddr, _hash: &str) -> Option<Bytes> {
        None
    }
}
