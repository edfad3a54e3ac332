//! The planner: decides which upstream holds which model, adapter and version, and orders it.
//!
//! Every instance runs one. The holder of a cell's lease decides for that cell, the others stand
//! by. The decisions themselves are in `comfreyweir_placement`; this crate reads and writes the
//! cell record, talks to the engines and answers the gates.

mod admin;
mod board;
mod cell;
mod context;
mod engine;
mod error;
mod fleet;
mod hold;
mod metrics;
mod planner;
mod service;
mod status;
mod writer;

pub use crate::{
    error::PlannerError,
    planner::{Planner, spawn},
};
