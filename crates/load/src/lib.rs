//! Load and experiment tool: open-loop arrivals after two deployments, run against real daemons
//! and stand-ins; slopes of state, messages, processor time and memory for capacity planning.
//!
//! The tool starts processes, as tests do; it is never part of a deployment.

pub mod allowances;
pub mod args;
pub mod arrivals;
pub mod capacity;
pub mod cold_starts;
pub mod compare;
pub mod cost;
pub mod deployment;
pub mod drive;
pub mod error;
pub mod fit;
pub mod program;
pub mod report;
pub mod slopes;

pub use crate::error::LoadError;
