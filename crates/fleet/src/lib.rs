//! Decision logic of an entry instance: which route a request takes, whether its workspace's quota
//! admits it, which upstream runs it, and which engine holds which model.
//!
//! Nothing here does I/O or reads a clock; callers pass the time in. Every decision can thus be
//! tested under realistic load without a network.

pub mod closures;
pub mod config;
pub mod directory;
pub mod duty;
pub mod freshness;
pub mod health;
pub mod holder_search;
pub mod intake;
pub mod limits;
pub mod load;
pub mod origin_index;
pub mod placement_log;
pub mod planner;
pub mod prefix_cache;
pub mod quarantine;
pub mod quota;
pub mod report_pacing;
pub mod request;
pub mod retry_budget;
pub mod run_times;
pub mod store_contact;
pub mod stream_origins;
pub mod upstream;
pub mod upstream_choice;
pub mod versioned_list;
pub mod zones;
