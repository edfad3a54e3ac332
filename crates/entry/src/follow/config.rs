//! Following the operator's configuration.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;

use super::{RETRY_PAUSE, outage::Outage};
use crate::{
    ports::{Platform, PlatformError, Watched},
    state::Cx,
};

/// Longest time that one watch waits at the store. Connections may fall silent for good, so that
/// each wait is bounded well below the time within which a configuration must be in force.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time that an answer of the store may take beyond the wait.
const WATCH_SLACK: Duration = Duration::from_millis(500);
/// Pause between two watches, so that a series of changes is taken a few at a time.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// Follows the configuration for ever.
pub(crate) async fn run<P>(cx: Rc<Cx<P>>)
where
    P: Platform,
{
    let mut outage = Outage::new("configuration in the store");
    loop {
        let e = match follow(&cx, &mut outage).await {
            Ok(()) => continue,
            Err(e) => e,
        };
        outage.failed(&e, cx.now());
        sleep(RETRY_PAUSE).await;
    }
}

/// Reads the configuration and watches it until its history has gone.
async fn follow<P>(cx: &Rc<Cx<P>>, outage: &mut Outage) -> Result<(), PlatformError>
where
    P: Platform,
{
    let key = cx.platform.keys().config;
    let limit = cx.settings().timing.store_call();
    let Some((item, mut after)) = cx.platform.get(key, limit).await? else {
        // The operator has not written any yet.
        outage.answered(cx.now());
        sleep(RETRY_PAUSE).await;
        return Ok(());
    };
    outage.answered(cx.now());
    cx.apply_config(&item.value, "store");
    loop {
        let limit = WATCH_WAIT + WATCH_SLACK;
        match cx.platform.watch(key, after, WATCH_WAIT, limit).await? {
            Watched::HistoryGone => {
                sleep(RETRY_PAUSE).await;
                return Ok(());
            }
            Watched::Changes(changes) => {
                outage.answered(cx.now());
                after = after.max(changes.revision);
                if let Some(item) = changes.items.iter().rfind(|item| item.key == key) {
                    cx.apply_config(&item.value, "store");
                }
            }
        }
        sleep(WATCH_PAUSE).await;
    }
}
