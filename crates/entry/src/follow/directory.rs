//! Following the list of upstreams.
//!
//! Upstreams write heartbeats all the time, so that a watch would answer at every one of them.
//! The list is read as a whole instead. The holder of the planning duty reads it and passes it on
//! to the others; these read it themselves only when they hear nothing.

use std::{collections::HashMap, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use comfreyweir_fleet::upstream::Upstream;

use super::{RETRY_PAUSE, outage::Outage, read_all};
use crate::{
    ports::{Item, Items, Platform, PlatformError},
    state::Cx,
};

/// Period of reading the list at the holder, as a part of the time within which an upstream that
/// leaves must get no new request. The rest is for the call and for passing the list on.
const HOLDER_PART: f64 = 0.225;
/// Age of the list at which other instances read it themselves, as a part of the same time.
const OWN_READ_PART: f64 = 0.4;
/// Longest of these times. Well below the time without a read that passes for an outage of the
/// store, after which missing entries are kept for a while.
const LONGEST_AGE: Duration = Duration::from_secs(1);
/// Pause between looks at the age of the list.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Follows the list for ever.
pub(crate) async fn run<P>(cx: Rc<Cx<P>>)
where
    P: Platform,
{
    let mut outage = Outage::new("list of upstreams in the store");
    let mut decoded = Decoded::default();
    loop {
        let is_holder = cx.is_holder();
        let part = if is_holder {
            HOLDER_PART
        } else {
            OWN_READ_PART
        };
        let due = cx.settings().timing.drain().mul_f64(part).min(LONGEST_AGE);
        let age = cx.directory.borrow().age(cx.now());
        if age.is_some_and(|age| age < due) {
            sleep(LOOK_PAUSE.min(due)).await;
            continue;
        }
        if let Err(e) = read(&cx, &mut decoded).await {
            outage.failed(&e, cx.now());
            sleep(RETRY_PAUSE).await;
            continue;
        }
        outage.answered(cx.now());
    }
}

async fn read<P>(cx: &Rc<Cx<P>>, decoded: &mut Decoded) -> Result<(), PlatformError>
where
    P: Platform,
{
    let prefix = cx.platform.keys().upstreams;
    let limit = cx.settings().timing.store_call();
    let called = cx.now();
    let Items {
        items, revision, ..
    } = read_all(cx, prefix, limit).await?;
    let list = decoded.decode(cx, prefix, items);
    cx.replace_directory(list, revision, called, "store");
    Ok(())
}

/// Entries that were decoded before, so that only those that changed are decoded again.
#[derive(Default)]
struct Decoded {
    entries: HashMap<String, (u64, Option<Upstream>)>,
}

impl Decoded {
    fn decode<P>(&mut self, cx: &Cx<P>, prefix: &str, items: Vec<Item>) -> Vec<Upstream>
    where
        P: Platform,
    {
        let mut before = std::mem::take(&mut self.entries);
        let mut list = Vec::new();
        for item in items {
            let entry = match before.remove(&item.key) {
                Some((revision, entry)) if revision == item.revision => entry,
                _ => decode(cx, prefix, &item),
            };
            list.extend(entry.clone());
            self.entries.insert(item.key, (item.revision, entry));
        }
        list
    }
}

/// Decodes an entry. One that cannot be read names nothing to use, and the others hold.
fn decode<P>(cx: &Cx<P>, prefix: &str, item: &Item) -> Option<Upstream>
where
    P: Platform,
{
    let id = item.key.strip_prefix(prefix)?;
    match cx.platform.decode_upstream(id, &item.value) {
        Ok(upstream) => Some(upstream),
        Err(e) => {
            let (key, reason) = (item.key.as_str(), e.to_string());
            spdlog::warn!("entry in the list of upstreams is ignored", kv: {
                key, revision = item.revision, reason = reason.as_str()
            });
            None
        }
    }
}
