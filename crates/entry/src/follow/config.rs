//! Follows the operator's configuration.
//!
//! The holder of the planning duty watches it in the store and tells the other instances its
//! version. They query the store only for a newer one, or if the holder has not confirmed theirs for
//! some time. So only changes load the store, and the holder's link does not limit how soon a
//! change is in force everywhere. An instance that the store turns away gets the configuration from
//! the holder.
//!
//! All of this has to fit into the time within which a configuration must be in force, also if the
//! holder is lost and the first call of an instance to the store gets no answer: the age at which it
//! queries the store, the pause between checks of that age, and the repetitions of a read. A call that is
//! refused instead is repeated after [`RETRY_PAUSE`].

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use tokio::time::timeout;

use super::{
    RETRY_PAUSE,
    outage_log::OutageLog,
    repeated_read::{read_repeatedly, repeat_pause},
    watch_confirms_at,
};
use crate::{
    platform::{Platform, PlatformError, StoreItem, WatchOutcome},
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

/// Keeps the configuration up to date. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>)
where
    P: Platform,
{
    let mut outage_log = OutageLog::new("configuration in the store");
    let mut follower = Follower::default();
    loop {
        follower.wait_until_due(&cx).await;
        let called_at = cx.now();
        match follower.update(&cx, called_at).await {
            Ok(()) => {
                cx.record_store_answer();
                outage_log.record_success(cx.now());
                sleep(WATCH_PAUSE).await;
            }
            Err(e) => {
                follower.after = None;
                cx.record_store_failure(&e);
                outage_log.record_failure(&e, cx.now());
                let spent = cx.now().saturating_duration_since(called_at);
                sleep(RETRY_PAUSE.saturating_sub(spent)).await;
            }
        }
    }
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
    /// Whether the newest configuration that was seen could be decoded. If not, the one in force is not
    /// the newest, and is not confirmed.
    is_decoded: bool,
}

impl Default for Follower {
    fn default() -> Self {
        Self {
            after: None,
            is_decoded: true,
        }
    }
}

impl Follower {
    /// Waits until this instance has to query the store itself: at once for the holder, else when a
    /// newer configuration was heard of or its own has not been confirmed for too long.
    async fn wait_until_due<P>(&self, cx: &EntryContext<P>)
    where
        P: Platform,
    {
        let is_fresh = || {
            let age = cx.config_age(cx.now());
            age.is_some_and(|age| age < own_read_age(cx)) && cx.newer_config_age(cx.now()).is_none()
        };
        while !cx.is_holder() && is_fresh() {
            let _ = timeout(POLL_INTERVAL, cx.known_config.newer_heard.notified()).await;
        }
    }

    /// Queries the store and takes over what has changed. The query begins at `called_at`.
    async fn update<P>(
        &mut self,
        cx: &EntryContext<P>,
        called_at: Instant,
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
        let seen = match self.after {
            Some(after) if !has_news || !self.is_decoded => {
                watch_or_read(cx, (after, wait), bound).await?
            }
            _ => read(cx, bound).await?,
        };
        let (revision, confirmed_at) = match seen {
            Seen::Item(item, revision) => {
                self.is_decoded = cx.apply_config(&item.value, "store");
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
        if self.is_decoded {
            cx.confirm_config(Some(confirmed_at));
        }
        Ok(())
    }
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

async fn read<P>(cx: &EntryContext<P>, bound: Duration) -> Result<Seen, PlatformError>
where
    P: Platform,
{
    let key = cx.platform.keys().config;
    let limit = cx.settings().timing.store_call_timeout();
    let read = read_repeatedly(cx, Some(bound), async || cx.platform.get(key, limit).await);
    Ok(match read.await? {
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
) -> Result<Seen, PlatformError>
where
    P: Platform,
{
    let key = cx.platform.keys().config;
    let limit = wait + cx.settings().timing.store_call_timeout();
    let read_beside = async {
        sleep(wait + repeat_pause(bound)).await;
        cx.platform.renew_connections();
        read(cx, bound).await
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
