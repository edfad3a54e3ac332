//! The instances of the system: each has an entry in the store that is bound to a lease.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use comfreyweir_peer::Secret;

use super::{RETRY_PAUSE, outage::Outage, read_all};
use crate::{
    ports::{Item, Items, Platform, PlatformError, Transaction},
    state::{Cx, Holder, Members},
};

/// Lifetime of an instance's entry after its last renewal.
const ENTRY_TTL: Duration = Duration::from_secs(4);
/// Period of renewals: two may fail before the entry ends.
const RENEW_PERIOD: Duration = Duration::from_millis(1_200);
/// Longest time that one watch waits at the store.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Time that an answer of the store may take beyond the wait.
const WATCH_SLACK: Duration = Duration::from_millis(500);
/// Pause between looks at whether the holder is heard.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Length of the secret that instances authenticate each other with, in bytes.
const SECRET_BYTES: usize = 32;

/// Keys of the system, after the prefix that the platform gives it.
const INSTANCES: &str = "instances/";
const SECRET: &str = "secret";
/// Key of the planning duty.
pub(crate) const DUTY: &str = "duty";

/// Keeps this instance's entry in the store for ever.
pub(crate) async fn register<P>(cx: Rc<Cx<P>>)
where
    P: Platform,
{
    super::keep(cx, "own entry in the store", keep_entry).await;
}

/// Writes the entry and renews its lease until that has ended.
async fn keep_entry<P>(cx: &Rc<Cx<P>>, outage: &mut Outage) -> Result<(), PlatformError>
where
    P: Platform,
{
    let limit = cx.settings().timing.store_call();
    let own = cx.platform.keys().own;
    let ttl = ENTRY_TTL.max(Duration::from_millis(cx.settings().store.min_lease_ms));
    let lease = cx.platform.grant(ttl, limit).await?;
    let key = format!("{own}{INSTANCES}{}", cx.settings().instance.name);
    let value = Bytes::from(cx.settings().listen.peer.to_string());
    let tx = Transaction {
        puts: vec![(key, value, lease.id)],
        ..Transaction::default()
    };
    cx.platform.commit(&tx, limit).await?;
    outage.answered(cx.now());
    loop {
        sleep(RENEW_PERIOD).await;
        match cx.platform.renew(lease.id, limit).await {
            Ok(true) => outage.answered(cx.now()),
            Ok(false) => {
                sleep(RETRY_PAUSE).await;
                return Ok(());
            }
            Err(e) => outage.failed(&e, cx.now()),
        }
    }
}

/// Follows the entries of all instances for ever.
pub(crate) async fn run<P>(cx: Rc<Cx<P>>)
where
    P: Platform,
{
    super::keep(cx, "list of instances in the store", follow).await;
}

async fn follow<P>(cx: &Rc<Cx<P>>, outage: &mut Outage) -> Result<(), PlatformError>
where
    P: Platform,
{
    let own = cx.platform.keys().own;
    let limit = cx.settings().timing.store_call();
    let mut items = read_all(cx, own, limit).await?;
    outage.answered(cx.now());
    if !items
        .items
        .iter()
        .any(|item| item.key == format!("{own}{SECRET}"))
    {
        create_secret(cx, own, limit).await?;
        items = read_all(cx, own, limit).await?;
    }
    let mut after = items.revision;
    take_over(cx, own, &items);
    loop {
        // The instances matter to the holder; the others only have to find the holder.
        while cx.hears_holder() && !cx.is_holder() {
            sleep(LOOK_PAUSE).await;
        }
        let waits = (WATCH_WAIT, WATCH_SLACK);
        let Some(changes) = super::changes(cx, outage, (own, after), waits).await? else {
            return Ok(());
        };
        after = after.max(changes.revision);
        apply(cx, own, &changes);
    }
}

/// Makes the secret; only the first instance's is written.
async fn create_secret<P>(cx: &Rc<Cx<P>>, own: &str, limit: Duration) -> Result<(), PlatformError>
where
    P: Platform,
{
    let key = format!("{own}{SECRET}");
    let secret: [u8; SECRET_BYTES] = rand::random();
    let tx = Transaction {
        expected: vec![(key.clone(), 0)],
        puts: vec![(key, Bytes::copy_from_slice(&secret), 0)],
        ..Transaction::default()
    };
    cx.platform.commit(&tx, limit).await.map(|_| ())
}

fn take_over<P>(cx: &Cx<P>, own: &str, items: &Items)
where
    P: Platform,
{
    let mut members = Members {
        revision: items.revision,
        is_known: true,
        ..Members::default()
    };
    for item in &items.items {
        note(&mut members, own, item);
    }
    *cx.members.borrow_mut() = members;
    report(cx);
}

fn apply<P>(cx: &Cx<P>, own: &str, changes: &Items)
where
    P: Platform,
{
    if changes.items.is_empty() && changes.removed.is_empty() {
        return;
    }
    {
        let mut members = cx.members.borrow_mut();
        members.revision = changes.revision;
        // An item that was removed and written again is only among the items.
        for key in &changes.removed {
            forget(&mut members, own, key);
        }
        for item in &changes.items {
            note(&mut members, own, item);
        }
    }
    report(cx);
}

fn report<P>(cx: &Cx<P>)
where
    P: Platform,
{
    let members = cx.members.borrow();
    let holder = members
        .holder
        .as_ref()
        .map_or("none", |h| h.process.as_str());
    spdlog::info!("instances changed", kv: {
        revision = members.revision, instances = members.instances.len(), holder
    });
    cx.members_changed.notify_waiters();
}

fn note(members: &mut Members, own: &str, item: &Item) {
    let Some(key) = item.key.strip_prefix(own) else {
        return;
    };
    if let Some(name) = key.strip_prefix(INSTANCES) {
        let addr = std::str::from_utf8(&item.value).ok();
        match addr.and_then(|text| text.parse::<SocketAddr>().ok()) {
            Some(addr) => drop(members.instances.insert(name.to_owned(), addr)),
            None => ignored(item, "it is no address"),
        }
    } else if key == SECRET {
        members.secret = Some(Secret::from_bytes(&item.value));
    } else if key == DUTY {
        match serde_json::from_slice::<Holder>(&item.value) {
            Ok(holder) => {
                members.holder = Some(holder);
                members.duty_revision = item.revision;
            }
            Err(e) => ignored(item, &e.to_string()),
        }
    }
}

fn forget(members: &mut Members, own: &str, key: &str) {
    let Some(key) = key.strip_prefix(own) else {
        return;
    };
    if let Some(name) = key.strip_prefix(INSTANCES) {
        members.instances.remove(name);
    } else if key == DUTY {
        members.holder = None;
        members.duty_revision = 0;
    }
}

fn ignored(item: &Item, reason: &str) {
    spdlog::warn!("entry of an instance is ignored", kv: {
        key = item.key.as_str(), revision = item.revision, reason
    });
}

impl<P> Cx<P>
where
    P: Platform,
{
    /// Whether this process has the planning duty, as far as it knows.
    pub(crate) fn is_holder(&self) -> bool {
        let members = self.members.borrow();
        members
            .holder
            .as_ref()
            .is_some_and(|holder| holder.process == self.process)
    }
}

/// The holder of the planning duty, as something that can be lost.
pub(crate) fn outage_of_holder() -> Outage {
    Outage::new("holder of the planning duty")
}
