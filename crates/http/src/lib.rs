//! HTTP on both sides of a request: callers' connections, and calls to upstreams.
//!
//! Both front doors of the system, the product's own and a platform's, accept callers and call
//! upstreams through this crate.

pub mod body;
pub mod caller;
pub mod headers;
pub mod listener;
pub mod stopping;
pub mod upstream;
