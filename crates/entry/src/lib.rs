//! An entry instance on a platform: one process that takes callers' requests, follows the
//! platform's store and, on one instance at a time, has the planning duty.
//!
//! It runs on one thread: entry instances have a fraction of a core, and a decision between two
//! awaits is atomic without locks. What it decides is in `comfreyweir-fleet`; what it needs of the
//! platform is [`ports::Platform`].

mod admin;
mod assembly;
mod duty;
mod exchange;
mod follow;
mod lines;
mod metrics;
pub mod ports;
mod serve;
mod state;

pub use crate::assembly::{Entry, EntryError, spawn};
