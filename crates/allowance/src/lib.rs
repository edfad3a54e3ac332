//! Token allowances of workspaces, shared between gates: arithmetic and state machines without
//! input or output.
//!
//! Every gate owns a weight, a part of every workspace's rate and burst. The weights of all gates
//! never sum to more than the whole ([`shares`]), a gate stops using its weight before another
//! may take it ([`lease`], [`keeper`]), and each gate spends its part through token buckets ([`ledger`]),
//! which can lend to each other without ever making a token.

mod bucket;
pub mod drift;
pub mod estimate;
pub mod keeper;
pub mod lease;
pub mod ledger;
pub mod pace;
pub mod shares;

pub use crate::bucket::Terms;
