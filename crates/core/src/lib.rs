//! The command lines of the programs.

pub mod daemon;
pub mod logging;
