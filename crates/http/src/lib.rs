//! HTTP on both sides of a request: callers' connections, and calls to upstreams.
//!
//! The two daemons that serve callers, the gate and the entry daemon of a platform, accept callers
//! and call upstreams through this crate.

pub mod body;
pub mod caller;
pub mod event_stream;
pub mod headers;
pub mod limited_client;
pub mod listener;
pub mod memory;
pub mod shutdown;
pub mod upstream;
