//! Sends reports to the holder of the planning duty and applies its answers.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use comfreyweir_clock::Clock;
use comfreyweir_fleet::{
    holder_search::HolderSearch,
    load::{Load, Loads},
    report_pacing::ReportPacing,
    zones::EvacuationSource,
};
use comfreyweir_peer::{LinkError, PeerLink, open, peer_capnp::entry, wire_millis};
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use super::message::{DirectoryView, ExchangeAnswer, InstanceCall, InstanceReport, SystemView};
use crate::{
    duty::Coordinator,
    follow::{known_config::Source, members},
    platform::Platform,
    state::EntryContext,
    zones,
};

/// Time beyond that delay after which a call to the holder times out.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Pause after a failed exchange.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Shortest pause between two reports.
const MIN_REPORT_PAUSE: Duration = Duration::from_millis(10);

/// Why an exchange failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum ExchangeError {
    #[snafu(display("{source}"))]
    Link { source: LinkError },
    #[snafu(display("view of {addr} cannot be decoded: {source}"))]
    Decode {
        addr: SocketAddr,
        source: postcard::Error,
    },
    #[snafu(display("cannot connect to {addr} in time"))]
    Connect { addr: SocketAddr },
    #[snafu(display("no holder of the planning duty is known"))]
    NoHolder,
    #[snafu(display("the holder of the planning duty sent an answer of another kind"))]
    UnexpectedAnswer,
}

/// Reports to the holder periodically. Does not return.
pub(crate) async fn run<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>)
where
    P: Platform,
{
    let mut outage_log = members::holder_outage_log();
    let mut session = HolderSession::default();
    let mut pacing = ReportPacing::default();
    loop {
        let wait = answer_wait(&cx, &pacing);
        let result = tokio::select! {
            result = session.exchange(&cx, &coordinator, wait) => result,
            () = demand_changed_during(&cx, wait) => {
                pacing.record_new_demand();
                sleep(MIN_REPORT_PAUSE).await;
                continue;
            }
        };
        match result {
            Ok(()) => {
                outage_log.record_success(cx.now());
                pacing.record_answer();
                if wait_for_next_report(&cx).await {
                    pacing.record_new_demand();
                }
            }
            Err(e) => {
                outage_log.record_failure(&e, cx.now());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// How long the holder may delay its answer until it has news for waiting requests.
fn answer_wait<P>(cx: &EntryContext<P>, pacing: &ReportPacing) -> Duration
where
    P: Platform,
{
    if cx.demand.borrow().has_waiting() {
        pacing.answer_wait(cx.exchange_period())
    } else {
        Duration::ZERO
    }
}

/// Completes when demand changes while the holder may be delaying its answer, so that the caller
/// can report again at once; never if `wait` is zero.
async fn demand_changed_during<P>(cx: &EntryContext<P>, wait: Duration)
where
    P: Platform,
{
    if wait.is_zero() {
        std::future::pending::<()>().await;
    }
    cx.demand_changed.notified().await;
}

/// Pauses until the next report is due: only for the minimum while requests wait, else until the
/// reporting period ends or demand changes. Returns whether there is new demand.
async fn wait_for_next_report<P>(cx: &EntryContext<P>) -> bool
where
    P: Platform,
{
    sleep(MIN_REPORT_PAUSE).await;
    let pause = if cx.demand.borrow().has_waiting() {
        Duration::ZERO
    } else {
        cx.exchange_period()
    };
    timeout(pause, cx.demand_changed.notified()).await.is_ok()
}

/// How to find the holder.
#[derive(Default)]
struct HolderSession {
    search: HolderSearch,
}

impl HolderSession {
    async fn exchange<P>(
        &mut self,
        cx: &Rc<EntryContext<P>>,
        coordinator: &Rc<Coordinator<P>>,
        wait: Duration,
    ) -> Result<(), ExchangeError>
    where
        P: Platform,
    {
        let report = build_report(cx);
        let reported_at = cx.now();
        let reported_since_boot = cx.clock.since_boot();
        let loads = report.loads.clone();
        let arrivals = report.demand.arrivals.clone();
        let evidence = report.evidence.clone();
        if coordinator.has_duty() {
            cx.set_holder_link(None);
            if let ExchangeAnswer::View(mut view) = coordinator.exchange(report, wait).await {
                cx.demand.borrow_mut().acknowledge(arrivals);
                cx.quarantine
                    .acknowledge_evidence(&evidence, view.placement.0);
                // The view has the list as of the last planner run. This instance may have read a
                // newer one since, which the older one must not replace.
                view.directory = DirectoryView::default();
                apply_view(cx, *view, &loads, (reported_at, reported_since_boot));
            }
            return Ok(());
        }
        let addr = self.target_addr(cx).ok_or(ExchangeError::NoHolder)?;
        match report_to(cx, addr, report, wait).await {
            Ok(ExchangeAnswer::View(view)) => {
                cx.demand.borrow_mut().acknowledge(arrivals);
                cx.quarantine
                    .acknowledge_evidence(&evidence, view.placement.0);
                self.search.record_found();
                apply_view(cx, *view, &loads, (reported_at, reported_since_boot));
                Ok(())
            }
            Ok(ExchangeAnswer::Elsewhere(hint, evacuations)) => {
                let source = EvacuationSource::Instance;
                zones::learn_news(cx, evacuations.as_ref(), source, Some(reported_at));
                let own = cx.settings().listen.peer;
                let named = hint.filter(|hint| *hint != own);
                let is_named = self.search.record_elsewhere(addr, named);
                cx.holder_resigned.set(!is_named);
                cx.set_holder_link(None);
                Err(ExchangeError::NoHolder)
            }
            Ok(
                ExchangeAnswer::Grants(_)
                | ExchangeAnswer::Trials(_)
                | ExchangeAnswer::Origins(_)
                | ExchangeAnswer::Permits(_)
                | ExchangeAnswer::Config(_),
            ) => UnexpectedAnswerSnafu.fail(),
            Err(e) => {
                self.search.record_failure();
                cx.set_holder_link(None);
                Err(e)
            }
        }
    }

    fn target_addr<P>(&self, cx: &EntryContext<P>) -> Option<SocketAddr>
    where
        P: Platform,
    {
        let members = cx.members.borrow();
        let own = cx.settings().listen.peer;
        let holder = members.holder.as_ref().map(|h| h.peer);
        let others = members.instances.values().copied();
        let others: Vec<_> = others.filter(|addr| *addr != own).collect();
        self.search.next(holder.filter(|h| *h != own), &others)
    }
}

/// Sends a report to the instance at `addr`.
async fn report_to<P>(
    cx: &EntryContext<P>,
    addr: SocketAddr,
    report: InstanceReport,
    wait: Duration,
) -> Result<ExchangeAnswer, ExchangeError>
where
    P: Platform,
{
    let known = cx.holder_link.borrow().clone();
    let usable = known.filter(|link| link.addr() == addr && !link.is_closed());
    let link = if let Some(link) = usable {
        link
    } else {
        let secret = cx.members.borrow().secret.clone();
        let secret = secret.ok_or_else(|| NoHolderSnafu.build())?;
        let link = Rc::new(open(addr, &secret).await.context(LinkSnafu)?);
        cx.set_holder_link(Some(Rc::clone(&link)));
        link
    };
    let call = InstanceCall::Report(Box::new(report));
    call_holder(&link, &call, wait, wait + ANSWER_TIMEOUT_MARGIN).await
}

/// Sends a message over a link and returns the answer, which may be delayed for at most `wait`.
pub(super) async fn call_holder(
    link: &PeerLink<entry::Client>,
    message: &InstanceCall,
    wait: Duration,
    limit: Duration,
) -> Result<ExchangeAnswer, ExchangeError> {
    let addr = link.addr();
    let message = postcard::to_allocvec(message).context(DecodeSnafu { addr })?;
    let mut req = link.client().exchange_request();
    req.get().set_report(&message);
    req.get().set_wait_ms(wire_millis(wait));
    let call = async { Ok(req.send().promise.await?.get()?.get_view()?.to_vec()) };
    let answer = link.call(limit, call).await.context(LinkSnafu)?;
    postcard::from_bytes(&answer).context(DecodeSnafu { addr })
}

/// Builds the report of this instance's current state.
fn build_report<P>(cx: &EntryContext<P>) -> InstanceReport
where
    P: Platform,
{
    let placement = cx.placement.borrow();
    InstanceReport {
        process: cx.process.clone(),
        loads: cx.loads.borrow().own().clone(),
        demand: cx.demand.borrow().report(),
        spent: cx.quotas.borrow().totals(cx.now()),
        unreachable: cx.health.borrow().upstreams_in_backoff(cx.now()),
        mixed: cx.software.borrow().mixed(cx.now()),
        evidence: cx.quarantine.evidence().report(),
        leaving: cx.directory.borrow().leaving().cloned().collect(),
        limits: cx.limits.borrow().heard(cx.clock.since_boot()),
        placement: placement.fence_and_version(),
        directory: placement.holder_list.version(),
        config: cx.known_config.sender.id(),
        takes_config: cx.known_config.apply_pause(cx.now()).is_zero(),
        link_mbps: cx.settings().instance.link_mbps,
        evacuations: zones::news(cx),
        store_reach: cx.directory.borrow().store_reach(cx.now()),
    }
}

/// Applies the holder's view to the local state: its answer to a report built with these loads at a
/// time, also given since boot.
fn apply_view<P>(
    cx: &Rc<EntryContext<P>>,
    view: SystemView,
    reported_loads: &Loads,
    (reported_at, reported_since_boot): (Instant, Duration),
) where
    P: Platform,
{
    let now = cx.now();
    let exchange_time = now.saturating_duration_since(reported_at);
    cx.work_times
        .record_exchange(exchange_time.saturating_sub(view.delay));
    if let Some(difference) = &view.config {
        cx.apply_config_part(difference, Source::Holder);
    }
    cx.known_config.hear_of_size(view.config_bytes);
    *cx.known_config.sources.borrow_mut() = view.config_sources;
    // The holder has made the view no earlier than this, and it may have been on its way since, or have
    // waited for a process that was frozen.
    let made_at = reported_at + view.delay;
    cx.apply_grants(&view.grants, made_at);
    let source = EvacuationSource::Holder;
    zones::learn_news(cx, view.evacuations.as_ref(), source, Some(made_at));
    apply_totals(cx, &view.totals, reported_loads, now);
    cx.record_store_reach(view.store_reach, reported_at);
    apply_directory(cx, view.directory, made_at);
    let leaving = view.leaving.into_iter().collect();
    cx.directory.borrow_mut().set_leaving_elsewhere(leaving);
    cx.apply_limits(&view.limits);
    let mut versions = cx.software.borrow_mut();
    versions.set_mixed_elsewhere(view.mixed);
    if view.recorded.0 == cx.platform.store_era() {
        versions.set_recorded_elsewhere(view.recorded.1);
    }
    // A new holder, or one that learns only now that several versions serve, is to be told of streams.
    if versions.has_mixed(now) {
        cx.origins_due.notify_one();
    }
    drop(versions);
    if let Some(quarantine) = view.quarantine {
        cx.quarantine.apply(quarantine, now);
    }
    cx.holder_resigned.set(false);
    let mut placement = cx.placement.borrow_mut();
    if placement.take(view.placement, now) {
        let ready_in = view.ready_in_ms.into_iter();
        placement.ready_in = ready_in
            .map(|(artifact, ms)| (artifact, Duration::from_millis(ms)))
            .collect();
        if view.is_whole {
            placement.engines = view.engines;
        } else {
            placement.engines.extend(view.engines);
        }
    }
    drop(placement);
    cx.instances_reported.set(view.instances);
    cx.update_place();
    cx.limits.borrow_mut().record_holder(reported_since_boot);
    let mut members = cx.members.borrow_mut();
    members.holder = view.holder;
    members.set_silent(&view.silent, now);
    drop(members);
    let confirmed_at = made_at.checked_sub(Duration::from_millis(view.config_age_ms));
    cx.hear_of_config(view.config_version, confirmed_at);
    cx.state_changed.notify_waiters();
}

fn apply_totals<P>(cx: &EntryContext<P>, totals: &[u8], reported: &Loads, now: Instant)
where
    P: Platform,
{
    // A holder that has not run its planners yet has no loads.
    if totals.is_empty() {
        return;
    }
    match postcard::from_bytes::<Vec<(String, Load)>>(totals) {
        Ok(totals) => cx.loads.borrow_mut().set_totals(totals, reported, now),
        Err(e) => {
            let reason = e.to_string();
            spdlog::error!("loads of the holder cannot be decoded; keeping the previous ones", kv: {
                reason = reason.as_str()
            });
        }
    }
}

/// Applies the holder's list of upstreams, from a view that was made at `made_at` or later.
fn apply_directory<P>(cx: &EntryContext<P>, directory: DirectoryView, made_at: Instant)
where
    P: Platform,
{
    let mut placement = cx.placement.borrow_mut();
    if let Some(changes) = directory.changes {
        placement.holder_list.apply(changes);
    }
    let Some(age) = directory.age_ms else { return };
    let read_at = made_at.checked_sub(Duration::from_millis(age));
    let read_at = read_at.unwrap_or(made_at);
    cx.replace_directory(&placement.holder_list, directory.revision, read_at);
}
