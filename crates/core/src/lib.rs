//! Command-line programs: the daemons, the operators' client and `comfreyweir dev`.

pub mod client;
pub mod daemon;
pub mod dev;
pub mod logging;
