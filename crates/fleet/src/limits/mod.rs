//! Limits that upstreams in need name in their answers: how many requests a second they take from all
//! instances together.

mod instance;
mod statements;

pub use self::{instance::InstanceLimits, statements::LimitChange};
