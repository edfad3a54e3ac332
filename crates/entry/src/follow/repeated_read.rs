//! Reads of the store that leave time for another try.

use std::time::Duration;

use actix_rt::time::sleep;
use futures_util::{StreamExt, stream::FuturesUnordered};

use crate::{
    platform::{Platform, PlatformError},
    state::EntryContext,
};

/// Most calls of one read that run at the same time.
const MAX_CALLS: usize = 3;
/// Time without an answer after which a read is repeated, as a fraction of the time within which what it
/// reads must be in force.
const REPEAT_RATIO: f64 = 0.1;

/// Time without an answer after which a read is repeated, if what it reads must be in force within
/// `bound`.
pub(super) fn repeat_pause(bound: Duration) -> Duration {
    bound.mul_f64(REPEAT_RATIO)
}

/// Makes a read. While it has no answer, it is repeated beside the calls before, on connections that
/// are new: open ones may have stopped delivering data. The first answer counts. `bound` is the time
/// within which what is read must be in force; without one, the read is made once.
pub(super) async fn read_repeatedly<P, T, F>(
    cx: &EntryContext<P>,
    bound: Option<Duration>,
    read: F,
) -> Result<T, PlatformError>
where
    P: Platform,
    F: AsyncFn() -> Result<T, PlatformError>,
{
    let Some(bound) = bound else {
        return read().await;
    };
    let mut calls = FuturesUnordered::new();
    calls.push(read());
    let mut made = 1;
    loop {
        tokio::select! {
            Some(result) = calls.next() => match result {
                Err(_) if !calls.is_empty() => {}
                result => return result,
            },
            () = sleep(repeat_pause(bound)), if made < MAX_CALLS => {
                cx.platform.renew_connections();
                cx.metrics.count_repeated_read();
                calls.push(read());
                made += 1;
            }
        }
    }
}
