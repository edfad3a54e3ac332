//! Token allowances of workspaces, shared between gates: arithmetic and state machines without I/O.
//!
//! Every gate owns a weight: the part of each workspace's rate and burst that it may use. The
//! weights of all gates never sum to more than the whole ([`shares`]). A gate stops using its
//! weight before another gate may take it over ([`lease`], [`share_manager`]). Each gate spends its
//! part through token buckets ([`ledger`]), which can lend tokens to each other but never create
//! any.

mod bucket;
pub mod drift;
pub mod estimate;
pub mod lease;
pub mod ledger;
pub mod share_manager;
pub mod shares;
pub mod token_rate;

pub use crate::bucket::RateLimit;
