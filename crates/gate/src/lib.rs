//! The gate: authenticates, admits, queues, routes, streams and drains requests between callers
//! and upstreams.
//!
//! A gate runs on one thread, because capnp objects are not `Send` and entry instances are small;
//! more throughput comes from more instances.

pub mod allowances;
mod error;
pub mod peers;
pub mod placement_view;
pub mod services;

pub use crate::error::{Code, Refusal, Run};
