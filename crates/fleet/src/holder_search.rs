//! Finds the holder of the planning duty by asking other instances.
//!
//! An instance that cannot read the store does not see that the duty has changed hands. Others that
//! can will name the new holder, so the instance asks them in turn.

use std::net::SocketAddr;

/// Search for the holder by one instance.
#[derive(Debug, Default)]
pub struct HolderSearch {
    /// Holder that another instance has named since the last failed call.
    named: Option<SocketAddr>,
    /// Calls since the last answer of a holder that led no further.
    failed_calls: usize,
}

impl HolderSearch {
    /// Address to call next: the holder that another instance has just named, else the known holder
    /// and, while calls fail, in alternation with it the other instances in turn. `others` are the
    /// peer addresses of all instances but this one.
    pub fn next(
        &self,
        known_holder: Option<SocketAddr>,
        others: &[SocketAddr],
    ) -> Option<SocketAddr> {
        if self.named.is_some() {
            return self.named;
        }
        if self.failed_calls.is_multiple_of(2) && known_holder.is_some() {
            return known_holder;
        }
        let index = self.failed_calls / 2 % others.len().max(1);
        others.get(index).copied().or(known_holder)
    }

    /// Records that the holder answered.
    pub fn record_found(&mut self) {
        self.failed_calls = 0;
    }

    /// Records that the instance at `addr` is not the holder, and which other one it named, if any.
    /// Returns whether it named one.
    pub fn record_elsewhere(&mut self, addr: SocketAddr, named: Option<SocketAddr>) -> bool {
        self.named = named.filter(|named| *named != addr);
        if self.named.is_none() {
            self.failed_calls += 1;
        }
        self.named.is_some()
    }

    /// Records that a call failed.
    pub fn record_failure(&mut self) {
        self.named = None;
        self.failed_calls += 1;
    }
}
