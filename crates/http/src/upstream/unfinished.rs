//! Bytes of answers that are kept because more of them may come, such as parts of heads, of chunk headers
//! and of events, summed over all calls of a client.
//!
//! A faulty upstream may send such bytes without end. Each call has a limit of its own, but many calls
//! together would still take all memory. While their sum is above a limit, a call fails that
//! holds more than the unfinished parts of an ordinary answer.

use std::{cell::Cell, rc::Rc};

/// Largest unfinished part of an ordinary answer, in bytes: a head, or an event.
const ORDINARY_BYTES: u64 = 4 << 10;

/// The sum over all calls. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct UnfinishedBytes(Rc<Sum>);

#[derive(Debug)]
struct Sum {
    held: Cell<u64>,
    limit: u64,
}

/// What one call holds. Dropping it releases that.
#[derive(Debug)]
pub(super) struct UnfinishedPart {
    sum: UnfinishedBytes,
    bytes: u64,
}

impl UnfinishedBytes {
    /// Nothing is held; `limit` is in bytes.
    pub(super) fn new(limit: u64) -> Self {
        Self(Rc::new(Sum {
            held: Cell::new(0),
            limit,
        }))
    }

    /// Begins to count for one call.
    pub(super) fn part(&self) -> UnfinishedPart {
        UnfinishedPart {
            sum: self.clone(),
            bytes: 0,
        }
    }
}

impl UnfinishedPart {
    /// Bytes that the call holds.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Replaces the bytes that the call holds.
    pub(super) fn set(&mut self, bytes: u64) {
        let held = &self.sum.0.held;
        held.set(held.get() - self.bytes + bytes);
        self.bytes = bytes;
    }

    /// Whether the call may hold more than it does.
    pub(super) fn may_grow(&self) -> bool {
        self.bytes <= ORDINARY_BYTES || self.sum.0.held.get() <= self.sum.0.limit
    }
}

impl Drop for UnfinishedPart {
    fn drop(&mut self) {
        self.set(0);
    }
}
