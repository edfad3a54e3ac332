//! Registers this instance in the store and follows the entries of all instances, the shared secret
//! and the holder of the planning duty. Each instance's entry is bound to a lease.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use bytes::Bytes;
use comfreyweir_fleet::stream_origins::SoftwareRecord;
use comfreyweir_peer::PeerSecret;

use super::{RETRY_PAUSE, ReadLimits, ignored_log::log_ignored, outage_log::OutageLog, read_all};
use crate::{
    platform::{CommitOutcome, Platform, PlatformError, StoreItem, StoreItems, Transaction},
    state::{EntryContext, Holder, Members},
};

/// Lifetime of an instance's entry after its last renewal.
const ENTRY_TTL: Duration = Duration::from_secs(4);
/// Period of lease renewals: two in a row may fail before the entry expires.
const RENEW_PERIOD: Duration = Duration::from_millis(1_200);
/// Longest time for which one watch call waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Time beyond the wait after which a watch call times out.
const WATCH_ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Pause between two watch calls, for each instance: when many instances start, their entries are
/// fetched in batches.
const WATCH_PAUSE_PER_INSTANCE: Duration = Duration::from_millis(1);
/// Pause between checks of whether the holder responds.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Length in bytes of the shared secret that instances authenticate each other with.
const SECRET_BYTES: usize = 32;

/// Keys, relative to the prefix that the platform assigns to the system.
const INSTANCES_PREFIX: &str = "instances/";
const SECRET_KEY: &str = "secret";
/// Key of the records of suspect prompt parts, relative to the same prefix.
pub(crate) const QUARANTINE_KEY: &str = "quarantine";
/// Key of the software versions that serve or served recently, relative to the same prefix.
pub(crate) const SOFTWARE_KEY: &str = "software";
/// Key of the planning duty, relative to the same prefix.
pub(crate) const DUTY_KEY: &str = "duty";

/// Keeps this instance's entry in the store. Does not return.
pub(crate) async fn register<P>(cx: Rc<EntryContext<P>>)
where
    P: Platform,
{
    super::retry_forever(cx, "own entry in the store", maintain_entry).await;
}

/// Writes the entry and renews its lease until the lease has expired or the store has come back from a
/// copy.
async fn maintain_entry<P>(
    cx: &Rc<EntryContext<P>>,
    outage_log: &mut OutageLog,
) -> Result<(), PlatformError>
where
    P: Platform,
{
    let limit = cx.settings().timing.store_call_timeout();
    let own_prefix = cx.platform.keys().own_prefix;
    let ttl = ENTRY_TTL.max(Duration::from_millis(cx.settings().store.min_lease_ms));
    let lease = cx.platform.grant_lease(ttl, limit).await?;
    let key = format!(
        "{own_prefix}{INSTANCES_PREFIX}{}",
        cx.settings().instance.name
    );
    let value = Bytes::from(cx.settings().listen.peer.to_string());
    let tx = Transaction {
        puts: vec![(key, value, Some(lease.id))],
        ..Transaction::default()
    };
    let outcome = cx.platform.commit(&tx, limit).await?;
    outage_log.record_success(cx.now());
    if outcome == CommitOutcome::LeaseGone {
        sleep(RETRY_PAUSE).await;
        return Ok(());
    }
    loop {
        tokio::select! {
            () = sleep(RENEW_PERIOD) => {}
            // The store has come back from a copy, which may lack the lease and the entry.
            _ = cx.platform.store_era_changed(lease.id.era) => return Ok(()),
        }
        match cx.platform.renew_lease(lease.id, limit).await {
            Ok(true) => {
                cx.record_store_answer();
                outage_log.record_success(cx.now());
            }
            Ok(false) => {
                cx.record_store_answer();
                sleep(RETRY_PAUSE).await;
                return Ok(());
            }
            Err(e) => {
                cx.record_store_failure(&e);
                outage_log.record_failure(&e, cx.now());
            }
        }
    }
}

/// Keeps the list of members up to date. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>)
where
    P: Platform,
{
    super::retry_forever(cx, "list of instances in the store", follow).await;
}

async fn follow<P>(
    cx: &Rc<EntryContext<P>>,
    outage_log: &mut OutageLog,
) -> Result<(), PlatformError>
where
    P: Platform,
{
    let own_prefix = cx.platform.keys().own_prefix;
    let limit = cx.settings().timing.store_call_timeout();
    let limits = ReadLimits {
        call: limit,
        bound: Some(ENTRY_TTL),
    };
    let mut items = read_all(cx, own_prefix, limits).await?;
    outage_log.record_success(cx.now());
    if !items
        .items
        .iter()
        .any(|item| item.key == format!("{own_prefix}{SECRET_KEY}"))
    {
        create_secret(cx, own_prefix, limit).await?;
        items = read_all(cx, own_prefix, limits).await?;
    }
    let mut after = items.revision;
    replace_members(cx, own_prefix, &items);
    loop {
        // Only the holder needs all instances; the others watch only to find a new holder.
        while cx.is_holder_responding() && !cx.is_holder() {
            sleep(POLL_INTERVAL).await;
        }
        let waits = (WATCH_WAIT, WATCH_ANSWER_MARGIN);
        let Some(changes) =
            super::watch_changes(cx, outage_log, (own_prefix, after), waits).await?
        else {
            return Ok(());
        };
        after = after.max(changes.revision);
        apply_changes(cx, own_prefix, &changes);
        let instances = u32::try_from(cx.instance_count()).unwrap_or(u32::MAX);
        sleep(WATCH_PAUSE_PER_INSTANCE * instances).await;
    }
}

/// Creates the shared secret unless another instance has already created it.
async fn create_secret<P>(
    cx: &Rc<EntryContext<P>>,
    own_prefix: &str,
    limit: Duration,
) -> Result<(), PlatformError>
where
    P: Platform,
{
    let key = format!("{own_prefix}{SECRET_KEY}");
    // The store may have lost the secret. The instances that are linked by it keep it.
    let known = cx.members.borrow().secret_bytes.clone();
    let secret = known.unwrap_or_else(|| {
        let secret: [u8; SECRET_BYTES] = rand::random();
        Bytes::copy_from_slice(&secret)
    });
    let tx = Transaction {
        expected: vec![(key.clone(), 0)],
        puts: vec![(key, secret, None)],
        ..Transaction::default()
    };
    cx.platform.commit(&tx, limit).await.map(|_| ())
}

/// Writes the shared secret again if the store has lost it.
pub(super) async fn restore_secret<P>(cx: &Rc<EntryContext<P>>) -> Result<(), PlatformError>
where
    P: Platform,
{
    if cx.members.borrow().secret_bytes.is_none() {
        return Ok(());
    }
    let limit = cx.settings().timing.store_call_timeout();
    create_secret(cx, cx.platform.keys().own_prefix, limit).await
}

/// Takes over the software versions that the store has, if they were written since `before`.
fn apply_software<P>(cx: &EntryContext<P>, before: u64)
where
    P: Platform,
{
    let members = cx.members.borrow();
    let (record, revision) = &members.software;
    if *revision != before {
        let era = cx.platform.store_era();
        let mut software = cx.software.borrow_mut();
        software.remember(record, (era, *revision), cx.now());
        cx.state_changed.notify_waiters();
    }
}

fn replace_members<P>(cx: &EntryContext<P>, own_prefix: &str, items: &StoreItems)
where
    P: Platform,
{
    let software_before = cx.members.borrow().software.1;
    {
        let mut members = cx.members.borrow_mut();
        let before = std::mem::take(&mut members.instances);
        members.revision = items.revision;
        members.is_known = true;
        members.holder = None;
        members.duty_revision = 0;
        members.quarantine.clear();
        members.software = (SoftwareRecord::default(), 0);
        for item in &items.items {
            apply_item(&mut members, own_prefix, item);
        }
        for name in before.into_keys() {
            if !members.instances.contains_key(&name) {
                members.departed.insert(name, cx.now());
            }
        }
    }
    apply_software(cx, software_before);
    announce_members(cx);
}

fn apply_changes<P>(cx: &EntryContext<P>, own_prefix: &str, changes: &StoreItems)
where
    P: Platform,
{
    if changes.items.is_empty() && changes.removed.is_empty() {
        return;
    }
    let software_before = cx.members.borrow().software.1;
    {
        let mut members = cx.members.borrow_mut();
        members.revision = changes.revision;
        // A key that was removed and written again is only in `items`, not in `removed`.
        for key in &changes.removed {
            apply_removal(&mut members, own_prefix, key, cx.now());
        }
        for item in &changes.items {
            apply_item(&mut members, own_prefix, item);
        }
    }
    apply_software(cx, software_before);
    announce_members(cx);
}

/// Logs the members and notifies the tasks that wait for a change.
fn announce_members<P>(cx: &EntryContext<P>)
where
    P: Platform,
{
    let members = cx.members.borrow();
    let records = members.quarantine.clone();
    cx.quarantine.apply_stored(records, cx.now());
    let holder = members
        .holder
        .as_ref()
        .map_or("none", |h| h.process.as_str());
    spdlog::info!("instances changed", kv: {
        revision = members.revision, instances = members.instances.len(), holder
    });
    cx.update_place();
    cx.members_changed.notify_waiters();
}

fn apply_item(members: &mut Members, own_prefix: &str, item: &StoreItem) {
    let Some(key) = item.key.strip_prefix(own_prefix) else {
        return;
    };
    if let Some(name) = key.strip_prefix(INSTANCES_PREFIX) {
        let addr = std::str::from_utf8(&item.value).ok();
        match addr.and_then(|text| text.parse::<SocketAddr>().ok()) {
            Some(addr) => {
                members.departed.remove(name);
                members.instances.insert(name.to_owned(), addr);
            }
            None => log_ignored(item, "not a socket address"),
        }
    } else if key == SECRET_KEY && item.value.is_empty() {
        log_ignored(item, "empty");
    } else if key == SECRET_KEY {
        members.secret = Some(PeerSecret::from_bytes(&item.value));
        members.secret_bytes = Some(item.value.clone());
    } else if key == QUARANTINE_KEY {
        match serde_json::from_slice(&item.value) {
            Ok(records) => members.quarantine = records,
            Err(e) => log_ignored(item, &e.to_string()),
        }
    } else if key == SOFTWARE_KEY {
        match serde_json::from_slice(&item.value) {
            Ok(record) => members.software = (record, item.revision),
            Err(e) => {
                log_ignored(item, &e.to_string());
                // The revision, so that the holder can replace it.
                members.software = (SoftwareRecord::default(), item.revision);
            }
        }
    } else if key == DUTY_KEY {
        match serde_json::from_slice::<Holder>(&item.value) {
            Ok(holder) => {
                members.holder = Some(holder);
                members.duty_revision = item.revision;
            }
            Err(e) => log_ignored(item, &e.to_string()),
        }
    }
}

fn apply_removal(members: &mut Members, own_prefix: &str, key: &str, now: Instant) {
    let Some(key) = key.strip_prefix(own_prefix) else {
        return;
    };
    if let Some(name) = key.strip_prefix(INSTANCES_PREFIX) {
        if members.instances.remove(name).is_some() {
            members.departed.insert(name.to_owned(), now);
        }
    } else if key == SOFTWARE_KEY {
        members.software = (SoftwareRecord::default(), 0);
    } else if key == DUTY_KEY {
        members.holder = None;
        members.duty_revision = 0;
    }
}

impl<P> EntryContext<P>
where
    P: Platform,
{
    /// Whether this process is the last known holder of the planning duty.
    pub(crate) fn is_holder(&self) -> bool {
        let members = self.members.borrow();
        members
            .holder
            .as_ref()
            .is_some_and(|holder| holder.process == self.process)
    }
}

/// Outage log of the connection to the holder of the planning duty.
pub(crate) fn holder_outage_log() -> OutageLog {
    OutageLog::new("holder of the planning duty")
}
