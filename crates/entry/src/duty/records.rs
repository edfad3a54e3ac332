//! Keeps the records of suspect prompt parts in the store, for instances that start.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use comfreyweir_fleet::quarantine::PartRecord;

use super::Coordinator;
use crate::{
    follow::members::{DUTY_KEY, QUARANTINE_KEY},
    platform::{CommitOutcome, Platform, PlatformError, Transaction},
    state::EntryContext,
};

/// Shortest pause between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Writes the records whenever those in the store differ, while this instance has the planning duty.
/// Does not return.
pub(crate) async fn keep_records<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    loop {
        let changed = cx.members_changed.notified();
        if coordinator.has_duty()
            && let Some(tenure) = coordinator.tenure()
        {
            let records = coordinator.suspect_records();
            let is_stored = has_same_content(&records, &cx.members.borrow().quarantine);
            if !is_stored {
                if let Err(e) = write(&cx, tenure.fence, records).await {
                    let reason = e.to_string();
                    spdlog::warn!("records of prompt parts could not be written", kv: {
                        reason = reason.as_str()
                    });
                }
                sleep(WRITE_PAUSE).await;
                continue;
            }
        }
        tokio::select! {
            () = changed => {}
            () = coordinator.records_changed() => {}
        }
    }
}

/// Whether two lists of records differ at most in the time until the next trials.
fn has_same_content(a: &[PartRecord], b: &[PartRecord]) -> bool {
    let content = |r: &PartRecord| (r.part, r.ends, r.failed_trials, r.late_trials);
    a.iter().map(content).eq(b.iter().map(content))
}

/// Writes records. The duty's key must be as this instance has written it.
async fn write<P>(
    cx: &EntryContext<P>,
    fence: u64,
    records: Vec<PartRecord>,
) -> Result<(), PlatformError>
where
    P: Platform,
{
    let own_prefix = cx.platform.keys().own_prefix;
    let limit = cx.settings().timing.store_call_timeout();
    let duty = (format!("{own_prefix}{DUTY_KEY}"), fence);
    let value = serde_json::to_vec(&records).unwrap_or_default();
    let tx = Transaction {
        expected: vec![duty],
        puts: vec![(
            format!("{own_prefix}{QUARANTINE_KEY}"),
            Bytes::from(value),
            None,
        )],
        ..Transaction::default()
    };
    if let CommitOutcome::Done(_) = cx.platform.commit(&tx, limit).await? {
        cx.members.borrow_mut().quarantine = records;
    }
    Ok(())
}
