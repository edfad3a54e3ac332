//! Follows the evacuations of availability zones.
//!
//! As with the configuration, the holder of the planning duty watches them in the store and tells the
//! other instances, which read the store themselves only if what they know is too old. Apart from the
//! configuration, so that neither waits for the other, and no configuration is sent where an evacuation
//! is asked for.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use actix_rt::time::sleep;

use super::{RETRY_PAUSE, outage_log::OutageLog};
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
/// Timeout of the first read, as a fraction of the time within which an evacuation must be in force,
/// so that a lost answer leaves time for another read. The next reads may take the whole time of a call.
const FIRST_READ_RATIO: f64 = 0.1;
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
    let mut has_failed = false;
    loop {
        let Some(bound) = cx.settings().timing.max_evacuation_delay() else {
            sleep(SETTINGS_PAUSE).await;
            continue;
        };
        if !cx.is_holder() && !zones::is_read_due(&cx, bound) {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        let result = follow(&cx, &mut outage_log, bound, has_failed).await;
        has_failed = result.is_err();
        if let Err(e) = result {
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
    has_failed: bool,
) -> Result<(), PlatformError>
where
    P: Platform,
{
    let prefix = cx.platform.keys().evacuations_prefix;
    let call_timeout = cx.settings().timing.store_call_timeout();
    let limit = if has_failed {
        call_timeout
    } else {
        call_timeout.min(bound.mul_f64(FIRST_READ_RATIO))
    };
    let called_at = cx.now();
    let read = super::read_all(cx, prefix, limit).await?;
    outage_log.record_success(cx.now());
    let zone = |item: &StoreItem| zone_of(prefix, &item.key);
    let mut evacuated: BTreeSet<String> = read.items.iter().filter_map(zone).collect();
    let mut after = read.revision;
    zones::learn(cx, &evacuated, after, called_at);
    while cx.is_holder() {
        let called_at = cx.now();
        let waits = (bound.mul_f64(WATCH_WAIT_RATIO), WATCH_ANSWER_MARGIN);
        let watched = super::watch_changes(cx, outage_log, (prefix, after), waits).await?;
        let Some(changes) = watched else {
            return Ok(());
        };
        evacuated.extend(changes.items.iter().filter_map(zone));
        for zone in changes.removed.iter().filter_map(|k| zone_of(prefix, k)) {
            evacuated.remove(&zone);
        }
        after = after.max(changes.revision);
        // The answer may have been in transit for up to the answer margin, so it confirms the state
        // only as of that long ago.
        let answered_at = cx.now().checked_sub(WATCH_ANSWER_MARGIN);
        let confirmed_at = answered_at.map_or(called_at, |at| at.max(called_at));
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
