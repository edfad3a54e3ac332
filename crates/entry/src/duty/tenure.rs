//! Taking, keeping and giving up the planning duty.

use std::{rc::Rc, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use comfreyweir_clock::{Clock, whole_millis};
use comfreyweir_fleet::duty::Tenure;
use comfreyweir_http::stopping::Phase;
use rand::RngExt;
use tokio::time::timeout;

use super::{actions, desk::Desk};
use crate::{
    follow::members::DUTY,
    ports::{Committed, Platform, PlatformError, Transaction},
    state::{Cx, Holder},
};

/// Lifetime of the duty after its last renewal. Short, so that a successor is there soon; a slow
/// store answers within some hundred ms.
const DUTY_TTL: Duration = Duration::from_secs(2);
/// Period of renewals: two may fail before orders stop.
const RENEW_PERIOD: Duration = Duration::from_millis(400);
/// Longest random wait before the duty is taken, so that not all instances try at once.
const TAKE_JITTER: Duration = Duration::from_millis(100);
/// What each instance adds to that.
const TAKE_JITTER_EACH: Duration = Duration::from_millis(3);
/// Processor below which an instance leaves the duty to others, in cores: the work of a holder of
/// a hundred instances is a few hundredths of a core.
const SMALL_CORES: f64 = 0.2;
/// Bandwidth below which it does, in Mbit/s: the exchange of a hundred instances takes a few.
const SMALL_LINK_MBPS: f64 = 50.0;
/// Pause after a failed attempt to take the duty.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause between two decisions while the duty is held.
const STEP_PERIOD: Duration = Duration::from_millis(50);
/// Least pause between two decisions, so that a burst of reports is decided on together.
const LEAST_STEP: Duration = Duration::from_millis(4);
/// Time beyond the longest pause between two decisions that shows a suspension.
const SUSPENSION: Duration = Duration::from_millis(100);

/// Takes the duty whenever nobody has it, and does it.
pub(crate) async fn run<P>(cx: Rc<Cx<P>>, desk: Rc<Desk<P>>)
where
    P: Platform,
{
    loop {
        let revision = wait_until_vacant(&cx).await;
        match take(&cx, revision).await {
            Ok(Some(tenure)) => {
                desk.begin(tenure);
                serve(&cx, &desk).await;
                desk.end();
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

/// Gives the duty up at a planned stop, so that another instance can take it soon. The lease ends
/// as long after the last order as it does when it lapses, which successors count on.
pub(crate) async fn release<P>(cx: &Rc<Cx<P>>, desk: &Rc<Desk<P>>)
where
    P: Platform,
{
    if let Some(tenure) = desk.tenure() {
        desk.resign();
        sleep(Tenure::quiet(DUTY_TTL)).await;
        desk.end();
        end_lease(cx, tenure.lease).await;
    }
}

/// Waits until the duty can be taken: nobody has it, or an earlier process of this instance. Gives
/// the revision of the duty's key, 0 where nobody has it.
async fn wait_until_vacant<P>(cx: &Cx<P>) -> u64
where
    P: Platform,
{
    loop {
        let changed = cx.members_changed.notified();
        match vacancy(cx) {
            Some(0) => {
                sleep(take_delay(cx)).await;
                if vacancy(cx) == Some(0) {
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

fn vacancy<P>(cx: &Cx<P>) -> Option<u64>
where
    P: Platform,
{
    let is_serving = cx.stopping.phase() == Phase::Serving;
    if !is_serving || cx.config().version == 0 {
        return None;
    }
    let members = cx.members.borrow();
    let Some(holder) = &members.holder else {
        return members.is_known.then_some(0);
    };
    // Both: a machine that replaces another may get its name.
    let settings = cx.settings();
    let is_same =
        holder.instance() == settings.instance.name && holder.peer == settings.listen.peer;
    let was_here = is_same && holder.process != cx.process;
    (was_here && members.duty_revision > 0).then_some(members.duty_revision)
}

/// Time to wait before the duty is taken. Instances with little processor or bandwidth leave it to
/// others, if there are any: the holder hears from all.
fn take_delay<P>(cx: &Cx<P>) -> Duration
where
    P: Platform,
{
    let instances = u32::try_from(cx.instance_count()).unwrap_or(u32::MAX);
    let longest = TAKE_JITTER + TAKE_JITTER_EACH * instances;
    let jitter = rand::rng().random_range(Duration::ZERO..longest);
    let instance = &cx.settings().instance;
    let is_small = instance.cores < SMALL_CORES || instance.link_mbps < SMALL_LINK_MBPS;
    if is_small { longest + jitter } else { jitter }
}

async fn take<P>(cx: &Rc<Cx<P>>, revision: u64) -> Result<Option<Tenure>, PlatformError>
where
    P: Platform,
{
    let limit = cx.settings().timing.store_call();
    let ttl = DUTY_TTL.max(Duration::from_millis(cx.settings().store.min_lease_ms));
    let called = cx.clock.since_boot();
    let lease = cx.platform.grant(ttl, limit).await?;
    let key = format!("{}{DUTY}", cx.platform.keys().own);
    let holder = Holder {
        process: cx.process.clone(),
        peer: cx.settings().listen.peer,
    };
    let value = serde_json::to_vec(&holder).unwrap_or_default();
    let tx = Transaction {
        expected: vec![(key.clone(), revision)],
        puts: vec![(key, Bytes::from(value), lease.id)],
        ..Transaction::default()
    };
    let committed = cx.platform.commit(&tx, limit).await;
    if let Ok(Committed::Conflict(_)) = &committed {
        // Somebody else was first, or the key has ended meanwhile: the watch tells.
        cx.members.borrow_mut().duty_revision = 0;
    }
    let Ok(Committed::Done(fence)) = committed else {
        // After a lost answer the duty may be taken all the same: it ends with its lease.
        end_lease(cx, lease.id).await;
        return committed.map(|_| None);
    };
    // Not left to the watch: only the holder watches the instances and the configuration.
    {
        let mut members = cx.members.borrow_mut();
        members.holder = Some(holder);
        members.duty_revision = fence;
    }
    // Orders of the same instance need no rest between them. Another holder has given none for a
    // part of its lease.
    let rest = if revision == 0 {
        let apart = Duration::from_millis(cx.settings().timing.order_rest_ms);
        apart.saturating_sub(Tenure::quiet(DUTY_TTL))
    } else {
        Duration::ZERO
    };
    let now = cx.clock.since_boot();
    let rest_ms = whole_millis(rest);
    spdlog::info!("planning duty taken", kv: { fence, lease = lease.id, rest_ms });
    Ok(Some(Tenure::begin(
        fence, lease.id, lease.ttl, called, now, rest,
    )))
}

async fn end_lease<P>(cx: &Rc<Cx<P>>, lease: u64)
where
    P: Platform,
{
    let limit = cx.settings().timing.store_call();
    if let Err(e) = cx.platform.end(lease, limit).await {
        let reason = e.to_string();
        spdlog::warn!("lease could not be ended; it lapses", kv: {
            lease, reason = reason.as_str()
        });
    }
}

/// Decides and gives orders until the duty is lost.
async fn serve<P>(cx: &Rc<Cx<P>>, desk: &Rc<Desk<P>>)
where
    P: Platform,
{
    let renewals = actix_rt::spawn(renew(Rc::clone(cx), Rc::clone(desk)));
    let mut suspension = Suspension::new(cx);
    let mut is_refreshed = false;
    while let Some(tenure) = desk.tenure() {
        if suspension.was_suspended(cx) {
            desk.pause_orders(Duration::from_millis(cx.settings().timing.thaw_ms));
        }
        let now = cx.clock.since_boot();
        if tenure.has_lapsed(now) {
            spdlog::warn!("planning duty lapsed: it was not renewed in time", kv: {
                fence = tenure.fence
            });
            break;
        }
        let may_order = tenure.may_order(now) && !desk.is_paused();
        if may_order && !is_refreshed {
            is_refreshed = true;
            // What engines reported before may be from before the last orders of another holder.
            desk.forget_reports();
        }
        desk.step();
        actions::perform(cx, desk, tenure, may_order);
        sleep(LEAST_STEP).await;
        let _ = timeout(STEP_PERIOD, desk.woken()).await;
    }
    renewals.abort();
}

/// Renews the duty's lease until it has ended.
async fn renew<P>(cx: Rc<Cx<P>>, desk: Rc<Desk<P>>)
where
    P: Platform,
{
    let limit = cx.settings().timing.store_call();
    while let Some(tenure) = desk.tenure() {
        sleep(RENEW_PERIOD).await;
        let called = cx.clock.since_boot();
        match cx.platform.renew(tenure.lease, limit).await {
            Ok(true) => desk.renewed(called),
            Ok(false) => {
                spdlog::warn!("planning duty lost: its lease has ended", kv: {
                    fence = tenure.fence
                });
                desk.end();
            }
            Err(e) => {
                let reason = e.to_string();
                spdlog::warn!("planning duty could not be renewed", kv: {
                    fence = tenure.fence, reason = reason.as_str()
                });
            }
        }
    }
}

/// Notices that the process did not run for a while: steps follow each other closely.
struct Suspension {
    last_step: Duration,
}

impl Suspension {
    fn new<P>(cx: &Cx<P>) -> Self {
        Self {
            last_step: cx.clock.since_boot(),
        }
    }

    /// Whether the machine or the process stood still since the last call.
    fn was_suspended<P>(&mut self, cx: &Cx<P>) -> bool {
        let before = std::mem::replace(self, Self::new(cx));
        self.last_step.saturating_sub(before.last_step) > STEP_PERIOD + SUSPENSION
    }
}
