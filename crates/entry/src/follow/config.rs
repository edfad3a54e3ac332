//! Follows the operator's configuration.
//!
//! The holder of the planning duty watches it in the store. With its views it tells the other instances
//! its version, and sends them what differs from theirs ([`crate::exchange::config`]). An instance that
//! hears of a newer one without getting it so, or whose own has not been confirmed for some time, asks for
//! it itself: the store if the whole takes little of its link, otherwise other instances first.
//!
//! All of this has to fit into the time within which a configuration must be in force, also if the
//! holder is lost and the first call of an instance to the store gets no answer: the age at which it
//! queries the store, the pause between checks of that age, and the repetitions of a read. A call that is
//! refused instead is repeated after [`RETRY_PAUSE`]. Transfers may take a part of the link and of the
//! processor only, and end if nothing arrives any more, not by a time for the whole.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use tokio::time::timeout;

use super::{
    RETRY_PAUSE,
    known_config::{Source, signed_millis},
    outage_log::OutageLog,
    repeated_read::{read_repeatedly, repeat_pause},
    watch_confirms_at,
};
use crate::{
    exchange::config::link_time,
    platform::{Platform, PlatformError, Progress, ReadLimit, StoreItem, WatchOutcome},
    state::EntryContext,
};

/// Longest time for which one watch call waits for a change, as a fraction of the time within which
/// a new configuration must be in force.
const WATCH_WAIT_RATIO: f64 = 0.2;
/// How long an instance that only checks its configuration lets the store wait for a change.
const CHECK_WAIT: Duration = Duration::from_millis(10);
/// Pause between two watch calls, so that a series of changes is fetched in batches.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Age of the last confirmation at which an instance other than the holder queries the store, as a
/// fraction of the time within which a new configuration must be in force.
const OWN_READ_AGE_RATIO: f64 = 0.45;
/// Upper bound of that fraction in large fleets, where reports to the holder are less frequent.
const MAX_OWN_READ_AGE_RATIO: f64 = 0.65;
/// Pause between checks of the configuration's age.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size of a configuration above which it is read and not watched, unless nothing changes: a watch sends
/// each version of a series as a whole.
const MAX_WATCHED_BYTES: usize = 256 << 10;
/// Longest time over this instance's link for which it gets a configuration from the store first, as a
/// fraction of the time within which a new one must be in force. Above that it asks other instances first.
const MAX_STORE_LINK_RATIO: f64 = 0.05;
/// Size of a configuration in an answer of the store, relative to its own.
const STORE_ENCODING_RATIO: f64 = 4.0 / 3.0;
/// Pause after a change, as a multiple of the time that it takes over the link: series leave most of the
/// bandwidth to everything else.
const LINK_PAUSE_FACTOR: u32 = 2;
/// Longest pause of that kind, as a fraction of the time within which a configuration must be in force.
const MAX_LINK_PAUSE_RATIO: f64 = 0.15;
/// Pause between two log lines of a configuration that is not in force in time.
const OVERDUE_LOG_PAUSE: Duration = Duration::from_secs(2);

/// Keeps the configuration up to date. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>)
where
    P: Platform,
{
    let mut outage_log = OutageLog::new("configuration in the store");
    let mut follower = Follower::default();
    loop {
        follower.wait_until_due(&cx).await;
        if asks_instances_first(&cx) && update_from_instances(&cx).await {
            sleep(WATCH_PAUSE).await;
            continue;
        }
        let called_at = cx.now();
        let progress = cx.known_config.set_waits_for(Some(Source::Store));
        let updated = follower.update(&cx, called_at, &progress).await;
        cx.known_config.set_waits_for(None);
        match updated {
            Ok(()) => {
                cx.record_store_answer();
                outage_log.record_success(cx.now());
                sleep(follower.pause(&cx)).await;
            }
            Err(e) => {
                follower.after = None;
                cx.record_store_failure(&e);
                outage_log.record_failure(&e, cx.now());
                if cx.newer_config_age(cx.now()).is_some() && update_from_instances(&cx).await {
                    continue;
                }
                let spent = cx.now().saturating_duration_since(called_at);
                sleep(RETRY_PAUSE.saturating_sub(spent)).await;
            }
        }
    }
}

/// Logs for how long a configuration is overdue, and what this instance waits for. Does not return.
pub(crate) async fn log_overdue<P>(cx: Rc<EntryContext<P>>)
where
    P: Platform,
{
    loop {
        sleep(OVERDUE_LOG_PAUSE).await;
        let now = cx.now();
        let millis = |age: Option<Duration>| age.map_or(-1, signed_millis);
        if cx.config().version == 0 || !cx.is_config_overdue(now) && cx.is_config_in_time(now) {
            continue;
        }
        let waits_for = cx.known_config.waits_for();
        spdlog::warn!("configuration is not kept up to date", kv: {
            version = cx.config().version, age_ms = millis(cx.config_age(now)),
            heard_ms = millis(cx.newer_config_age(now)), waits_for = waits_for.as_str()
        });
    }
}

/// Whether this instance asks other instances for the configuration before the store: as a whole, it takes
/// too long over the link.
fn asks_instances_first<P>(cx: &EntryContext<P>) -> bool
where
    P: Platform,
{
    let bound = cx.settings().timing.max_config_delay();
    store_link_time(cx) > bound.mul_f64(MAX_STORE_LINK_RATIO)
}

/// Time that a configuration from the store takes over this instance's link.
fn store_link_time<P>(cx: &EntryContext<P>) -> Duration
where
    P: Platform,
{
    let time = link_time(cx.known_config.size(), cx.settings().instance.link_mbps);
    time.mul_f64(STORE_ENCODING_RATIO)
}

/// Gets the configuration from other instances. Returns whether it is known to be new enough.
async fn update_from_instances<P>(cx: &EntryContext<P>) -> bool
where
    P: Platform,
{
    let is_updated = cx.update_config_from_instances(|| is_fresh(cx)).await;
    cx.known_config.set_waits_for(None);
    is_updated
}

/// Whether the configuration was confirmed lately, and nothing newer has been heard of.
fn is_fresh<P>(cx: &EntryContext<P>) -> bool
where
    P: Platform,
{
    let age = cx.config_age(cx.now());
    age.is_some_and(|age| age < own_read_age(cx)) && cx.newer_config_age(cx.now()).is_none()
}

/// What a query of the store has shown.
enum Seen {
    /// The configuration as it is now, or as it was written last.
    Item(StoreItem, u64),
    /// No change up to this revision.
    NoChange(u64),
    /// The operator has not written a configuration yet.
    Nothing,
    /// The store has discarded the history that a watch needs.
    HistoryGone,
}

/// Progress in the store's history.
struct Follower {
    /// Revision from which on changes are watched; none if the configuration has to be read.
    after: Option<u64>,
    /// Revision of the configuration that was seen last.
    item_revision: u64,
    /// Whether the last query has shown a change.
    has_changed: bool,
    /// Whether the newest configuration that was seen could be decoded. If not, the one in force is not
    /// the newest, and is not confirmed.
    is_decoded: bool,
}

impl Default for Follower {
    fn default() -> Self {
        Self {
            after: None,
            item_revision: 0,
            has_changed: false,
            is_decoded: true,
        }
    }
}

impl Follower {
    /// Waits until this instance has to query the store or other instances itself: at once for the
    /// holder, else when a newer configuration was heard of or its own has not been confirmed for too
    /// long.
    async fn wait_until_due<P>(&self, cx: &EntryContext<P>)
    where
        P: Platform,
    {
        while !cx.is_holder() && !is_due(cx) {
            let _ = timeout(POLL_INTERVAL, cx.known_config.newer_heard.notified()).await;
        }
    }

    /// Pause after an answer of the store.
    fn pause<P>(&self, cx: &EntryContext<P>) -> Duration
    where
        P: Platform,
    {
        if !self.has_changed {
            return WATCH_PAUSE;
        }
        let bound = cx.settings().timing.max_config_delay();
        let link_pause = store_link_time(cx) * LINK_PAUSE_FACTOR;
        let pause = link_pause.min(bound.mul_f64(MAX_LINK_PAUSE_RATIO));
        let apply_pause = cx.known_config.apply_pause(cx.now());
        pause.max(apply_pause).max(WATCH_PAUSE)
    }

    /// Queries the store and takes over what has changed. The query begins at `called_at`.
    async fn update<P>(
        &mut self,
        cx: &EntryContext<P>,
        called_at: Instant,
        progress: &Rc<Progress>,
    ) -> Result<(), PlatformError>
    where
        P: Platform,
    {
        let bound = cx.settings().timing.max_config_delay();
        let mut wait = CHECK_WAIT;
        if cx.is_holder() || !self.is_decoded {
            wait = bound.mul_f64(WATCH_WAIT_RATIO);
        }
        let has_news = cx.newer_config_age(called_at).is_some() && !cx.is_holder();
        self.has_changed = false;
        let is_large = cx.known_config.size() > MAX_WATCHED_BYTES;
        let reads = has_news && self.is_decoded || is_large && !cx.is_holder();
        let seen = match self.after {
            Some(after) if !reads => watch_or_read(cx, (after, wait), bound, progress).await?,
            _ => read(cx, bound, progress).await?,
        };
        let (revision, confirmed_at) = match seen {
            Seen::Item(item, revision) => {
                self.is_decoded = cx.apply_config(&item.value, Source::Store);
                self.has_changed = item.revision != self.item_revision;
                self.item_revision = item.revision;
                (revision, called_at)
            }
            Seen::NoChange(revision) => (revision, watch_confirms_at(called_at, wait, cx.now())),
            Seen::HistoryGone => {
                self.after = None;
                return Ok(());
            }
            Seen::Nothing => {
                self.after = None;
                sleep(RETRY_PAUSE).await;
                return Ok(());
            }
        };
        self.after = self.after.max(Some(revision));
        if self.has_changed && is_large {
            self.after = None;
        }
        if self.is_decoded {
            cx.confirm_config(Some(confirmed_at));
        }
        Ok(())
    }
}

/// Whether an instance other than the holder has to query the store or other instances. News that may not
/// be applied yet are not followed up.
fn is_due<P>(cx: &EntryContext<P>) -> bool
where
    P: Platform,
{
    let now = cx.now();
    let age = cx.config_age(now);
    if age.is_none_or(|age| age >= own_read_age(cx)) {
        return true;
    }
    cx.newer_config_age(now).is_some() && cx.known_config.apply_pause(now).is_zero()
}

/// Age of the last confirmation at which an instance other than the holder queries the store. Reports to
/// the holder are answered with a younger one as long as both work.
fn own_read_age<P>(cx: &EntryContext<P>) -> Duration
where
    P: Platform,
{
    let bound = cx.settings().timing.max_config_delay();
    let holder_age = bound.mul_f64(WATCH_WAIT_RATIO) + WATCH_PAUSE;
    let heard_age = holder_age + cx.exchange_period() * 2;
    heard_age
        .max(bound.mul_f64(OWN_READ_AGE_RATIO))
        .min(bound.mul_f64(MAX_OWN_READ_AGE_RATIO))
}

async fn read<P>(
    cx: &EntryContext<P>,
    bound: Duration,
    progress: &Rc<Progress>,
) -> Result<Seen, PlatformError>
where
    P: Platform,
{
    let key = cx.platform.keys().config;
    let times = (Some(bound), cx.settings().timing.store_call_timeout());
    let read = async |limit| cx.platform.get(key, limit).await;
    Ok(match read_repeatedly(cx, times, progress, read).await? {
        Some((item, revision)) => Seen::Item(item, revision),
        None => Seen::Nothing,
    })
}

/// Watches for changes after a revision for a time. If the call is not answered soon after that time, the
/// configuration is read beside it.
async fn watch_or_read<P>(
    cx: &EntryContext<P>,
    (after, wait): (u64, Duration),
    bound: Duration,
    progress: &Rc<Progress>,
) -> Result<Seen, PlatformError>
where
    P: Platform,
{
    let key = cx.platform.keys().config;
    let limit = ReadLimit {
        stall: wait + cx.settings().timing.store_call_timeout(),
        progress: Rc::clone(progress),
    };
    let read_beside = async {
        sleep(wait).await;
        let mut arrived = 0;
        loop {
            sleep(repeat_pause(bound)).await;
            // An answer that is still arriving is waited for.
            if progress.bytes() == arrived {
                break;
            }
            arrived = progress.bytes();
        }
        cx.platform.renew_connections();
        read(cx, bound, progress).await
    };
    let watched = tokio::select! {
        watched = cx.platform.watch(key, after, wait, limit) => watched?,
        seen = read_beside => return seen,
    };
    Ok(match watched {
        WatchOutcome::HistoryGone => Seen::HistoryGone,
        WatchOutcome::Changes(changes) => {
            let revision = changes.revision;
            let item = changes.items.into_iter().rfind(|item| item.key == key);
            item.map_or(Seen::NoChange(revision), |item| Seen::Item(item, revision))
        }
    })
}
