//! Exchange between the instances and the holder of the planning duty.
//!
//! Every instance tells the holder what it sees; the holder answers with what all see together.
//! The cost grows with the number of instances and not with its square.

pub(crate) mod client;
pub(crate) mod message;
pub(crate) mod server;
