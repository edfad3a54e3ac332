//! The operator configuration in the key-value service: how it is published, and how processes
//! follow it.
//!
//! The catalog is stored as content-addressed chunks and one root record that is swapped last.
//! Revisions only rise; a process never takes a lower one, whatever it reads.

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
