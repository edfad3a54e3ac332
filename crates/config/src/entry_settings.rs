//! Settings of the entry daemon.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    settings::RequestLimits,
    settings_file::{SettingsCheck, SettingsFile},
};

/// Settings of the entry daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The instance that the daemon runs on.
    pub instance: EntryInstance,
    /// Addresses that the daemon listens on.
    pub listen: EntryListen,
    /// Connection to the platform's store.
    pub store: StoreSettings,
    /// Limits on requests and connections.
    #[serde(default)]
    pub limits: RequestLimits,
    /// Time limits that the platform sets, and intervals.
    #[serde(default)]
    pub timing: EntryTiming,
    /// Retry budget of each service.
    #[serde(default)]
    pub repeats: RetrySettings,
}

/// The instance that a daemon runs on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryInstance {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of that zone; none if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<String>,
    /// Regions by availability zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// CPU capacity of the instance, in cores.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// Bandwidth of the instance's link, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Memory of the instance, in MB. What the process may hold for callers follows from it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

fn default_memory_mb() -> f64 {
    256.0
}

impl EntryInstance {
    /// Regions by availability zone, with that of the instance's own zone.
    pub fn regions(&self) -> BTreeMap<String, String> {
        let mut regions = self.zones.clone();
        if let Some(region) = &self.region {
            regions
                .entry(self.zone.clone())
                .or_insert_with(|| region.clone());
        }
        regions
    }
}

fn one_core() -> f64 {
    1.0
}

fn default_link_mbps() -> f64 {
    1_000.0
}

/// Addresses that an entry instance listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check for the load balancer.
    pub ready: SocketAddr,
    /// Address for other processes of the system.
    pub peer: SocketAddr,
    /// Address for metrics, health checks and operators.
    pub admin: SocketAddr,
}

/// Connection to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub addr: SocketAddr,
    /// Shortest lease that the store grants, in ms.
    #[serde(default = "default_min_lease_ms")]
    pub min_lease_ms: u64,
}

fn default_min_lease_ms() -> u64 {
    1_000
}

/// Time limits that the platform sets, and intervals.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryTiming {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Time between turning unready and closing idle connections at a stop, in ms. The load
    /// balancer checks readiness once per second and removes an instance after two failed checks.
    pub stop_notice_ms: u64,
    /// Time within which an upstream that is leaving must stop getting new requests, in ms.
    pub drain_ms: u64,
    /// Period at which upstreams write their entries in the store, in ms. An entry lapses after
    /// three of them without a write.
    pub upstream_heartbeat_ms: u64,
    /// Time limit for a new configuration to take effect, in ms.
    pub config_ms: u64,
    /// Time within which nothing more may be sent to an evacuated availability zone, in ms. Without
    /// it, evacuations are neither read nor watched.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub evacuation_ms: Option<u64>,
    /// Minimum time between the last order of one holder of the planning duty and the first order
    /// of the next, in ms.
    pub order_rest_ms: u64,
    /// Time after the process was suspended during which it sends no orders, in ms.
    pub thaw_ms: u64,
    /// Time limit of one call to the store, in ms, and of a read without any progress. A slow store answers
    /// within a few hundred ms.
    pub store_call_ms: u64,
    /// Interval between exchanges with the holder of the planning duty, in ms.
    pub exchange_ms: u64,
}

impl Default for EntryTiming {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            stop_notice_ms: 2_500,
            drain_ms: 2_000,
            upstream_heartbeat_ms: 1_200,
            config_ms: 2_000,
            evacuation_ms: None,
            order_rest_ms: 3_000,
            thaw_ms: 300,
            store_call_ms: 1_000,
            exchange_ms: 200,
        }
    }
}

/// Retry budget of one service, over all instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Length of the window over which requests and retries are counted, in seconds.
    pub window_s: f64,
    /// Retries allowed in each window in addition to those by `ratio`.
    pub extra: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            window_s: 10.0,
            extra: 20.0,
        }
    }
}

impl SettingsFile for EntrySettings {
    const DEFAULTS: &'static str = include_str!("entry_defaults.toml");

    fn mistakes(&self) -> Vec<String> {
        let mut check = SettingsCheck::default();
        let is_not_blank = |text: &str| !text.trim().is_empty();
        check.require(is_not_blank(&self.instance.name), "instance.name is empty");
        check.require(is_not_blank(&self.instance.zone), "instance.zone is empty");
        check.require(
            self.instance.memory_mb > 0.0,
            "instance.memory_mb must be above zero",
        );
        check.require_distinct_addresses(&[
            ("listen.callers", self.listen.callers),
            ("listen.ready", self.listen.ready),
            ("listen.peer", self.listen.peer),
            ("listen.admin", self.listen.admin),
            ("store.addr", self.store.addr),
        ]);
        check.require_fixed_port("listen.peer", self.listen.peer);
        let timing = &self.timing;
        check.require_positive("timing.drain_ms", timing.drain_ms);
        check.require_positive("timing.upstream_heartbeat_ms", timing.upstream_heartbeat_ms);
        check.require_positive("timing.config_ms", timing.config_ms);
        if let Some(evacuation_ms) = timing.evacuation_ms {
            check.require_positive("timing.evacuation_ms", evacuation_ms);
        }
        check.require_positive("timing.store_call_ms", timing.store_call_ms);
        check.require_positive("timing.exchange_ms", timing.exchange_ms);
        check.require(
            Duration::from_millis(timing.stop_notice_ms) < timing.grace(),
            "timing.stop_notice_ms must be below timing.grace_s, or a stop ends by SIGKILL",
        );
        let repeats = &self.repeats;
        check.require(
            repeats.ratio >= 0.0 && repeats.extra >= 0.0,
            "repeats.ratio and repeats.extra must not be negative",
        );
        check.require(
            !repeats.window().is_zero(),
            "repeats.window_s must be above zero",
        );
        check.0
    }
}

impl RetrySettings {
    /// Length of the window. Zero if `window_s` is not a valid duration.
    pub fn window(&self) -> Duration {
        Duration::try_from_secs_f64(self.window_s).unwrap_or_default()
    }
}

impl EntryTiming {
    /// Time between SIGTERM and SIGKILL. Zero if `grace_s` is not a valid duration.
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or_default()
    }

    /// Time limit of one call to the store.
    pub fn store_call_timeout(&self) -> Duration {
        Duration::from_millis(self.store_call_ms)
    }

    /// Time within which an upstream that is leaving must stop getting new requests.
    pub fn max_drain_delay(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Period at which upstreams write their entries in the store.
    pub fn upstream_heartbeat(&self) -> Duration {
        Duration::from_millis(self.upstream_heartbeat_ms)
    }

    /// Time limit for a new configuration to take effect.
    pub fn max_config_delay(&self) -> Duration {
        Duration::from_millis(self.config_ms)
    }

    /// Time within which nothing more may be sent to an evacuated availability zone; none if
    /// evacuations are not followed.
    pub fn max_evacuation_delay(&self) -> Option<Duration> {
        self.evacuation_ms.map(Duration::from_millis)
    }

    /// Interval between exchanges with the holder of the planning duty.
    pub fn exchange_interval(&self) -> Duration {
        Duration::from_millis(self.exchange_ms)
    }
}
