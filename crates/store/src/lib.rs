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
    chunk::{ROOT_KEY, Root, Write, chunk_key, content_hash},
    error::{PublishError, ReadError},
    follow::{FollowTiming, Follower, SLOWEST_ANSWER},
    freshness::{Contacts, Freshness, Heard},
    peers::{NoPeers, Peer, PeerRevision, PeerSilence, Peers},
    publish::{Published, new_write_id, overwrite, publish, read, read_root},
    snapshot::{KeyOwner, KeyRefusal, Snapshot},
};
