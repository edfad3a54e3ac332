//! Placement decisions, made from the plan of a cell, the reports of its engines and the demand.
//!
//! This crate does no input or output. [`holder::Holder`] is the state machine of a cell's holder;
//! the planner daemon passes it reports and outcomes, and carries out the writes and orders that it
//! returns. Load order, server choice and idle time are separate policies in [`load_order`],
//! [`server_choice`] and [`idle`].

pub mod artifact_spec;
mod build_view;
mod decide;
pub mod demand;
pub mod engine_orders;
mod evict;
pub mod holder;
pub mod idle;
pub mod lease;
pub mod load_order;
pub mod load_times;
mod reconcile;
pub mod record;
mod retire;
pub mod server;
pub mod server_choice;
pub mod view;
