//! Stores the operator configuration in the key-value service: publishes it, and keeps processes
//! up to date with it.
//!
//! The catalog is stored as content-addressed chunks and one root record, which is swapped last.
//! Revisions never decrease: a process ignores any revision lower than the one it has in force.

mod chunk;
mod error;
mod follow;
mod freshness;
mod peers;
mod publish;
mod snapshot;

pub use crate::{
    chunk::{ROOT_KEY, RootRecord, RootWrite, chunk_key, content_hash},
    error::{PublishError, ReadError},
    follow::{FollowTiming, Follower, MAX_ANSWER_WAIT},
    freshness::{ContactRecord, Freshness, PeerStatus},
    peers::{NoPeers, Peer, PeerCallError, PeerRevision, Peers},
    publish::{Published, new_write_id, overwrite, publish, read, read_root},
    snapshot::{KeyOwner, KeyRefusal, Snapshot},
};
