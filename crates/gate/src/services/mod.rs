//! Plain services: routes by path prefix, calls that run at most once, idempotency keys.

pub mod claim;
pub mod claims;
pub mod routes;
