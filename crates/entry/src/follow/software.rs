//! Finds out at the start whether the store has a record of software versions.
//!
//! Where it has none, no instance can take a version for the only one before it has a newer list than
//! this instance, whose streams may then begin at once. The record is looked for after the list was read:
//! one that another instance writes between the two may name other versions.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use actix_rt::time::sleep;

use super::{RETRY_PAUSE, members::SOFTWARE_KEY};
use crate::{
    platform::{Platform, PlatformError},
    state::EntryContext,
};

/// Pause between checks of whether the list and the instances have been read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Looks for the record once after the first list, unless it was read with the instances.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>)
where
    P: Platform,
{
    while cx.directory.borrow().read().is_none() || !cx.members.borrow().is_known {
        sleep(POLL_INTERVAL).await;
    }
    if cx.members.borrow().software.1 > 0 {
        return;
    }
    while let Err(e) = look_for_record(&cx).await {
        cx.record_store_failure(&e);
        sleep(RETRY_PAUSE).await;
    }
}

async fn look_for_record<P>(cx: &EntryContext<P>) -> Result<(), PlatformError>
where
    P: Platform,
{
    let key = format!("{}{SOFTWARE_KEY}", cx.platform.keys().own_prefix);
    let limit = cx.settings().timing.store_call_timeout();
    if cx.platform.get(&key, limit.into()).await?.is_none() {
        cx.software.borrow_mut().settle_first_list();
        cx.state_changed.notify_waiters();
    }
    Ok(())
}

impl<P> EntryContext<P>
where
    P: Platform,
{
    /// Era of the store, and services whose software versions are recorded in it, each with a store
    /// revision at which they were.
    pub(crate) fn recorded_software(&self) -> (Option<u64>, BTreeMap<String, u64>) {
        let recorded = self.software.borrow().recorded().clone();
        (self.platform.store_era(), recorded)
    }
}
