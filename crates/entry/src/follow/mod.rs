//! Following the platform's store: the operator's configuration, the upstreams and the instances
//! of the system.

pub(crate) mod config;
pub(crate) mod directory;
pub(crate) mod members;
mod outage;

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;

use self::outage::Outage;
use crate::{
    ports::{Items, Platform, PlatformError, Watched},
    state::Cx,
};

/// Pause after a call to the store failed. Short against the bounds of the platform, and long
/// enough that an overloaded store is not loaded further.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Follows something for ever; what fails is tried again after a pause.
async fn keep<P, F>(cx: Rc<Cx<P>>, dependency: &'static str, mut follow: F)
where
    P: Platform,
    F: AsyncFnMut(&Rc<Cx<P>>, &mut Outage) -> Result<(), PlatformError>,
{
    let mut outage = Outage::new(dependency);
    loop {
        if let Err(e) = follow(&cx, &mut outage).await {
            outage.failed(&e, cx.now());
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Waits for changes of items with a prefix, for at most `wait` and the time that the answer takes
/// beyond it. Nothing after a pause where the history has gone, so that all has to be read again.
async fn changes<P>(
    cx: &Cx<P>,
    outage: &mut Outage,
    (prefix, after): (&str, u64),
    (wait, slack): (Duration, Duration),
) -> Result<Option<Items>, PlatformError>
where
    P: Platform,
{
    match cx.platform.watch(prefix, after, wait, wait + slack).await? {
        Watched::HistoryGone => {
            sleep(RETRY_PAUSE).await;
            Ok(None)
        }
        Watched::Changes(changes) => {
            outage.answered(cx.now());
            Ok(Some(changes))
        }
    }
}

/// Reads all items with a prefix. Later pages may be newer than the first, whose revision counts.
async fn read_all<P>(cx: &Rc<Cx<P>>, prefix: &str, limit: Duration) -> Result<Items, PlatformError>
where
    P: Platform,
{
    let (mut all, mut more) = cx.platform.range(prefix, None, limit).await?;
    while more {
        let after = all.items.last().map(|item| item.key.clone());
        let (page, has_more) = cx.platform.range(prefix, after.as_deref(), limit).await?;
        more = has_more && !page.items.is_empty();
        all.items.extend(page.items);
    }
    Ok(all)
}
