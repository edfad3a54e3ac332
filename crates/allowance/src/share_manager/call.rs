//! Calls to the key-value service, and their outcomes.

use std::{net::SocketAddr, time::Duration};

use crate::{lease::LeaseRecord, shares::ShareTable};

/// Version of a key; zero for a key that does not exist.
pub type Version = u64;

/// A key of the key-value service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Key {
    /// The share table.
    Shares,
    /// The lease of the gate at a peer address.
    Lease(SocketAddr),
}

/// A value of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Value {
    /// The share table.
    Shares(ShareTable),
    /// The lease of a gate.
    Lease(LeaseRecord),
}

/// A call to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Read a key.
    Get(Key),
    /// Compare-and-swap: write a key if its version is `expected`.
    Swap {
        /// Key to write.
        key: Key,
        /// Version that the key must have.
        expected: Version,
        /// Identifier of the write; retries use the same one.
        write_id: String,
        /// Value to write.
        value: Value,
    },
    /// Wait for a newer version of the share table.
    Watch {
        /// Version that is known already.
        after: Version,
        /// Time-out of the wait.
        wait: Duration,
    },
    /// No call: the share was given back and no more calls follow.
    Done,
}

/// Outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Version and value that were read; `None` when the key does not exist, or when a watch saw
    /// nothing newer.
    Found(Option<(Version, Value)>),
    /// The value was written, with this version.
    Written(Version),
    /// The key had another version, and nothing was written.
    Conflict,
    /// The outcome is unknown: a write may have taken effect, or may still do so.
    Unknown,
}

/// Periods by which a share is maintained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Interval at which gates contact each other.
    pub contact_interval: Duration,
    /// Lease duration: how long a share may be used after the last renewal of its lease.
    pub lease_duration: Duration,
    /// Longest time for which tokens may still be used after they were lent or charged.
    pub max_token_hold: Duration,
}
