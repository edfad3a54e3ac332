//! The operator configuration in the key-value service: how it is published, and how processes
//! follow it.
//!
//! The catalog is stored as content-addressed chunks and one root record that is swapped last.
//! Revisions only rise; a process never takes a lower one, whatever it reads.

mod follow;
mod snapshot;

pub use crate::{
    follow::{Follower, Freshness},
    snapshot::Snapshot,
};
