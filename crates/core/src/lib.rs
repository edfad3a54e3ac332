//! The command lines of the programs.

pub mod client;
pub mod daemon;
pub mod dev;
pub mod logging;
