//! Test clusters: gates, planners and stand-ins as real processes on loopback, with fault
//! proxies between them.
//!
//! For tests, the soak and the load tool only; no daemon depends on this crate. Each cluster claims
//! its own block of loopback addresses and uses fixed ports there, so that a process can be
//! restarted on the same address and clusters that run at once do not collide.

mod caller;
mod cluster;
mod error;
mod layout;
mod loopback_block;
mod metrics;
mod process;
pub mod record_checks;
mod spec;
mod wait;

pub use crate::{
    caller::{Answer, Caller, StreamedAnswer},
    cluster::{Cluster, NETWORK, PLATFORM, UPSTREAMS, gate_name, instance_name, planner_name},
    error::TestbedError,
    layout::{Layout, Link},
    loopback_block::LoopbackBlock,
    metrics::Metrics,
    process::{Process, ProcessUsage},
    spec::{ClusterSpec, EngineSpec, Programs, ServiceSpec},
    wait::{until, until_some},
};
