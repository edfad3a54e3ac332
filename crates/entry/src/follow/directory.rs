//! Follows the list of upstreams.
//!
//! Upstreams write heartbeats to their entries, and a watch would return at every one of them, so
//! the whole list is read periodically instead. The holder of the planning duty reads it and sends
//! it to the other instances, which read it themselves only if they have not received it for some
//! time.

use std::{collections::HashMap, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use comfreyweir_fleet::{directory::StoredUpstream, upstream::Upstream};

use super::{RETRY_PAUSE, ReadLimits, ignored_log::IgnoredLog, outage_log::OutageLog, read_pages};
use crate::{
    platform::{Platform, PlatformError, StoreItem},
    state::EntryContext,
};

/// Period at which the holder reads the list, as a fraction of the time within which a leaving
/// upstream must stop getting new requests. The rest is for the call and for sending the list on.
const HOLDER_READ_AGE_RATIO: f64 = 0.225;
/// Upper bound of that period.
const MAX_HOLDER_READ_AGE: Duration = Duration::from_millis(700);
/// Age of the list at which other instances read it themselves, as a fraction of the time within
/// which a leaving upstream must stop getting new requests.
const OWN_READ_AGE_RATIO: f64 = 0.5;
/// Age of the list at which other instances read it themselves in small fleets, if that is sooner.
const MAX_OWN_READ_AGE: Duration = Duration::from_millis(1_400);
/// Pause between checks of the list's age.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the list up to date. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>)
where
    P: Platform,
{
    let mut outage_log = OutageLog::new("list of upstreams in the store");
    let mut decoded = DecodedEntries::default();
    loop {
        let max_age = max_read_age(&cx);
        let age = cx.directory.borrow().age(cx.now());
        if age.is_some_and(|age| age < max_age) {
            sleep(POLL_INTERVAL.min(max_age)).await;
            continue;
        }
        let called_at = cx.now();
        if let Err(e) = read_upstreams(&cx, &mut decoded).await {
            cx.record_store_failure(&e);
            outage_log.record_failure(&e, cx.now());
            let spent = cx.now().saturating_duration_since(called_at);
            sleep(RETRY_PAUSE.saturating_sub(spent)).await;
            continue;
        }
        outage_log.record_success(cx.now());
    }
}

/// Age of the list at which this instance reads it.
fn max_read_age<P>(cx: &EntryContext<P>) -> Duration
where
    P: Platform,
{
    let drain_delay = cx.settings().timing.max_drain_delay();
    if cx.is_holder() {
        return drain_delay
            .mul_f64(HOLDER_READ_AGE_RATIO)
            .min(MAX_HOLDER_READ_AGE);
    }
    // The holder's list may be as old as its own period and the exchange with it.
    let holder_list_age = MAX_HOLDER_READ_AGE + cx.exchange_period() * 2;
    drain_delay
        .mul_f64(OWN_READ_AGE_RATIO)
        .min(holder_list_age.max(MAX_OWN_READ_AGE))
}

async fn read_upstreams<P>(
    cx: &Rc<EntryContext<P>>,
    decoded: &mut DecodedEntries,
) -> Result<(), PlatformError>
where
    P: Platform,
{
    let prefix = cx.platform.keys().upstreams_prefix;
    let limits = ReadLimits {
        call: cx.settings().timing.store_call_timeout(),
        bound: Some(cx.settings().timing.max_drain_delay()),
    };
    let called_at = cx.now();
    let era = cx.platform.store_era();
    let mut entries = HashMap::new();
    let mut list = Vec::new();
    let revision = read_pages(cx, prefix, limits, |items| {
        let page = decoded.decode_page(cx, prefix, items, &mut entries);
        // The whole of a long list takes longer to arrive than upstreams that leave can wait.
        cx.note_draining(&page);
        list.extend(page);
    })
    .await?;
    decoded.replace(entries);
    cx.record_store_answer();
    if era.is_some() && cx.platform.store_era() != era {
        // The change of the era is perhaps not handled yet. Pages of two eras are no list: entries of
        // the copy would count as written after those of the first page.
        cx.directory.borrow_mut().begin_copy_grace(cx.now());
        return Ok(());
    }
    cx.replace_directory_read(list, revision, called_at);
    Ok(())
}

/// Cache of decoded entries with their revisions, so that only changed entries are decoded again.
/// An entry that cannot be decoded is cached as none.
#[derive(Default)]
struct DecodedEntries {
    entries: DecodedByKey,
    ignored_log: IgnoredLog,
}

type DecodedByKey = HashMap<String, (u64, Option<Upstream>)>;

impl DecodedEntries {
    /// Decodes a page of the list and adds its entries to those of the list that is being read.
    fn decode_page<P>(
        &mut self,
        cx: &EntryContext<P>,
        prefix: &str,
        items: Vec<StoreItem>,
        entries: &mut DecodedByKey,
    ) -> Vec<StoredUpstream>
    where
        P: Platform,
    {
        let mut page = Vec::new();
        for item in items {
            // Entries stay in the cache until the whole list has arrived: a call may fail before.
            let entry = match self.entries.get(&item.key) {
                Some((revision, entry)) if *revision == item.revision => entry.clone(),
                _ => decode_entry(cx, prefix, &item, &mut self.ignored_log),
            };
            page.extend(entry.clone().map(|upstream| StoredUpstream {
                upstream,
                written_at: item.revision,
            }));
            entries.insert(item.key, (item.revision, entry));
        }
        page
    }

    /// Replaces the entries by those of a list that has arrived as a whole.
    fn replace(&mut self, entries: DecodedByKey) {
        let is_ignored = |key: &str| matches!(entries.get(key), Some((_, None)));
        self.ignored_log.retain(is_ignored);
        self.entries = entries;
    }
}

/// Decodes an entry. An entry that cannot be decoded is logged and skipped; the others stay valid.
fn decode_entry<P>(
    cx: &EntryContext<P>,
    prefix: &str,
    item: &StoreItem,
    ignored_log: &mut IgnoredLog,
) -> Option<Upstream>
where
    P: Platform,
{
    let id = item.key.strip_prefix(prefix)?;
    match cx.platform.decode_upstream(id, &item.value) {
        Ok(upstream) => Some(upstream),
        Err(e) => {
            ignored_log.record(item, &e.to_string(), cx.now());
            None
        }
    }
}
