//! Following the operator's configuration.
//!
//! The holder of the planning duty watches it and passes it on; the others ask the store only when
//! they hear nothing. The cost at the store does not grow with the number of instances.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;

use super::{RETRY_PAUSE, outage::Outage};
use crate::{
    ports::{Platform, PlatformError},
    state::Cx,
};

/// Longest time that one watch waits at the store. Connections may fall silent for good, so that
/// each wait is bounded well below the time within which a configuration must be in force.
const WATCH_WAIT: Duration = Duration::from_millis(400);
/// Time that an answer of the store may take beyond the wait.
const WATCH_SLACK: Duration = Duration::from_millis(400);
/// Pause between two watches, so that a series of changes is taken a few at a time.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Age at which an instance that hears from the holder asks the store itself, as a part of the time
/// within which a configuration must be in force. The rest is for the call.
const OWN_ASK_PART: f64 = 0.65;
/// Pause between looks at the age of the configuration.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Follows the configuration for ever.
pub(crate) async fn run<P>(cx: Rc<Cx<P>>)
where
    P: Platform,
{
    super::keep(cx, "configuration in the store", follow).await;
}

/// Reads the configuration and watches it until its history has gone.
async fn follow<P>(cx: &Rc<Cx<P>>, outage: &mut Outage) -> Result<(), PlatformError>
where
    P: Platform,
{
    let key = cx.platform.keys().config;
    let limit = cx.settings().timing.store_call();
    let called = cx.now();
    let Some((item, mut after)) = cx.platform.get(key, limit).await? else {
        // The operator has not written any yet.
        outage.answered(cx.now());
        sleep(RETRY_PAUSE).await;
        return Ok(());
    };
    outage.answered(cx.now());
    cx.apply_config(&item.value, "store");
    cx.confirm_config(Some(called));
    loop {
        wait_until_due(cx).await;
        let called = cx.now();
        let waits = (WATCH_WAIT, WATCH_SLACK);
        let Some(changes) = super::changes(cx, outage, (key, after), waits).await? else {
            return Ok(());
        };
        after = after.max(changes.revision);
        if let Some(item) = changes.items.iter().rfind(|item| item.key == key) {
            cx.apply_config(&item.value, "store");
        }
        // The answer may have been on its way for as long as it was waited for.
        let answered = cx.now().checked_sub(WATCH_SLACK);
        cx.confirm_config(answered.max(Some(called)));
        sleep(WATCH_PAUSE).await;
    }
}

/// Waits until this instance has to ask the store itself.
async fn wait_until_due<P>(cx: &Cx<P>)
where
    P: Platform,
{
    let due = cx.settings().timing.config().mul_f64(OWN_ASK_PART);
    while !cx.is_holder() && cx.config_age(cx.now()).is_some_and(|age| age < due) {
        sleep(LOOK_PAUSE).await;
    }
}
