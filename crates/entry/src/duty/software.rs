//! Keeps the software versions of the services in the store, for instances that start.
//!
//! Without the record, instances that have all been started anew would take the versions that are
//! listed for the only ones, and join streams of one that has just left with those of the next.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use comfreyweir_fleet::{directory::RETURN_GRACE, stream_origins::SoftwareRecord};

use super::Coordinator;
use crate::{
    follow::{
        members::{DUTY_KEY, SOFTWARE_KEY},
        outage_log::OutageLog,
    },
    platform::{CommitOutcome, Platform, PlatformError, Transaction},
    state::EntryContext,
};

/// Pause between checks of whether the record is up to date. Far shorter than the time for which a new
/// version gets no streams.
const CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Pause between checks of whether this instance has the planning duty, and after a write that had no
/// effect.
const IDLE_PAUSE: Duration = Duration::from_millis(400);

/// Writes the record whenever the one in the store differs, while this instance has the planning
/// duty. Does not return.
pub(crate) async fn keep_software<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    let mut outage_log = OutageLog::new("record of software versions in the store");
    loop {
        if !coordinator.has_duty() {
            sleep(IDLE_PAUSE).await;
            continue;
        }
        sleep(CHECK_PAUSE).await;
        let Some(record) = due_record(&cx) else {
            continue;
        };
        let Some(tenure) = coordinator.tenure() else {
            continue;
        };
        match write(&cx, tenure.fence, record).await {
            Ok(is_written) => {
                outage_log.record_success(cx.now());
                if !is_written {
                    sleep(IDLE_PAUSE).await;
                }
            }
            Err(e) => {
                outage_log.record_failure(&e, cx.now());
                sleep(IDLE_PAUSE).await;
            }
        }
    }
}

/// The record to be written; none if the store has it, or if it may be incomplete.
///
/// A record that is missing, or that was written before the store came back from a copy, may lack a
/// version whose upstreams are not listed yet either. They are once they have had the time to register
/// again.
fn due_record<P>(cx: &EntryContext<P>) -> Option<SoftwareRecord>
where
    P: Platform,
{
    let now = cx.now();
    let era = cx.platform.store_era();
    let software = cx.software.borrow();
    let mut record = software.record(era, now);
    let config = cx.config();
    record.retain(|service| config.services.contains_key(service));
    let members = cx.members.borrow();
    let stored = &members.software.0;
    if record.services.is_empty() || *stored == record {
        return None;
    }
    let is_stored_complete = !stored.services.is_empty() && stored.era == era;
    let listing_time = software.listing_time(now)?;
    let time_since_copy = cx.time_since_store_copy().unwrap_or(Duration::MAX);
    let is_list_complete = listing_time.min(time_since_copy) >= RETURN_GRACE;
    (is_stored_complete || is_list_complete).then_some(record)
}

/// Writes the record. The duty's key must be as this instance has written it, and the record as it has
/// read it: what another instance has recorded must be known before it is replaced. False if nothing
/// was written.
async fn write<P>(
    cx: &EntryContext<P>,
    fence: u64,
    record: SoftwareRecord,
) -> Result<bool, PlatformError>
where
    P: Platform,
{
    let own_prefix = cx.platform.keys().own_prefix;
    let limit = cx.settings().timing.store_call_timeout();
    let key = format!("{own_prefix}{SOFTWARE_KEY}");
    let known_revision = cx.members.borrow().software.1;
    let value = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
    let tx = Transaction {
        expected: vec![
            (format!("{own_prefix}{DUTY_KEY}"), fence),
            (key.clone(), known_revision),
        ],
        puts: vec![(key, value, None)],
        ..Transaction::default()
    };
    let CommitOutcome::Done(revision) = cx.platform.commit(&tx, limit).await? else {
        return Ok(false);
    };
    let text = serde_json::to_string(&record).unwrap_or_default();
    spdlog::info!("software versions recorded", kv: { revision, record = text.as_str() });
    let mut software = cx.software.borrow_mut();
    software.remember(&record, (record.era, revision), cx.now());
    drop(software);
    cx.members.borrow_mut().software = (record, revision);
    cx.state_changed.notify_waiters();
    Ok(true)
}
