//! Placement decisions: pure functions of the cell's plan, reports and demand.
//!
//! Nothing here does input or output. [`holder::Holder`] is the state machine of a cell's holder;
//! the planner daemon feeds it with answers and carries out what it asks for. The order of loads,
//! the choice of server and the time that idle models are kept are small policies of their own.

pub mod choice;
mod decide;
pub mod demand;
pub mod estimate;
mod evict;
pub mod holder;
pub mod idle;
pub mod lease;
pub mod order;
pub mod orders;
mod outlook;
mod reconcile;
pub mod record;
mod retire;
pub mod server;
pub mod spec;
pub mod view;
