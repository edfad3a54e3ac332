//! Request queues with fairness between workspaces, and choice of upstream.
//!
//! Nothing here does I/O or reads a clock, so that decisions can be tested on random histories and
//! benchmarked on simulated time.

pub mod affinity;
pub mod choice;
pub mod fair;
pub mod load;
pub mod service_times;
