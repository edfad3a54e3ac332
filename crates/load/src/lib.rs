//! Load and experiment tool. It sends open-loop load that imitates two deployments to real daemons
//! with stand-ins for the external services, measures how state, messages, processor time and
//! memory grow for capacity planning, and simulates policies on a virtual clock.
//!
//! The tool starts its processes itself, as tests do, and is never part of a deployment.

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
