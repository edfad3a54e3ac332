//! The memory that callers' connections hold, with log events and a counter for those that are closed
//! or refused because of it.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::IpAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_config::entry_settings::EntrySettings;
use comfreyweir_http::{
    memory::{CallerMemory, EvictionCause, budget::MemoryLimits},
    upstream::UpstreamClient,
};

use crate::metrics::Metrics;

/// Shortest time between two log lines about one cause. Crowds are evicted by the hundred.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the memory for callers' connections that unfinished answers of upstreams may take.
const UNFINISHED_DIVISOR: usize = 4;

/// Evictions of one cause since its last log line.
#[derive(Default)]
struct Unlogged {
    logged_at: Option<Instant>,
    count: u64,
}

/// The memory of the instance that the settings describe.
pub(crate) fn open(settings: &EntrySettings, metrics: &Metrics) -> Rc<CallerMemory> {
    let metrics = metrics.clone();
    let unlogged = RefCell::<BTreeMap<&'static str, Unlogged>>::default();
    let limits = MemoryLimits::for_machine(settings.instance.memory_mb);
    CallerMemory::new(limits, move |cause, address| {
        metrics.count_eviction(cause.name());
        log(&mut unlogged.borrow_mut(), cause, address, Instant::now());
    })
}

/// The client for calls to upstreams of the instance that the settings describe. What it may hold of
/// answers that have not ended is a part of what callers' connections may hold.
pub(crate) fn open_client(settings: &EntrySettings, connect_timeout: Duration) -> UpstreamClient {
    let limits = MemoryLimits::for_machine(settings.instance.memory_mb);
    let client = UpstreamClient::new(connect_timeout);
    client.with_unfinished_limit(limits.bytes / UNFINISHED_DIVISOR)
}

fn log(
    unlogged: &mut BTreeMap<&'static str, Unlogged>,
    cause: EvictionCause,
    address: IpAddr,
    now: Instant,
) {
    let unlogged = unlogged.entry(cause.name()).or_default();
    unlogged.count += 1;
    let is_soon = |at: Instant| now.saturating_duration_since(at) < LOG_INTERVAL;
    if unlogged.logged_at.is_some_and(is_soon) {
        return;
    }
    unlogged.logged_at = Some(now);
    let count = std::mem::take(&mut unlogged.count);
    let address = address.to_string();
    spdlog::warn!("callers were closed or refused", kv: {
        cause = cause.name(), count, last_address = address.as_str()
    });
}
