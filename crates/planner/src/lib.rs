//! The planner: decides which upstream loads which model, adapter and version, and sends the orders
//! to the engines.
//!
//! Every instance runs one planner. The holder of a cell's lease decides for that cell; the other
//! planners are on standby. The placement decisions are in `comfreyweir_placement`; this crate
//! reads and writes the cell record, calls the engines and answers the gates.

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
