//! Settings of an entry instance on a platform.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    settings::Limits,
    settings_file::{Mistakes, SettingsFile},
};

/// Settings of the entry daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The instance.
    pub instance: EntryInstance,
    /// Where it listens.
    pub listen: EntryListen,
    /// The platform's store.
    pub store: StoreSettings,
    /// Limits of requests.
    #[serde(default)]
    pub limits: Limits,
    /// Bounds that the platform sets, and periods.
    #[serde(default)]
    pub timing: EntryTiming,
    /// Budget of repeated sends.
    #[serde(default)]
    pub repeats: RepeatSettings,
}

/// The instance that a process runs on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryInstance {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Processor of the instance, in cores.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// Bandwidth of the instance's link, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
}

fn one_core() -> f64 {
    1.0
}

fn default_link_mbps() -> f64 {
    1_000.0
}

/// Where an entry instance listens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the balancer asks for readiness.
    pub ready: SocketAddr,
    /// Address for other processes of the system.
    pub peer: SocketAddr,
    /// Address for metrics, health checks and operators.
    pub admin: SocketAddr,
}

/// The platform's store.
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

/// Bounds that the platform sets, and periods.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntryTiming {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Time between turning unready and closing idle connections at a stop, in ms. The balancer
    /// takes two misses of one question a second.
    pub stop_notice_ms: u64,
    /// Time within which upstreams that leave must get no new request, in ms.
    pub drain_ms: u64,
    /// Time within which a new configuration must be in force, in ms.
    pub config_ms: u64,
    /// Time that orders of two holders of the planning duty must lie apart, in ms.
    pub order_rest_ms: u64,
    /// Time after a suspension before the next order, in ms.
    pub thaw_ms: u64,
    /// Longest time of one call to the store, in ms. A slow store answers within some hundred.
    pub store_call_ms: u64,
    /// Period of the exchange with the holder of the planning duty, in ms.
    pub exchange_ms: u64,
}

impl Default for EntryTiming {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            stop_notice_ms: 2_500,
            drain_ms: 2_000,
            config_ms: 2_000,
            order_rest_ms: 3_000,
            thaw_ms: 300,
            store_call_ms: 1_000,
            exchange_ms: 200,
        }
    }
}

/// Budget of repeated sends of one service, over all instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RepeatSettings {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Repeats allowed besides, in each window.
    pub extra: f64,
}

impl Default for RepeatSettings {
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
        let mut mistakes = Mistakes::default();
        let named = |text: &str| !text.trim().is_empty();
        mistakes.unless(named(&self.instance.name), "instance.name is empty");
        mistakes.unless(named(&self.instance.zone), "instance.zone is empty");
        mistakes.addresses(&[
            ("listen.callers", self.listen.callers),
            ("listen.ready", self.listen.ready),
            ("listen.peer", self.listen.peer),
            ("listen.admin", self.listen.admin),
            ("store.addr", self.store.addr),
        ]);
        mistakes.fixed_port("listen.peer", self.listen.peer);
        let timing = &self.timing;
        mistakes.positive("timing.drain_ms", timing.drain_ms);
        mistakes.positive("timing.config_ms", timing.config_ms);
        mistakes.positive("timing.store_call_ms", timing.store_call_ms);
        mistakes.positive("timing.exchange_ms", timing.exchange_ms);
        mistakes.unless(
            Duration::from_millis(timing.stop_notice_ms) < timing.grace(),
            "timing.stop_notice_ms must be below timing.grace_s, or a stop ends by SIGKILL",
        );
        let repeats = &self.repeats;
        mistakes.unless(
            repeats.ratio >= 0.0 && repeats.extra >= 0.0,
            "repeats.ratio and repeats.extra must not be negative",
        );
        mistakes.unless(
            !repeats.window().is_zero(),
            "repeats.window_s must be above zero",
        );
        mistakes.0
    }
}

impl RepeatSettings {
    /// Length of the window.
    pub fn window(&self) -> Duration {
        Duration::try_from_secs_f64(self.window_s).unwrap_or_default()
    }
}

impl EntryTiming {
    /// Time between SIGTERM and SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or_default()
    }

    /// Longest time of one call to the store.
    pub fn store_call(&self) -> Duration {
        Duration::from_millis(self.store_call_ms)
    }

    /// Time within which upstreams that leave must get no new request.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Time within which a new configuration must be in force.
    pub fn config(&self) -> Duration {
        Duration::from_millis(self.config_ms)
    }

    /// Period of the exchange with the holder of the planning duty.
    pub fn exchange(&self) -> Duration {
        Duration::from_millis(self.exchange_ms)
    }
}
