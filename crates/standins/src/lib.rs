//! Stand-ins for the platform and the upstreams: key-value service, list of instances, model
//! engines with their weight store, plain services, and a fault-injecting TCP proxy.
//!
//! Each `spawn` function returns a handle to a running stand-in; the program
//! `comfreyweir-standins` runs any number of them from one settings file. A stand-in can have a
//! separate control address, whose paths start with `/test/`, so that its record can be read while
//! faults are injected into its service address.

pub mod engine;
mod error;
pub mod http;
pub mod instances;
pub mod kv;
pub mod program;
pub mod proxy;
mod recording_stream;
pub mod service;
pub mod timeline;
pub mod weights;

pub use crate::error::StandinError;
