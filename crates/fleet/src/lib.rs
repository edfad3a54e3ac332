//! Decisions of an entry instance on a platform: which route a request takes, whether its
//! workspace may have it, which upstream runs it, and which engine holds which model.
//!
//! Nothing here does input or output or reads a clock; callers pass the time in. That makes every
//! decision testable under the load that it is meant for, without a network.

pub mod budget;
pub mod choice;
pub mod config;
pub mod directory;
pub mod duty;
pub mod events;
pub mod health;
pub mod kept;
pub mod load;
pub mod planner;
pub mod quota;
pub mod request;
pub mod upstream;
