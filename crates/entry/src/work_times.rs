//! Measures where the processor time of an instance goes.
//!
//! An instance has one thread and a fraction of a core, so a long turn of one task stops all others.
//! Each part of the work has its time, the number of its turns and its longest turn, and one line in
//! every period has them all.

use std::{
    cell::{Cell, RefCell},
    future::{Future, poll_fn},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use actix_rt::time::sleep;
use comfreyweir_clock::{Clock, whole_millis};

use crate::{duty::Coordinator, platform::Platform, state::EntryContext};

/// Period between two log lines.
const LOG_PERIOD: Duration = Duration::from_secs(5);

/// Parts of an instance's work, in the order of [`WorkTimes::parts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// Callers' requests, without the parsing of HTTP.
    Requests,
    /// Reports to the holder and applying its views.
    Exchange,
    /// Answers of the holder to reports and to requests for grants.
    Views,
    /// Planning and the election of the holder.
    Planning,
    /// Orders and report requests to engines.
    Orders,
    /// Following the store.
    Store,
}

/// Number of values of [`Work`].
const PARTS: usize = 6;

/// Time that a part of the work has taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkTime {
    /// Total processor time.
    pub(crate) total: Duration,
    /// Number of turns.
    pub(crate) turns: u64,
    /// Processor time of the longest turn.
    pub(crate) longest: Duration,
}

impl WorkTime {
    fn record(&mut self, time: Duration) {
        self.total += time;
        self.turns += 1;
        self.longest = self.longest.max(time);
    }
}

/// Times of all parts since the last log line, and counters of the exchange.
#[derive(Debug, Default)]
pub(crate) struct WorkTimes {
    parts: RefCell<[WorkTime; PARTS]>,
    /// Longest time from a report to its applied view.
    longest_exchange: Cell<Duration>,
    /// Number of views that were sent, and their bytes.
    views: Cell<(u64, u64)>,
    /// Largest number of loads that a planner run had to decide on.
    wanted: Cell<usize>,
}

impl WorkTimes {
    /// Measures the turns of a future as a part of the work.
    pub(crate) async fn measure<C, F>(&self, clock: &C, work: Work, future: F) -> F::Output
    where
        C: Clock,
        F: Future,
    {
        let mut future = pin!(future);
        poll_fn(|cx| {
            let began = clock.processor();
            let result = future.as_mut().poll(cx);
            let time = clock.processor().saturating_sub(began);
            self.parts.borrow_mut()[work as usize].record(time);
            result
        })
        .await
    }

    /// Records the time from a report to its applied view.
    pub(crate) fn record_exchange(&self, time: Duration) {
        self.longest_exchange
            .set(self.longest_exchange.get().max(time));
    }

    /// Records a view that was sent.
    pub(crate) fn record_view(&self, bytes: usize) {
        let (views, total) = self.views.get();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.views.set((views + 1, total.saturating_add(bytes)));
    }

    /// Records the number of loads that a planner run had to decide on.
    pub(crate) fn record_wanted(&self, wanted: usize) {
        self.wanted.set(self.wanted.get().max(wanted));
    }
}

/// Logs the times of each period. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    let mut began = (cx.now(), cx.clock.processor());
    loop {
        sleep(LOG_PERIOD).await;
        let ended = (cx.now(), cx.clock.processor());
        let period = ended.0.saturating_duration_since(began.0);
        log(&cx, &coordinator, period, ended.1.saturating_sub(began.1));
        began = ended;
    }
}

fn log<P>(cx: &EntryContext<P>, coordinator: &Coordinator<P>, period: Duration, processor: Duration)
where
    P: Platform,
{
    let times = &cx.work_times;
    let [requests, exchange, views, planning, orders, store] = times.parts.take();
    let us = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    let (views_sent, view_bytes) = times.views.take();
    spdlog::info!("work", kv: {
        holds_duty = coordinator.has_duty(), period_ms = whole_millis(period),
        processor_ms = whole_millis(processor),
        requests_us = us(requests.total), requests_turns = requests.turns,
        requests_longest_us = us(requests.longest),
        exchange_us = us(exchange.total), exchange_turns = exchange.turns,
        exchange_longest_us = us(exchange.longest),
        views_us = us(views.total), views_turns = views.turns,
        views_longest_us = us(views.longest),
        planning_us = us(planning.total), planning_turns = planning.turns,
        planning_longest_us = us(planning.longest),
        orders_us = us(orders.total), orders_turns = orders.turns,
        orders_longest_us = us(orders.longest),
        store_us = us(store.total), store_turns = store.turns,
        store_longest_us = us(store.longest),
        longest_exchange_ms = whole_millis(times.longest_exchange.take()),
        views_sent, view_bytes, wanted = times.wanted.take()
    });
}
