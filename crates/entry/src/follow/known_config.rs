//! The configuration in force at this instance, and when it was last known to be the newest.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyweir_clock::whole_millis;
use comfreyweir_fleet::{config::Config, freshness::Freshness};
use tokio::sync::Notify;

use crate::{platform::Platform, state::EntryContext};

/// Maximum number of logged mistakes of one configuration.
const MAX_LOGGED_MISTAKES: usize = 10;

/// The configuration in force, its version and its age.
#[derive(Default)]
pub(crate) struct KnownConfig {
    config: RefCell<Rc<Config>>,
    /// The configuration as the operator wrote it.
    value: RefCell<Bytes>,
    freshness: Cell<Freshness<u64>>,
    /// Notified when a newer configuration was heard of.
    pub(crate) newer_heard: Notify,
}

impl KnownConfig {
    fn update_freshness<R>(&self, update: impl FnOnce(&mut Freshness<u64>) -> R) -> R {
        let mut freshness = self.freshness.get();
        let result = update(&mut freshness);
        self.freshness.set(freshness);
        result
    }
}

impl<P> EntryContext<P>
where
    P: Platform,
{
    /// The configuration in force. Its version is 0 until one is known.
    pub(crate) fn config(&self) -> Rc<Config> {
        Rc::clone(&self.known_config.config.borrow())
    }

    /// The configuration in force as the operator wrote it.
    pub(crate) fn config_value(&self) -> Bytes {
        self.known_config.value.borrow().clone()
    }

    /// Applies a configuration if it can be decoded and is newer than the one in force. Returns whether
    /// it could be decoded.
    pub(crate) fn apply_config(&self, value: &Bytes, source: &str) -> bool {
        if *value == *self.known_config.value.borrow() {
            return true;
        }
        let (config, mistakes) = match self.platform.decode_config(value) {
            Ok(decoded) => decoded,
            Err(e) => {
                let reason = e.to_string();
                spdlog::error!("configuration cannot be decoded; keeping the previous one", kv: {
                    source, reason = reason.as_str()
                });
                return false;
            }
        };
        let before = self.known_config.config.borrow().version;
        let version = config.version;
        if version <= before {
            return true;
        }
        let now = self.now();
        // -1 stands for a time that is not known.
        let age_ms = self.config_age(now).map_or(-1, signed_millis);
        let heard_ms = self.newer_config_age(now).map_or(-1, signed_millis);
        self.known_config
            .update_freshness(|config| config.take(version, None, now));
        for mistake in mistakes.iter().take(MAX_LOGGED_MISTAKES) {
            let reason = mistake.to_string();
            spdlog::error!("invalid part of the configuration is ignored", kv: {
                version, reason = reason.as_str()
            });
        }
        *self.known_config.config.borrow_mut() = Rc::new(config);
        *self.known_config.value.borrow_mut() = value.clone();
        spdlog::info!("configuration in force", kv: {
            version, before, source, mistakes = mistakes.len(), age_ms, heard_ms
        });
        self.record_cold_list();
        self.state_changed.notify_waiters();
        true
    }

    /// Records which configuration the holder has, and that it was the newest one at `at`.
    pub(crate) fn hear_of_config(&self, version: u64, at: Option<Instant>) {
        let now = self.now();
        if self.update_config_freshness(|config| config.hear_of(version, at, now)) {
            self.known_config.newer_heard.notify_one();
        }
    }

    /// Time since a configuration was heard of that is newer than the one in force; none if there
    /// is none.
    pub(crate) fn newer_config_age(&self, now: Instant) -> Option<Duration> {
        self.known_config.freshness.get().newer_age(now)
    }

    /// Records that the configuration in force was the newest one at `at`. `None`, the result of a
    /// subtraction that [`Instant`] cannot represent, has no effect.
    pub(crate) fn confirm_config(&self, at: Option<Instant>) {
        self.update_config_freshness(|config| config.confirm(at));
    }

    /// Updates the age, and logs and counts a confirmation that comes later than the time limit of
    /// configurations.
    fn update_config_freshness<R>(&self, update: impl FnOnce(&mut Freshness<u64>) -> R) -> R {
        let confirmed_at = || self.known_config.freshness.get().confirmed_at();
        let before = confirmed_at();
        let result = self.known_config.update_freshness(update);
        let age = before.map(|before| self.now().saturating_duration_since(before));
        let is_outdated = |age: &Duration| *age > self.settings().timing.max_config_delay();
        if confirmed_at() != before
            && let Some(age) = age.filter(is_outdated)
        {
            self.metrics.count_outdated_config();
            let version = self.config().version;
            spdlog::warn!("configuration was not confirmed in time", kv: {
                version, age_ms = whole_millis(age)
            });
        }
        result
    }

    /// Whether the configuration in force was the newest within the time in which a newer one must be in
    /// force.
    pub(crate) fn is_config_in_time(&self, now: Instant) -> bool {
        let limit = self.settings().timing.max_config_delay();
        self.known_config.freshness.get().is_younger(limit, now)
    }

    /// Time since the configuration in force was last confirmed to be the newest; none if it never
    /// was.
    pub(crate) fn config_age(&self, now: Instant) -> Option<Duration> {
        self.known_config.freshness.get().age(now)
    }
}

fn signed_millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
