//! Settings of one process.

use std::{net::SocketAddr, path::PathBuf};

use serde::{Deserialize, Serialize};

/// What every daemon needs to know about its instance and the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
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
    /// Instance and platform.
    pub instance: Instance,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for health checks, metrics and operators.
    pub admin: SocketAddr,
    /// Address for other processes of the system. It identifies the gate's allowance share.
    pub peer: SocketAddr,
    /// Address of the planner of the same instance.
    pub planner: SocketAddr,
    /// Limits of requests.
    #[serde(default)]
    pub limits: Limits,
    /// Periods and lapses.
    #[serde(default)]
    pub timing: GateTiming,
}

/// Settings of the planner daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlannerSettings {
    /// Instance and platform.
    pub instance: Instance,
    /// Address for health checks, metrics and operators.
    pub admin: SocketAddr,
    /// Address for other processes of the system.
    pub peer: SocketAddr,
    /// Periods and lapses.
    #[serde(default)]
    pub timing: PlannerTiming,
}

/// Limits of requests at a gate.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Requests that may wait at once in this gate.
    pub waiting: usize,
    /// Connections that may be open at once in this gate.
    pub connections: usize,
    /// Time a request has when its caller names none, in ms.
    pub deadline_ms: u64,
    /// Longest time a caller may ask for, in ms.
    pub max_deadline_ms: u64,
    /// Time that a caller has to send the head of a request, in ms.
    pub head_ms: u64,
    /// Longest pause of a caller or an upstream within a body, in ms.
    pub stall_ms: u64,
    /// Time that a caller's connection may stay open between two requests, in ms.
    pub idle_ms: u64,
}

impl Default for Limits {
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

/// Periods and lapses of a gate.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct GateTiming {
    /// Period of contact with peers and with the planner, in ms.
    pub contact_ms: u64,
    /// Time without service and peers after which the gate is cut off, in ms.
    pub cut_off_ms: u64,
    /// Time after which a share of an unreachable gate may be given to others, in ms.
    pub share_lapse_ms: u64,
    /// Longest time that a gate holds tokens borrowed from another, in ms. A request that takes
    /// more tokens than one gate owns should end within it.
    pub loan_hold_ms: u64,
    /// Longest time that a request waits for tokens that will be there, in ms. Half of the time
    /// that the request has left counts if it is shorter.
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

/// Periods and lapses of a planner.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlannerTiming {
    /// Time that a cell's holder may decide after its last confirmed renewal, in ms.
    pub lease_ms: u64,
    /// Margin between a lapsed lease and its successor, in ms.
    pub margin_ms: u64,
    /// Period of reading the engines' reports, in ms.
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
