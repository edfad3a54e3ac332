//! The planner: decides which upstream holds which model, adapter and version, and orders it.
//!
//! Every instance runs one. The holder of a cell's lease decides for that cell, the others stand
//! by. The decisions themselves are in `comfreyweir_placement`; this crate reads and writes the
//! cell record, talks to the engines and answers the gates.

mod admin;
mod cell;
mod context;
mod engine;
mod error;
mod held_cell;
mod instance_watch;
mod metrics;
mod planner;
mod service;
mod status;
mod versioned_view;
mod writer;

pub use crate::{
    error::PlannerError,
    planner::{Planner, spawn},
};
