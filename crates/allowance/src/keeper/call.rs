//! Calls of the keeper to the key-value service.

use std::{net::SocketAddr, time::Duration};

use crate::{lease::LeaseRecord, shares::ShareTable};

/// Version of a key; zero stands for a key that does not exist.
pub type Version = u64;

/// A key of the key-value service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Key {
    /// The record of shares.
    Shares,
    /// The lease of the gate at a peer address.
    Lease(SocketAddr),
}

/// A value of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// The record of shares.
    Shares(ShareTable),
    /// A lease.
    Lease(LeaseRecord),
}

/// A call to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Read a key.
    Get(Key),
    /// Write a key if it stands at `expected`.
    Swap {
        /// The key.
        key: Key,
        /// Version that it must stand at.
        expected: Version,
        /// Identifier of the write, the same when it is tried again.
        write_id: String,
        /// What is written.
        value: Value,
    },
    /// Wait until the record of shares rises above a version.
    Watch {
        /// The version.
        after: Version,
        /// Longest wait.
        wait: Duration,
    },
    /// Nothing is left to do: the share was given back.
    Done,
}

/// Outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// What was read; `None` when there is nothing, or nothing new.
    Found(Option<(Version, Value)>),
    /// The value was written.
    Written(Version),
    /// The key stood at another version, and nothing was written.
    Conflict,
    /// Not known: the write may have taken effect, or may still do so.
    Unknown,
}

/// Periods of keeping a share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Period of contact between gates.
    pub contact: Duration,
    /// Time that a share may be used after its last renewal.
    pub lapse: Duration,
    /// Longest time that tokens are used after they were lent or charged.
    pub hold: Duration,
}
