//! Reads of the store that leave time for another try.

use std::{cell::Cell, future::Future, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use futures_util::{
    StreamExt,
    future::{AbortHandle, Abortable, Aborted, abortable},
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
    let mut failure = None;
    loop {
        tokio::select! {
            Some(result) = running.next() => {
                match result {
                    Ok(Ok(answer)) => return Ok(answer),
                    Ok(Err(e)) => failure = Some(e),
                    Err(Aborted) => {}
                }
                if running.is_empty() && let Some(e) = failure.take() {
                    return Err(e);
                }
            }
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

/// The calls of one read.
#[derive(Default)]
struct Calls {
    calls: Vec<Call>,
}

/// A call, and how much of its answer had arrived at the last check.
struct Call {
    handle: AbortHandle,
    progress: Rc<Progress>,
    checked: u64,
    has_ended: Rc<Cell<bool>>,
}

impl Calls {
    /// Adds a call.
    fn begin<F>(
        &mut self,
        call: F,
        progress: &Rc<Progress>,
    ) -> Abortable<impl Future<Output = F::Output> + use<F>>
    where
        F: Future,
    {
        let has_ended = Rc::<Cell<bool>>::default();
        let ended = Rc::clone(&has_ended);
        let (call, handle) = abortable(async move {
            let result = call.await;
            ended.set(true);
            result
        });
        self.calls.push(Call {
            handle,
            progress: Rc::clone(progress),
            checked: progress.bytes(),
            has_ended,
        });
        call
    }

    fn count(&self) -> usize {
        self.calls.len()
    }

    /// Whether something has arrived since the last check. If so, all calls end but the one of which most
    /// has arrived since, so that one always goes on.
    fn has_progress(&mut self) -> bool {
        let arrived = |call: &mut Call| {
            let before = std::mem::replace(&mut call.checked, call.progress.bytes());
            call.checked - before
        };
        let arrived: Vec<_> = self.calls.iter_mut().map(arrived).collect();
        let running = (0..arrived.len()).filter(|i| !self.calls[*i].has_ended.get());
        let leading = running.max_by_key(|i| arrived[*i]);
        let leading = leading.filter(|i| arrived[*i] > 0);
        if let Some(leading) = leading {
            let others = self.calls.iter().enumerate();
            for (_, call) in others.filter(|(i, _)| *i != leading) {
                call.handle.abort();
            }
        }
        leading.is_some()
    }
}
