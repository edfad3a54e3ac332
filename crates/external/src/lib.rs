//! Bindings to what lies outside the system: the platform's key-value service and list of
//! instances, and the control interface of the model engines.
//!
//! Each binding stands in one module so that it can be exchanged for another deployment.

pub mod engine;
pub mod instances;
pub mod kv;
pub mod kv_counted;
pub mod kv_http;
