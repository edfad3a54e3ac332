//! Acquires, renews and releases the planning duty. The duty is a key in the store, bound to a
//! lease.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use comfreyweir_clock::{Clock, whole_millis};
use comfreyweir_fleet::duty::{LeaseId, Tenure};
use comfreyweir_http::shutdown::Phase;
use rand::RngExt;
use tokio::time::timeout;

use super::{actions, coordinator::Coordinator};
use crate::{
    follow::members::DUTY_KEY,
    platform::{CommitOutcome, Platform, PlatformError, Transaction},
    state::{EntryContext, Holder},
};

/// Lifetime of the duty's lease after its last renewal. Short, so that a failed holder is replaced
/// soon, but well above the few hundred ms that a slow store takes to answer.
const DUTY_LEASE_TTL: Duration = Duration::from_secs(2);
/// Period of lease renewals: two in a row may fail before the holder stops sending orders.
const RENEW_PERIOD: Duration = Duration::from_millis(400);
/// Maximum random delay before the duty is acquired, so that not all instances try at once.
const ACQUIRE_JITTER: Duration = Duration::from_millis(100);
/// Addition to that maximum for each instance of the system.
const ACQUIRE_JITTER_PER_INSTANCE: Duration = Duration::from_millis(3);
/// Number of cores below which an instance lets others acquire the duty first. With a hundred
/// instances, the holder's work takes a few hundredths of a core.
const SMALL_INSTANCE_CORES: f64 = 0.2;
/// Bandwidth in Mbit/s below which an instance does the same. The exchange with a hundred instances
/// takes a few Mbit/s.
const SMALL_INSTANCE_LINK_MBPS: f64 = 50.0;
/// Pause after a failed attempt to acquire the duty, and longest pause between checks for a
/// vacancy.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause between two planner runs while the duty is held.
const MAX_STEP_PAUSE: Duration = Duration::from_millis(50);
/// Shortest pause between two planner runs, so that a burst of reports is handled in one run.
const MIN_STEP_PAUSE: Duration = Duration::from_millis(4);
/// Addition to the shortest pause for each upstream: a planner run takes longer the more engines
/// there are, and must leave most of the CPU to the exchange.
const STEP_TIME_PER_UPSTREAM: Duration = Duration::from_micros(150);
/// Time beyond [`MAX_STEP_PAUSE`] after which the process is considered to have been suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(100);

/// Acquires the duty whenever it is vacant and holds it until it is lost. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    loop {
        let revision = wait_until_vacant(&cx).await;
        match acquire(&cx, revision).await {
            Ok(Some(tenure)) => {
                coordinator.begin_tenure(tenure);
                hold(&cx, &coordinator).await;
                coordinator.end_tenure();
                end_lease(&cx, tenure.lease).await;
            }
            Ok(None) => sleep(RETRY_PAUSE).await,
            Err(e) => {
                let reason = e.to_string();
                spdlog::warn!("planning duty could not be taken", kv: { reason = reason.as_str() });
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Releases the duty at a graceful shutdown, so that another instance can acquire it soon.
///
/// Between the last order and the end of the lease, the same time passes as when a lease expires.
/// Successors subtract it from the delay before their own first order.
pub(crate) async fn release<P>(cx: &Rc<EntryContext<P>>, coordinator: &Rc<Coordinator<P>>)
where
    P: Platform,
{
    if let Some(tenure) = coordinator.tenure() {
        coordinator.stop_ordering();
        sleep(Tenure::order_free_time(DUTY_LEASE_TTL)).await;
        coordinator.end_tenure();
        end_lease(cx, tenure.lease).await;
    }
}

/// Waits until the duty is vacant, or recorded for an earlier process of this instance or for this
/// process, which does not hold it. Returns the revision of the duty's key, 0 if vacant.
async fn wait_until_vacant<P>(cx: &EntryContext<P>) -> u64
where
    P: Platform,
{
    loop {
        let changed = cx.members_changed.notified();
        match vacant_revision(cx) {
            Some(0) => {
                sleep(acquire_delay(cx)).await;
                if vacant_revision(cx) == Some(0) {
                    return 0;
                }
                continue;
            }
            Some(revision) => return revision,
            None => {}
        }
        let _ = timeout(RETRY_PAUSE, changed).await;
    }
}

/// The revision that the duty's key must have for this instance to acquire it: 0 if the duty is
/// vacant, none if it cannot be acquired now.
fn vacant_revision<P>(cx: &EntryContext<P>) -> Option<u64>
where
    P: Platform,
{
    let is_serving = cx.shutdown.phase() == Phase::Serving;
    if !is_serving || cx.config().version == 0 {
        return None;
    }
    let members = cx.members.borrow();
    let Some(holder) = &members.holder else {
        return members.is_known.then_some(0);
    };
    // Name and address are compared: a machine that replaces another may get the same name.
    let settings = cx.settings();
    let is_same_instance =
        holder.instance() == settings.instance.name && holder.peer == settings.listen.peer;
    // The key may name this process, which does not hold the duty: a store that has come back from a
    // copy has it from before, and a write that it answered while coming back may have bound it to a
    // lease of another owner.
    (is_same_instance && members.duty_revision > 0).then_some(members.duty_revision)
}

/// Delay before an attempt to acquire the duty. Instances with little CPU or bandwidth wait longer,
/// so that larger ones come first: the holder handles the reports of all instances.
fn acquire_delay<P>(cx: &EntryContext<P>) -> Duration
where
    P: Platform,
{
    let instances = u32::try_from(cx.instance_count()).unwrap_or(u32::MAX);
    let max_jitter = ACQUIRE_JITTER + ACQUIRE_JITTER_PER_INSTANCE * instances;
    let jitter = rand::rng().random_range(Duration::ZERO..max_jitter);
    let instance = &cx.settings().instance;
    let is_small =
        instance.cores < SMALL_INSTANCE_CORES || instance.link_mbps < SMALL_INSTANCE_LINK_MBPS;
    if is_small {
        max_jitter + jitter
    } else {
        jitter
    }
}

/// Tries once to acquire the duty, whose key must have the given revision. None if another instance
/// was faster or the lease ended.
async fn acquire<P>(
    cx: &Rc<EntryContext<P>>,
    revision: u64,
) -> Result<Option<Tenure>, PlatformError>
where
    P: Platform,
{
    let limit = cx.settings().timing.store_call_timeout();
    let ttl = DUTY_LEASE_TTL.max(Duration::from_millis(cx.settings().store.min_lease_ms));
    let called_at = cx.clock.since_boot();
    let era = cx.platform.store_era();
    let lease = cx.platform.grant_lease(ttl, limit).await?;
    let key = format!("{}{DUTY_KEY}", cx.platform.keys().own_prefix);
    let holder = Holder {
        process: cx.process.clone(),
        peer: cx.settings().listen.peer,
    };
    let value = serde_json::to_vec(&holder).unwrap_or_default();
    let tx = Transaction {
        expected: vec![(key.clone(), revision)],
        puts: vec![(key, Bytes::from(value), Some(lease.id))],
        ..Transaction::default()
    };
    let committed = cx.platform.commit(&tx, limit).await;
    if let Ok(CommitOutcome::Conflict(_)) = &committed {
        // Another instance was faster, or the key has expired: the watch reports the new state.
        cx.members.borrow_mut().duty_revision = 0;
    }
    let Ok(CommitOutcome::Done(fence)) = committed else {
        // If only the answer was lost, the key may have been written: ending the lease removes it.
        end_lease(cx, lease.id).await;
        return committed.map(|_| None);
    };
    // Set here and not by the watch: tasks that only the holder runs, such as watching instances
    // and the configuration, depend on it.
    {
        let mut members = cx.members.borrow_mut();
        members.holder = Some(holder);
        members.duty_revision = fence;
    }
    // A duty taken over from an earlier process of this instance needs no delay. Otherwise the
    // previous holder has sent no orders during the last part of its lease, which is subtracted.
    let min_order_gap = Duration::from_millis(cx.settings().timing.order_rest_ms);
    let order_delay = if cx.platform.store_era() != era || may_have_lost_holder(cx, min_order_gap) {
        min_order_gap + Tenure::order_time(DUTY_LEASE_TTL)
    } else if revision > 0 {
        Duration::ZERO
    } else {
        min_order_gap.saturating_sub(Tenure::order_free_time(DUTY_LEASE_TTL))
    };
    let now = cx.clock.since_boot();
    let rest_ms = whole_millis(order_delay);
    spdlog::info!("planning duty taken", kv: { fence, lease = lease.id.number, rest_ms });
    Ok(Some(Tenure::begin(
        fence,
        lease.id,
        lease.ttl,
        called_at,
        now,
        order_delay,
    )))
}

/// Whether the store has come back from a copy so recently that a holder may not know of it whose
/// lease it has lost. Such a holder gives orders until it should have renewed its lease.
fn may_have_lost_holder<P>(cx: &EntryContext<P>, min_order_gap: Duration) -> bool
where
    P: Platform,
{
    let time = cx.time_since_store_copy();
    time.is_some_and(|time| time < DUTY_LEASE_TTL + min_order_gap)
}

async fn end_lease<P>(cx: &Rc<EntryContext<P>>, lease: LeaseId)
where
    P: Platform,
{
    let limit = cx.settings().timing.store_call_timeout();
    if let Err(e) = cx.platform.end_lease(lease, limit).await {
        let reason = e.to_string();
        spdlog::warn!("failed to end lease; it expires by itself", kv: {
            lease = lease.number, reason = reason.as_str()
        });
    }
}

/// Renews the lease and runs the planners until the tenure ends. Neither goes on without the other.
async fn hold<P>(cx: &Rc<EntryContext<P>>, coordinator: &Rc<Coordinator<P>>)
where
    P: Platform,
{
    tokio::select! {
        () = renew_lease(cx, coordinator) => {}
        () = run_planners(cx, coordinator) => {}
    }
}

/// Runs the planners and starts their actions until the tenure ends.
async fn run_planners<P>(cx: &Rc<EntryContext<P>>, coordinator: &Rc<Coordinator<P>>)
where
    P: Platform,
{
    let mut suspension_detector = SuspensionDetector::new(cx);
    let mut has_discarded_reports = false;
    while let Some(tenure) = coordinator.tenure() {
        if suspension_detector.was_suspended(cx) {
            coordinator.pause_orders(Duration::from_millis(cx.settings().timing.thaw_ms));
        }
        let now = cx.clock.since_boot();
        if tenure.has_lapsed(now) {
            spdlog::warn!("planning duty lapsed: it was not renewed in time", kv: {
                fence = tenure.fence
            });
            break;
        }
        let may_order = tenure.may_order(now) && !coordinator.is_ordering_paused();
        if may_order && !has_discarded_reports {
            has_discarded_reports = true;
            // Earlier reports may predate the last orders of the previous holder.
            coordinator.forget_reports();
        }
        coordinator.run_planners();
        actions::start_actions(cx, coordinator, tenure, may_order);
        let engines = u32::try_from(cx.directory.borrow().iter().count()).unwrap_or(u32::MAX);
        let step_pause = (STEP_TIME_PER_UPSTREAM * engines).clamp(MIN_STEP_PAUSE, MAX_STEP_PAUSE);
        sleep(step_pause).await;
        let _ = timeout(MAX_STEP_PAUSE, coordinator.step_requested()).await;
    }
}

/// Renews the duty's lease periodically until the tenure ends; ends the tenure if the lease has
/// expired.
async fn renew_lease<P>(cx: &EntryContext<P>, coordinator: &Coordinator<P>)
where
    P: Platform,
{
    let limit = cx.settings().timing.store_call_timeout();
    while let Some(tenure) = coordinator.tenure() {
        sleep(RENEW_PERIOD).await;
        let called_at = cx.clock.since_boot();
        match cx.platform.renew_lease(tenure.lease, limit).await {
            Ok(true) => {
                cx.record_store_answer();
                coordinator.record_renewal(called_at);
            }
            Ok(false) => {
                cx.record_store_answer();
                spdlog::warn!("planning duty lost: its lease has ended", kv: {
                    fence = tenure.fence
                });
                coordinator.end_tenure();
            }
            Err(e) => {
                cx.record_store_failure(&e);
                let reason = e.to_string();
                spdlog::warn!("planning duty could not be renewed", kv: {
                    fence = tenure.fence, reason = reason.as_str()
                });
            }
        }
    }
}

/// Detects that the process or machine was suspended, by a long gap between two planner runs.
struct SuspensionDetector {
    last_step: Duration,
}

impl SuspensionDetector {
    fn new<P>(cx: &EntryContext<P>) -> Self {
        Self {
            last_step: cx.clock.since_boot(),
        }
    }

    /// Whether the process or the machine was suspended since the last call.
    fn was_suspended<P>(&mut self, cx: &EntryContext<P>) -> bool {
        let previous = std::mem::replace(self, Self::new(cx));
        self.last_step.saturating_sub(previous.last_step) > MAX_STEP_PAUSE + SUSPENSION_THRESHOLD
    }
}
