//! Interface to the other processes that follow the configuration.

use std::net::SocketAddr;

use bytes::Bytes;

/// Another process that follows the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Address of its peer port.
    pub addr: SocketAddr,
    /// Availability zone of its instance.
    pub zone: String,
}

/// Answer of a peer to a query for its revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerRevision {
    /// Revision that the peer has in force.
    pub number: u64,
    /// Whether the peer itself, not one of its own peers, reached the service within the contact
    /// period. False only if it has tried and failed.
    pub in_contact: bool,
    /// Root record as stored in the service; empty unless `number` is higher than the caller's
    /// revision.
    pub root: Bytes,
}

/// Why a peer gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerCallError {
    /// The peer's instance refused the connection because nothing listens there: the process has
    /// ended and is not merely unreachable.
    NotRunning,
    /// No answer within the time limit, or the connection failed.
    NoAnswer,
}

/// The other processes of the system that follow the same configuration.
pub trait Peers: Clone + 'static {
    /// All peers in the latest list of instances, without this process. Leaving instances are
    /// included until they are removed from the list.
    fn list(&self) -> Vec<Peer>;

    /// Asks a peer for its revision; `known` is the caller's revision. The implementation must
    /// limit the time of the call.
    async fn revision(&self, peer: SocketAddr, known: u64) -> Result<PeerRevision, PeerCallError>;

    /// Asks a peer for a chunk, whose hash the caller verifies. The implementation must limit the
    /// time of the call.
    async fn chunk(&self, peer: SocketAddr, hash: &str) -> Option<Bytes>;
}

/// An empty set of peers, for a process that follows the key-value service alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    fn list(&self) -> Vec<Peer> {
        Vec::new()
    }

    async fn revision(
        &self,
        _peer: SocketAddr,
        _known: u64,
    ) -> Result<PeerRevision, PeerCallError> {
        Err(PeerCallError::NoAnswer)
    }

    async fn chunk(&self, _peer: SocketAddr, _hash: &str) -> Option<Bytes> {
        None
    }
}
