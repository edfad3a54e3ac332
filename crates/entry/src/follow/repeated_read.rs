//! Reads of the store that leave time for another try.

use std::{future::Future, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use futures_util::{
    StreamExt,
    future::{AbortHandle, Abortable, abortable},
    stream::FuturesUnordered,
};

use crate::{
    platform::{Platform, PlatformError, Progress, ReadLimit},
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

/// Makes a read. While nothing of an answer arrives, it is repeated beside the calls before, on
/// connections that are new: open ones may have stopped delivering data. A call of which something has
/// arrived is waited for, and the others end, since they would share the link with it. The first answer
/// counts. `bound` is the time within which what is read must be in force; without one, the read is made
/// once. `limit` is that of each call.
pub(super) async fn read_repeatedly<P, T, F>(
    cx: &EntryContext<P>,
    (bound, limit): (Option<Duration>, Duration),
    progress: &Rc<Progress>,
    read: F,
) -> Result<T, PlatformError>
where
    P: Platform,
    F: AsyncFn(ReadLimit) -> Result<T, PlatformError>,
{
    let read_once = |counted: &Rc<Progress>| {
        read(ReadLimit {
            stall: limit,
            progress: Rc::clone(counted),
        })
    };
    let Some(bound) = bound else {
        return read_once(progress).await;
    };
    let mut calls = Calls::default();
    let first = calls.begin(read_once(progress), progress);
    let mut running = FuturesUnordered::new();
    running.push(first);
    loop {
        tokio::select! {
            Some(result) = running.next() => match result {
                Ok(result) if result.is_ok() || running.is_empty() => return result,
                // The others may be answered; those that were ended are none.
                _ => {}
            },
            () = sleep(repeat_pause(bound)) => {
                if calls.has_progress() || calls.count() == MAX_CALLS {
                    continue;
                }
                cx.platform.renew_connections();
                cx.metrics.count_repeated_read();
                let counted = Rc::<Progress>::default();
                running.push(calls.begin(read_once(&counted), &counted));
            }
        }
    }
}

/// The calls of one read, with what has arrived of each.
#[derive(Default)]
struct Calls {
    calls: Vec<(AbortHandle, Rc<Progress>)>,
    /// What had arrived of the call with most at the last check.
    arrived: u64,
}

impl Calls {
    /// Adds a call.
    fn begin<F>(&mut self, call: F, progress: &Rc<Progress>) -> Abortable<F>
    where
        F: Future,
    {
        let (call, handle) = abortable(call);
        self.calls.push((handle, Rc::clone(progress)));
        call
    }

    fn count(&self) -> usize {
        self.calls.len()
    }

    /// Whether something has arrived since the last check. If so, all calls end but the one of which most
    /// has arrived.
    fn has_progress(&mut self) -> bool {
        let arrived = |(_, progress): &(AbortHandle, Rc<Progress>)| progress.bytes();
        let most = self.calls.iter().map(arrived).max().unwrap_or_default();
        let has_progress = most > self.arrived;
        self.arrived = most;
        if has_progress {
            let leading = self.calls.iter().position(|call| arrived(call) == most);
            let others = self.calls.iter().enumerate();
            for (_, (handle, _)) in others.filter(|(i, _)| Some(*i) != leading) {
                handle.abort();
            }
        }
        has_progress
    }
}
