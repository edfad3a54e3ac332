//! Follows the evacuations of availability zones.
//!
//! As with the configuration, the holder of the planning duty watches them in the store and tells the
//! other instances, which read the store themselves only if what they know is too old. Apart from the
//! configuration, so that neither waits for the other, and no configuration is sent where an evacuation
//! is asked for.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use actix_rt::time::sleep;

use super::{RETRY_PAUSE, ReadLimits, outage_log::OutageLog, watch_confirms_at};
use crate::{
    platform::{Platform, PlatformError, StoreItem},
    state::EntryContext,
    zones,
};

/// Longest time for which one watch call waits for a change, as a fraction of the time within which an
/// evacuation must be in force. A connection may stop delivering data without an error, so each wait is
/// well below that time.
const WATCH_WAIT_RATIO: f64 = 0.2;
/// Time beyond the wait after which a watch call times out.
const WATCH_ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// Pause between two watch calls, so that a series of changes is fetched in batches.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Pause between checks of the age of what is known.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between checks of whether the settings have evacuations followed.
const SETTINGS_PAUSE: Duration = Duration::from_secs(1);

/// Keeps the evacuations up to date. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>)
where
    P: Platform,
{
    let mut outage_log = OutageLog::new("evacuations in the store");
    loop {
        let Some(bound) = cx.settings().timing.max_evacuation_delay() else {
            sleep(SETTINGS_PAUSE).await;
            continue;
        };
        if !cx.is_holder() && !zones::is_read_due(&cx, bound) {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        if let Err(e) = follow(&cx, &mut outage_log, bound).await {
            cx.record_store_failure(&e);
            outage_log.record_failure(&e, cx.now());
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Reads the evacuations. The holder then watches them until it no longer has the duty, or the store
/// has discarded the history that the watch needs.
async fn follow<P>(
    cx: &Rc<EntryContext<P>>,
    outage_log: &mut OutageLog,
    bound: Duration,
) -> Result<(), PlatformError>
where
    P: Platform,
{
    let prefix = cx.platform.keys().evacuations_prefix;
    let limits = ReadLimits {
        call: cx.settings().timing.store_call_timeout(),
        bound: Some(bound),
    };
    let called_at = cx.now();
    let read = super::read_all(cx, prefix, limits).await?;
    outage_log.record_success(cx.now());
    let zone = |item: &StoreItem| zone_of(prefix, &item.key);
    let mut evacuated: BTreeSet<String> = read.items.iter().filter_map(zone).collect();
    let mut after = read.revision;
    zones::learn(cx, &evacuated, after, called_at);
    while cx.is_holder() {
        let called_at = cx.now();
        let wait = bound.mul_f64(WATCH_WAIT_RATIO);
        let waits = (wait, WATCH_ANSWER_MARGIN);
        let watched = super::watch_changes(cx, outage_log, (prefix, after), waits).await?;
        let Some(changes) = watched else {
            return Ok(());
        };
        evacuated.extend(changes.items.iter().filter_map(zone));
        for zone in changes.removed.iter().filter_map(|k| zone_of(prefix, k)) {
            evacuated.remove(&zone);
        }
        after = after.max(changes.revision);
        let is_unchanged = changes.items.is_empty() && changes.removed.is_empty();
        let confirmed_at = if is_unchanged {
            watch_confirms_at(called_at, wait, cx.now())
        } else {
            called_at
        };
        zones::learn(cx, &evacuated, after, confirmed_at);
        sleep(WATCH_PAUSE).await;
    }
    Ok(())
}

/// The zone that a key evacuates; none for a key without one.
fn zone_of(prefix: &str, key: &str) -> Option<String> {
    let zone = key.strip_prefix(prefix)?;
    (!zone.is_empty()).then(|| zone.to_owned())
}
