//! The gate, a proxy between callers and upstreams. It authenticates, admits, queues and routes
//! requests, streams the answers, and drains before it stops.
//!
//! A gate runs on one thread, because capnp objects are not `Send` and entry instances are small.
//! Throughput grows by adding instances.

mod admin;
pub mod allowances;
mod assembly;
pub mod auth;
mod body;
mod completion;
mod context;
mod dispatch;
mod error;
mod gate;
mod handler;
pub mod in_memory;
pub mod metrics;
mod models;
pub mod peers;
pub mod placement_view;
mod queue;
pub mod request_id;
mod request_log;
pub mod services;
pub mod status;

pub(crate) use comfreyweir_http::{caller, listener};
pub use comfreyweir_http::{caller::CallerConnection, shutdown, upstream};

pub use crate::{
    assembly::spawn,
    completion::DEADLINE_HEADER,
    context::{GateContext, GateKv},
    error::{MayHaveRun, Refusal, RefusalCode},
    gate::{Gate, GateError, spawn_with},
};
