//! Clients of the services outside the system: the platform's key-value service and list of
//! instances, and the control interface of the model engines.
//!
//! Each client has its own module, so that another deployment can replace it.

pub mod engine;
pub mod instances;
pub mod kv;
pub mod kv_counted;
pub mod kv_http;
