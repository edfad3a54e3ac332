//! Request queues with fairness between workspaces, and choice of upstream.
//!
//! Nothing here does input or output or reads a clock, so that the decisions can be tested over
//! random histories and measured on simulated time.

pub mod affinity;
pub mod choice;
pub mod fair;
pub mod load;
pub mod pace;
