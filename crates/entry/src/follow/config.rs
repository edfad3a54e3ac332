//! Follows the operator's configuration.
//!
//! The holder of the planning duty watches it in the store and tells the other instances its
//! version. They query the store only for a newer one, or if the holder has not confirmed theirs for
//! some time. So only changes load the store, and the holder's link does not limit how soon a
//! change is in force everywhere. An instance that the store turns away gets the configuration from
//! the holder.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use tokio::time::timeout;

use super::{RETRY_PAUSE, outage_log::OutageLog};
use crate::{
    platform::{Platform, PlatformError},
    state::EntryContext,
};

/// Longest time for which one watch call waits for a change, as a fraction of the time within which
/// a new configuration must be in force. A connection may stop delivering data without an error, so
/// each wait is well below that time.
const WATCH_WAIT_RATIO: f64 = 0.2;
/// Time beyond the wait after which a watch call times out.
const WATCH_ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// Pause between two watch calls, so that a series of changes is fetched in batches.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Age of the last confirmation at which an instance other than the holder queries the store, as a
/// fraction of the time within which a new configuration must be in force. The rest is for the
/// call.
const OWN_READ_AGE_RATIO: f64 = 0.65;
/// Pause between checks of the configuration's age.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the configuration up to date. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>)
where
    P: Platform,
{
    super::retry_forever(cx, "configuration in the store", follow).await;
}

/// Reads the configuration and watches it until the store has discarded the history that the watch
/// needs.
async fn follow<P>(
    cx: &Rc<EntryContext<P>>,
    outage_log: &mut OutageLog,
) -> Result<(), PlatformError>
where
    P: Platform,
{
    let key = cx.platform.keys().config;
    let limit = cx.settings().timing.store_call_timeout();
    let called_at = cx.now();
    let Some((item, mut after)) = cx.platform.get(key, limit).await? else {
        // The operator has not written a configuration yet.
        outage_log.record_success(cx.now());
        sleep(RETRY_PAUSE).await;
        return Ok(());
    };
    outage_log.record_success(cx.now());
    cx.apply_config(&item.value, "store");
    cx.confirm_config(Some(called_at));
    loop {
        wait_until_stale(cx).await;
        let called_at = cx.now();
        if cx.newer_config_age(called_at).is_some() && !cx.is_holder() {
            // The store may have discarded the history since this instance's last watch.
            if let Some((item, revision)) = cx.platform.get(key, limit).await? {
                outage_log.record_success(cx.now());
                cx.apply_config(&item.value, "store");
                cx.confirm_config(Some(called_at));
                after = after.max(revision);
            }
            sleep(WATCH_PAUSE).await;
            continue;
        }
        let watch_wait = cx
            .settings()
            .timing
            .max_config_delay()
            .mul_f64(WATCH_WAIT_RATIO);
        let waits = (watch_wait, WATCH_ANSWER_MARGIN);
        let Some(changes) = super::watch_changes(cx, outage_log, (key, after), waits).await? else {
            return Ok(());
        };
        after = after.max(changes.revision);
        if let Some(item) = changes.items.iter().rfind(|item| item.key == key) {
            cx.apply_config(&item.value, "store");
        }
        // The answer may have been in transit for up to the answer margin, so it confirms the
        // configuration only as of that long ago.
        let answered_at = cx.now().checked_sub(WATCH_ANSWER_MARGIN);
        cx.confirm_config(answered_at.max(Some(called_at)));
        sleep(WATCH_PAUSE).await;
    }
}

/// Waits until this instance has to query the store itself: at once for the holder, else when its
/// configuration has not been confirmed for too long.
async fn wait_until_stale<P>(cx: &EntryContext<P>)
where
    P: Platform,
{
    let max_age = cx
        .settings()
        .timing
        .max_config_delay()
        .mul_f64(OWN_READ_AGE_RATIO);
    let is_fresh = || {
        cx.config_age(cx.now()).is_some_and(|age| age < max_age)
            && cx.newer_config_age(cx.now()).is_none()
    };
    while !cx.is_holder() && is_fresh() {
        let _ = timeout(POLL_INTERVAL, cx.known_config.newer_heard.notified()).await;
    }
}
