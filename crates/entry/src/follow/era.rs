//! Reacts to the store coming back from a copy that is some seconds old.
//!
//! What was written since the copy is gone, leases too, so that another instance may hold the
//! planning duty as far as the store knows. A holder therefore gives up the duty as soon as it learns
//! of the new era, and the next one waits as long as an earlier holder may still give orders.

use std::rc::Rc;

use super::members;
use crate::{duty::Coordinator, platform::Platform, state::EntryContext};

/// Follows the era of the store. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    let mut known = cx.platform.store_era();
    loop {
        let era = cx.platform.store_era_changed(known).await;
        let before = std::mem::replace(&mut known, era);
        // The first era that is seen says nothing of a copy.
        let (Some(before), Some(era)) = (before, era) else {
            continue;
        };
        let is_holder = coordinator.has_duty();
        spdlog::warn!("the store has come back from a copy", kv: { era, before, is_holder });
        cx.metrics.count_store_copy();
        cx.record_store_copy();
        cx.software.borrow_mut().forget_recorded();
        coordinator.end_tenure_before(era);
        if is_holder && let Err(e) = members::restore_secret(&cx).await {
            let reason = e.to_string();
            spdlog::warn!("shared secret could not be written again", kv: {
                reason = reason.as_str()
            });
        }
    }
}
