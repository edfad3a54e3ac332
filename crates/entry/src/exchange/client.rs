//! Reporting to the holder of the planning duty.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use comfreyweir_peer::{Link, LinkError, open, peer_capnp::entry, wire_millis};
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use super::message::{Answer, Report, View};
use crate::{duty::Desk, follow::members, ports::Platform, state::Cx};

/// Longest time that the holder waits for a change of placement while requests wait.
const CHANGE_WAIT: Duration = Duration::from_millis(100);
/// Time beyond that wait after which the holder is taken for unreachable.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time that the holder spends on one instance, at most. In large fleets the period grows, so that
/// the exchange takes a small part of the holder's processor and link.
const HOLDER_TIME: Duration = Duration::from_millis(5);
/// Pause before a holder is asked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Least time between two reports.
const LEAST_PERIOD: Duration = Duration::from_millis(10);

/// Why an exchange failed.
#[derive(Debug)]
#[derive(Snafu)]
enum ExchangeError {
    #[snafu(display("{source}"))]
    Link { source: LinkError },
    #[snafu(display("view of {addr} cannot be decoded: {source}"))]
    Decode {
        addr: SocketAddr,
        source: postcard::Error,
    },
    #[snafu(display("nobody has the planning duty, as far as known"))]
    NoHolder,
}

/// Reports to the holder for ever.
pub(crate) async fn run<P>(cx: Rc<Cx<P>>, desk: Rc<Desk<P>>)
where
    P: Platform,
{
    let mut outage = members::outage_of_holder();
    let mut session = Session::default();
    loop {
        let wait = change_wait(&cx);
        let done = tokio::select! {
            done = session.exchange(&cx, &desk, wait) => done,
            () = interrupted(&cx, wait) => {
                sleep(LEAST_PERIOD).await;
                continue;
            }
        };
        match done {
            Ok(()) => {
                outage.answered(cx.now());
                pause(&cx).await;
            }
            Err(e) => {
                outage.failed(&e, cx.now());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// How long the holder may hold its answer back until the placement changes.
fn change_wait<P>(cx: &Cx<P>) -> Duration
where
    P: Platform,
{
    if !cx.quotas.borrow().has_waiting() && cx.demand.borrow().has_waiting() {
        CHANGE_WAIT
    } else {
        Duration::ZERO
    }
}

/// Ends when there is news for a holder that may be holding its answer back.
async fn interrupted<P>(cx: &Cx<P>, wait: Duration)
where
    P: Platform,
{
    if wait.is_zero() {
        std::future::pending::<()>().await;
    }
    cx.demand_changed.notified().await;
}

/// Waits for the next exchange: at once when requests wait, else for its period.
async fn pause<P>(cx: &Cx<P>)
where
    P: Platform,
{
    sleep(LEAST_PERIOD).await;
    if cx.demand.borrow().has_waiting() {
        return;
    }
    let instances = u32::try_from(cx.instance_count()).unwrap_or(u32::MAX);
    let period = cx.settings().timing.exchange().max(HOLDER_TIME * instances);
    let _ = timeout(period, cx.demand_changed.notified()).await;
}

#[derive(Default)]
struct Session {
    link: Option<Link<entry::Client>>,
    /// Where an instance said that the holder is.
    hint: Option<SocketAddr>,
    /// Instances asked in turn while the holder is not known.
    asked: usize,
}

impl Session {
    async fn exchange<P>(
        &mut self,
        cx: &Rc<Cx<P>>,
        desk: &Rc<Desk<P>>,
        wait: Duration,
    ) -> Result<(), ExchangeError>
    where
        P: Platform,
    {
        let report = report(cx);
        if desk.has_duty() {
            self.link = None;
            if let Answer::View(view) = desk.exchange(report, wait).await {
                take_over(cx, *view);
            }
            return Ok(());
        }
        let addr = self.target(cx).ok_or(ExchangeError::NoHolder)?;
        match self.call(cx, addr, &report, wait).await {
            Ok(Answer::View(view)) => {
                take_over(cx, *view);
                Ok(())
            }
            Ok(Answer::Elsewhere(hint)) => {
                self.hint = hint.filter(|hint| *hint != addr);
                cx.holder_resigned.set(self.hint.is_none());
                self.link = None;
                Err(ExchangeError::NoHolder)
            }
            Err(e) => {
                self.hint = None;
                self.link = None;
                self.asked += 1;
                Err(e)
            }
        }
    }

    /// The holder if it is known and was not just found silent; else the instances in turn.
    fn target<P>(&self, cx: &Cx<P>) -> Option<SocketAddr>
    where
        P: Platform,
    {
        let members = cx.members.borrow();
        let own = cx.settings().listen.peer;
        let holder = members.holder.as_ref().map(|h| h.peer);
        let known = self.hint.or(holder).filter(|addr| *addr != own);
        if self.asked.is_multiple_of(2)
            && let Some(addr) = known
        {
            return Some(addr);
        }
        let others: Vec<_> = members.instances.values().filter(|a| **a != own).collect();
        let at = self.asked / 2 % others.len().max(1);
        others.get(at).map(|addr| **addr).or(known)
    }

    async fn call<P>(
        &mut self,
        cx: &Cx<P>,
        addr: SocketAddr,
        report: &Report,
        wait: Duration,
    ) -> Result<Answer, ExchangeError>
    where
        P: Platform,
    {
        let usable = |link: &Link<entry::Client>| link.addr() == addr && !link.is_closed();
        if !self.link.as_ref().is_some_and(usable) {
            let secret = cx.members.borrow().secret.clone();
            let secret = secret.ok_or(ExchangeError::NoHolder)?;
            self.link = Some(open(addr, &secret).await.context(LinkSnafu)?);
        }
        let Some(link) = &self.link else {
            return Err(ExchangeError::NoHolder);
        };
        let report = postcard::to_allocvec(report).context(DecodeSnafu { addr })?;
        let mut req = link.client().exchange_request();
        req.get().set_report(&report);
        req.get().set_wait_ms(wire_millis(wait));
        let call = async { Ok(req.send().promise.await?.get()?.get_view()?.to_vec()) };
        let answer = link
            .call(wait + ANSWER_SLACK, call)
            .await
            .context(LinkSnafu)?;
        postcard::from_bytes(&answer).context(DecodeSnafu { addr })
    }
}

/// What this instance sees now.
fn report<P>(cx: &Cx<P>) -> Report
where
    P: Platform,
{
    let placement = cx.placement.borrow();
    Report {
        process: cx.process.clone(),
        loads: cx.loads.borrow().own().clone(),
        demand: cx.demand.borrow().report(),
        spent: cx.quotas.borrow().totals(cx.now()),
        unreachable: cx.health.borrow().resting(cx.now()),
        placement: placement.known,
        directory: placement.directory,
        config: cx.config().version,
    }
}

fn take_over<P>(cx: &Rc<Cx<P>>, view: View)
where
    P: Platform,
{
    let now = cx.now();
    if let Some(config) = view.config {
        cx.apply_config(&Bytes::from(config), "holder");
    }
    cx.tell_grants(&view.grants, now);
    cx.loads.borrow_mut().set_others(view.others);
    let directory = view.directory;
    if let Some(age) = directory.age_ms {
        let read_at = now.checked_sub(Duration::from_millis(age)).unwrap_or(now);
        match directory.list {
            Some(list) => cx.replace_directory(list, directory.revision, read_at, "holder"),
            None => cx
                .directory
                .borrow_mut()
                .confirm(directory.revision, read_at),
        }
    }
    cx.holder_resigned.set(false);
    let mut placement = cx.placement.borrow_mut();
    placement.confirm(now);
    placement.directory = directory.version;
    placement.known = view.placement;
    let ready_in = view.ready_in_ms.into_iter();
    placement.ready_in = ready_in
        .map(|(artifact, ms)| (artifact, Duration::from_millis(ms)))
        .collect();
    if view.is_whole {
        placement.engines = view.engines;
    } else {
        placement.engines.extend(view.engines);
    }
    drop(placement);
    cx.instances_told.set(view.instances);
    cx.members.borrow_mut().holder = view.holder;
    cx.confirm_config(now.checked_sub(Duration::from_millis(view.config_age_ms)));
    cx.changed.notify_waiters();
}
