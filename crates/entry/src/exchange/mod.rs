//! State exchange between the instances and the holder of the planning duty.
//!
//! Every instance reports its local state to the holder, which answers with the combined state of
//! all instances. The cost grows linearly with the number of instances, not quadratically.

pub(crate) mod client;
pub(crate) mod config;
pub(crate) mod grants;
pub(crate) mod message;
pub(crate) mod origins;
pub(crate) mod permits;
pub(crate) mod server;
pub(crate) mod trials;
