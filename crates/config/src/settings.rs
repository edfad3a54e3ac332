//! Settings of the gate and planner daemons.

use std::{net::SocketAddr, path::PathBuf};

use serde::{Deserialize, Serialize};

/// The instance that a daemon runs on, and the platform services that it uses.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address of the key-value service.
    pub kv: SocketAddr,
    /// Address of the platform's list of instances.
    pub instances: SocketAddr,
    /// File with the secret that authenticates processes of the system to each other.
    pub peer_secret_file: PathBuf,
}

/// Settings of the gate daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GateSettings {
    /// The instance that the daemon runs on, and the platform.
    pub instance: InstanceSettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for health checks, metrics and operators.
    pub admin: SocketAddr,
    /// Address for other processes of the system. It identifies the gate's allowance share.
    pub peer: SocketAddr,
    /// Address of the planner of the same instance.
    pub planner: SocketAddr,
    /// Limits on requests and connections.
    #[serde(default)]
    pub limits: RequestLimits,
    /// Intervals and time limits.
    #[serde(default)]
    pub timing: GateTiming,
}

/// Settings of the planner daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlannerSettings {
    /// The instance that the daemon runs on, and the platform.
    pub instance: InstanceSettings,
    /// Address for health checks, metrics and operators.
    pub admin: SocketAddr,
    /// Address for other processes of the system.
    pub peer: SocketAddr,
    /// Intervals and time limits.
    #[serde(default)]
    pub timing: PlannerTiming,
}

/// Limits on requests and connections.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestLimits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of waiting requests in this process.
    pub waiting: usize,
    /// Maximum number of open connections in this process.
    pub connections: usize,
    /// Deadline of a request whose caller sets none, in ms.
    pub deadline_ms: u64,
    /// Longest deadline that a caller may set, in ms.
    pub max_deadline_ms: u64,
    /// Time limit for a caller to send the head of a request, in ms.
    pub head_ms: u64,
    /// Longest pause of a caller or an upstream within a body, in ms.
    pub stall_ms: u64,
    /// Time that a caller's connection may stay open between two requests, in ms.
    pub idle_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            waiting: 1_000,
            connections: 10_000,
            deadline_ms: 60_000,
            max_deadline_ms: 600_000,
            head_ms: 5_000,
            stall_ms: 30_000,
            idle_ms: 75_000,
        }
    }
}

/// Intervals and time limits of a gate.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct GateTiming {
    /// Interval between contacts with peers and with the planner, in ms.
    pub contact_ms: u64,
    /// Time without contact to the key-value service or a peer after which the gate counts as cut
    /// off, in ms.
    pub cut_off_ms: u64,
    /// Time after which the share of an unreachable gate may be given to others, in ms.
    pub share_lapse_ms: u64,
    /// Longest time that a gate holds tokens borrowed from another, in ms. A request that uses
    /// more tokens than one gate owns should end within this time.
    pub loan_hold_ms: u64,
    /// Longest time that a request waits for tokens that will become available, in ms. The wait is
    /// at most half of the time left until the deadline of the request.
    pub token_wait_ms: u64,
    /// Time between turning unready and closing idle connections at a stop, in ms.
    pub stop_notice_ms: u64,
}

impl Default for GateTiming {
    fn default() -> Self {
        Self {
            contact_ms: 500,
            cut_off_ms: 4_000,
            share_lapse_ms: 600_000,
            loan_hold_ms: 60_000,
            token_wait_ms: 10_000,
            stop_notice_ms: 1_000,
        }
    }
}

/// Intervals and time limits of a planner.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlannerTiming {
    /// Time after the last confirmed renewal of its lease during which the holder of a cell may
    /// decide placement, in ms.
    pub lease_ms: u64,
    /// Safety margin between the expiry of a lease and its takeover by another process, in ms.
    pub margin_ms: u64,
    /// Interval between reads of the engines' reports, in ms.
    pub report_ms: u64,
    /// Time that an idle model stays loaded, in ms.
    pub keep_idle_ms: u64,
}

impl Default for PlannerTiming {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            margin_ms: 500,
            report_ms: 250,
            keep_idle_ms: 300_000,
        }
    }
}
