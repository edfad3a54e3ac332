//! Stand-ins for the platform and the upstreams: key-value service, list of instances, model
//! engines with their weight store, plain services, and a fault-injecting TCP proxy.
//!
//! Each stand-in is a running handle of this library; the program `comfreyweir-standins` runs
//! many of them from one file. Every stand-in can have a control address of its own, whose paths
//! start with `/test/`, so that a fault of the stand-in never hides its record.

pub mod engine;
mod error;
pub mod http;
pub mod instances;
pub mod kv;
pub mod program;
pub mod proxy;
pub mod service;
mod tap;
pub mod timeline;
pub mod weights;

pub use crate::error::StandinError;
