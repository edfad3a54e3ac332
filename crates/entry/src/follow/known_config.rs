//! The configuration in force at this instance, when it was last known to be the newest, and what the
//! instance waits for if it is not.

use std::{
    cell::{Cell, RefCell},
    fmt::{self, Display},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyweir_clock::whole_millis;
use comfreyweir_delta::Pieces;
use comfreyweir_fleet::{config::Config, freshness::Freshness};
use tokio::sync::Notify;

use crate::{
    exchange::config::{ConfigId, ConfigPart, ConfigSender},
    platform::{Platform, Progress},
    state::EntryContext,
};

/// Largest configuration that is taken from another instance, in bytes.
const MAX_CONFIG_BYTES: usize = 8 << 20;
/// Time until the next configuration is applied, as a multiple of the time that the last one took: a
/// series leaves most of the processor to requests.
const APPLY_PAUSE_FACTOR: u32 = 4;
/// Longest pause of that kind, as a fraction of the time within which a configuration must be in force.
const MAX_APPLY_PAUSE_RATIO: f64 = 0.2;

/// Maximum number of logged mistakes of one configuration.
const MAX_LOGGED_MISTAKES: usize = 10;

/// Where a configuration comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The store.
    Store,
    /// A view of the holder of the planning duty.
    Holder,
    /// An instance that was asked for it, by its peer address.
    Instance(SocketAddr),
}

impl Source {
    /// Kind of the source.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Holder => "holder",
            Self::Instance(_) => "instance",
        }
    }
}

impl Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Instance(addr) => write!(f, "instance {addr}"),
            _ => f.write_str(self.name()),
        }
    }
}

/// The configuration in force, its version and its age.
#[derive(Default)]
pub(crate) struct KnownConfig {
    config: RefCell<Rc<Config>>,
    /// The configuration as the operator wrote it.
    value: RefCell<Bytes>,
    freshness: Cell<Freshness<u64>>,
    /// Notified when a newer configuration was heard of.
    pub(crate) newer_heard: Notify,
    /// What others need to get the configuration from here.
    pub(crate) sender: ConfigSender,
    /// Instances that the holder has named for getting the configuration from.
    pub(crate) sources: RefCell<Vec<SocketAddr>>,
    /// Size of the holder's configuration in bytes.
    heard_bytes: Cell<usize>,
    /// Until when no further configuration is applied.
    applies_from: Cell<Option<Instant>>,
    /// Transfer of a configuration in progress, and what has arrived of it.
    waits_for: Cell<Option<Source>>,
    progress: RefCell<Rc<Progress>>,
}

impl KnownConfig {
    /// Begins to wait for a transfer from a source, or ends to wait. Returns where to count what arrives.
    pub(crate) fn set_waits_for(&self, source: Option<Source>) -> Rc<Progress> {
        self.waits_for.set(source);
        let progress = Rc::<Progress>::default();
        *self.progress.borrow_mut() = Rc::clone(&progress);
        progress
    }

    /// Counts bytes of the transfer in progress.
    pub(crate) fn record_received(&self, bytes: usize) {
        self.progress.borrow().add(bytes);
    }

    /// What the instance waits for, for operators.
    pub(crate) fn waits_for(&self) -> String {
        self.waits_for.get().map_or_else(
            || "news of the holder".to_owned(),
            |source| format!("{source}, {} bytes arrived", self.progress.borrow().bytes()),
        )
    }

    /// Records the size of the holder's configuration.
    pub(crate) fn hear_of_size(&self, bytes: usize) {
        self.heard_bytes.set(bytes);
    }

    /// Size in bytes of the largest configuration of which this instance knows.
    pub(crate) fn size(&self) -> usize {
        self.value.borrow().len().max(self.heard_bytes.get())
    }

    /// How long no further configuration is applied.
    pub(crate) fn apply_pause(&self, now: Instant) -> Duration {
        let from = self.applies_from.get();
        from.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

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
    pub(crate) fn apply_config(&self, value: &Bytes, source: Source) -> bool {
        if *value == *self.known_config.value.borrow() {
            return true;
        }
        self.apply_new_config(value, Pieces::of(value), source)
    }

    /// Applies what the whole difference to a configuration results in, unless it is damaged or from
    /// another configuration than the one in force.
    pub(crate) fn apply_config_part(&self, part: &ConfigPart, source: Source) {
        let own = self.known_config.sender.id();
        if part.target.version <= own.version {
            return;
        }
        let empty = Bytes::new();
        let known = self.config_value();
        let base = match part.base {
            id if id == ConfigId::default() => Some(&empty),
            id => Some(&known).filter(|_| id == own),
        };
        let Some(base) = base else { return };
        let applied = comfreyweir_delta::apply(base, &part.bytes, MAX_CONFIG_BYTES);
        let reason = match applied.map(|text| (Pieces::of(&text), Bytes::from(text))) {
            Ok((pieces, value)) if pieces.hash() == part.target.hash => {
                self.apply_new_config(&value, pieces, source);
                return;
            }
            Ok(_) => "the result is not the configuration that was sent".to_owned(),
            Err(e) => e.to_string(),
        };
        let (version, source) = (part.target.version, source.to_string());
        spdlog::warn!("difference of configurations cannot be applied", kv: {
            version, source = source.as_str(), reason = reason.as_str()
        });
    }

    fn apply_new_config(&self, value: &Bytes, pieces: Pieces, source: Source) -> bool {
        let begun_at = self.now();
        let source_name = source.to_string();
        let source_text = source_name.as_str();
        let (config, mistakes) = match self.platform.decode_config(value) {
            Ok(decoded) => decoded,
            Err(e) => {
                let reason = e.to_string();
                spdlog::error!("configuration cannot be decoded; keeping the previous one", kv: {
                    source = source_text, reason = reason.as_str()
                });
                self.pause_applying(Duration::MAX);
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
        let id = ConfigId {
            version,
            hash: pieces.hash(),
        };
        self.known_config.sender.replace(id, pieces);
        self.metrics.count_config(source.name());
        spdlog::info!("configuration in force", kv: {
            version, before, source = source_text, bytes = value.len(), mistakes = mistakes.len(),
            age_ms, heard_ms
        });
        self.record_cold_list();
        self.state_changed.notify_waiters();
        let took = self.now().saturating_duration_since(begun_at);
        self.pause_applying(took * APPLY_PAUSE_FACTOR);
        true
    }

    /// Applies no further configuration for `time`, or the longest pause if that is shorter.
    fn pause_applying(&self, time: Duration) {
        let bound = self.settings().timing.max_config_delay();
        let pause = time.min(bound.mul_f64(MAX_APPLY_PAUSE_RATIO));
        self.known_config.applies_from.set(Some(self.now() + pause));
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

    /// Whether a newer configuration than the one in force has been known of for longer than it may take
    /// to be in force. An outage of the store is none: nothing newer is known of then.
    pub(crate) fn is_config_overdue(&self, now: Instant) -> bool {
        let limit = self.settings().timing.max_config_delay();
        self.newer_config_age(now).is_some_and(|age| age > limit)
    }

    /// Time since the configuration in force was last confirmed to be the newest; none if it never
    /// was.
    pub(crate) fn config_age(&self, now: Instant) -> Option<Duration> {
        self.known_config.freshness.get().age(now)
    }
}

/// Whole milliseconds of a time, for log lines in which -1 stands for a time that is not known.
pub(super) fn signed_millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
