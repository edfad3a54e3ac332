//! An entry instance: one process that serves callers' requests and follows the platform's store.
//! One instance at a time also holds the planning duty: it decides which models and adapters the
//! engines load, and sends them orders.
//!
//! All tasks run on one thread: entry instances have a fraction of a core, and code between two
//! awaits is atomic without locks. The decision logic is in `comfreyweir-fleet`; the platform is
//! accessed through [`platform::Platform`].

mod admin;
mod allowance_metrics;
mod caller_memory;
mod duty;
mod exchange;
mod follow;
mod instance;
mod limits;
mod log_limiter;
mod metrics;
pub mod platform;
mod quarantine;
mod serve;
mod state;
mod work_times;
mod zones;

pub use crate::instance::{Entry, EntryError, spawn};
