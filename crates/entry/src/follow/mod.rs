//! Follows the platform's store: the operator's configuration, the upstreams, the evacuated zones and
//! the instances of the system.

pub(crate) mod config;
pub(crate) mod directory;
pub(crate) mod era;
mod ignored_log;
pub(crate) mod known_config;
pub(crate) mod members;
pub(crate) mod origins;
pub(crate) mod outage_log;
mod repeated_read;
pub(crate) mod software;
mod store_contact;
pub(crate) mod zones;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;

use self::{outage_log::OutageLog, repeated_read::read_repeatedly};
use crate::{
    platform::{Platform, PlatformError, StoreItem, StoreItems, WatchOutcome},
    state::EntryContext,
};

/// Pause after a failed call to the store. Short compared with the time limits of the platform, and
/// long enough not to add to the load of an overloaded store.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Calls `follow` again and again, after a pause if it failed. Does not return.
async fn retry_forever<P, F>(cx: Rc<EntryContext<P>>, dependency: &'static str, mut follow: F)
where
    P: Platform,
    F: AsyncFnMut(&Rc<EntryContext<P>>, &mut OutageLog) -> Result<(), PlatformError>,
{
    let mut outage_log = OutageLog::new(dependency);
    loop {
        if let Err(e) = follow(&cx, &mut outage_log).await {
            cx.record_store_failure(&e);
            outage_log.record_failure(&e, cx.now());
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Waits for changes of items with a prefix, for at most `wait`; the call times out `answer_margin`
/// later. Returns none after a pause if the store has discarded the history since `after`: all
/// items have to be read again.
async fn watch_changes<P>(
    cx: &EntryContext<P>,
    outage_log: &mut OutageLog,
    (prefix, after): (&str, u64),
    (wait, answer_margin): (Duration, Duration),
) -> Result<Option<StoreItems>, PlatformError>
where
    P: Platform,
{
    match cx
        .platform
        .watch(prefix, after, wait, (wait + answer_margin).into())
        .await?
    {
        WatchOutcome::HistoryGone => {
            sleep(RETRY_PAUSE).await;
            Ok(None)
        }
        WatchOutcome::Changes(changes) => {
            cx.record_store_answer();
            outage_log.record_success(cx.now());
            Ok(Some(changes))
        }
    }
}

/// As of when an answer to a watch without changes confirms what is known. The store answers no sooner
/// than after `wait`, unless it cuts the call short; the answer may have been on its way since, or have
/// waited for a process that stood still.
fn watch_confirms_at(called_at: Instant, wait: Duration, now: Instant) -> Instant {
    if now >= called_at + wait {
        called_at + wait
    } else {
        called_at
    }
}

/// Time limits of a read of many items.
#[derive(Clone, Copy)]
struct ReadLimits {
    /// Longest time of each call without any progress.
    call: Duration,
    /// Time within which what is read must be in force, if there is one: a call that has no answer is
    /// repeated accordingly.
    bound: Option<Duration>,
}

/// Reads all items with a prefix. The result has the revision of the first page; later pages may be
/// newer.
async fn read_all<P>(
    cx: &Rc<EntryContext<P>>,
    prefix: &str,
    limits: ReadLimits,
) -> Result<StoreItems, PlatformError>
where
    P: Platform,
{
    let mut items = Vec::new();
    let revision = read_pages(cx, prefix, limits, |page| items.extend(page)).await?;
    Ok(StoreItems {
        items,
        removed: Vec::new(),
        revision,
    })
}

/// Reads all items with a prefix and calls `take_page` with those of each page as it arrives. Returns
/// the revision of the first page; later pages may be newer.
async fn read_pages<P, F>(
    cx: &Rc<EntryContext<P>>,
    prefix: &str,
    limits: ReadLimits,
    mut take_page: F,
) -> Result<u64, PlatformError>
where
    P: Platform,
    F: FnMut(Vec<StoreItem>),
{
    let mut last: Option<String> = None;
    let mut revision = None;
    loop {
        let after = last.as_deref();
        let read = async |limit| cx.platform.range(prefix, after, limit).await;
        let times = (limits.bound, limits.call);
        let (page, has_more) = read_repeatedly(cx, times, &Rc::default(), read).await?;
        let revision = *revision.get_or_insert(page.revision);
        last = page.items.last().map(|item| item.key.clone());
        take_page(page.items);
        if !has_more || last.is_none() {
            return Ok(revision);
        }
    }
}
