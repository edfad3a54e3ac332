//! Starts and stops an entry instance with its listeners and background tasks.

use std::{future::ready, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::Payload;
use actix_rt::{task::JoinHandle, time::sleep};
use comfreyweir_config::{entry_settings::EntrySettings, settings::RequestLimits};
use comfreyweir_http::{
    caller::CallerConnection,
    listener::{self, Listener},
    shutdown::Phase,
};
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use crate::{
    admin, duty, exchange, follow,
    platform::Platform,
    serve,
    state::EntryContext,
    work_times::{self, Work},
};

/// Part of the shutdown grace period that is held in reserve, so that the process exits by itself
/// before it is killed.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Why an entry instance cannot be started.
#[derive(Debug)]
#[derive(Snafu)]
pub enum EntryError {
    /// A listener cannot be bound.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What failed.
        source: io::Error,
    },
}

/// Handle of a running entry instance. Dropping it aborts requests in flight; [`Entry::stop`] lets
/// them finish.
pub struct Entry<P>
where
    P: Platform,
{
    cx: Rc<EntryContext<P>>,
    coordinator: Rc<duty::Coordinator<P>>,
    callers: Listener,
    _ready: Listener,
    admin: Listener,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts an entry instance: binds its listeners and spawns its background tasks.
pub async fn spawn<P>(settings: EntrySettings, platform: P) -> Result<Entry<P>, EntryError>
where
    P: Platform,
{
    let cx = Rc::new(EntryContext::new(platform, settings));
    let coordinator = Rc::new(duty::Coordinator::new(Rc::clone(&cx)));
    let settings = cx.settings();
    let limits = &settings.limits;
    let callers_cx = Rc::clone(&cx);
    let callers = listener::bind_within(
        settings.listen.callers,
        limits,
        &cx.caller_memory,
        Rc::clone(&cx.shutdown),
        move |req| {
            let cx = Rc::clone(&callers_cx);
            async move {
                let serving = serve::serve(Rc::clone(&cx), req);
                cx.work_times
                    .measure(&cx.clock, Work::Requests, serving)
                    .await
            }
        },
    );
    let addr = settings.listen.callers;
    let callers = callers.await.context(ListenSnafu { addr })?;
    let ready = bind_side_port(&cx, settings.listen.ready, limits, admin::serve_ready).await?;
    let admin_coordinator = Rc::clone(&coordinator);
    let admin_handler = move |cx: &EntryContext<P>, req: &actix_http::Request| {
        admin::serve_admin(cx, &admin_coordinator, req)
    };
    let admin = bind_side_port(&cx, settings.listen.admin, limits, admin_handler).await?;
    let tasks = spawn_tasks(&cx, &coordinator);
    Ok(Entry {
        cx,
        coordinator,
        callers,
        _ready: ready,
        admin,
        tasks,
    })
}

/// Spawns the background tasks.
fn spawn_tasks<P>(
    cx: &Rc<EntryContext<P>>,
    coordinator: &Rc<duty::Coordinator<P>>,
) -> Vec<JoinHandle<()>>
where
    P: Platform,
{
    let shared = || (Rc::clone(cx), Rc::clone(coordinator));
    let (duty_cx, duty_coordinator) = shared();
    let (exchange_cx, exchange_coordinator) = shared();
    let (grants_cx, grants_coordinator) = shared();
    let (trials_cx, trials_coordinator) = shared();
    let (records_cx, records_coordinator) = shared();
    let (origins_cx, origins_coordinator) = shared();
    let (begun_cx, begun_coordinator) = shared();
    let (permits_cx, permits_coordinator) = shared();
    let (software_cx, software_coordinator) = shared();
    let (era_cx, era_coordinator) = shared();
    let (times_cx, times_coordinator) = shared();
    vec![
        spawn_task(cx, Work::Store, follow::config::run(Rc::clone(cx))),
        spawn_task(cx, Work::Store, follow::config::log_overdue(Rc::clone(cx))),
        spawn_task(cx, Work::Store, follow::directory::run(Rc::clone(cx))),
        spawn_task(cx, Work::Store, follow::software::run(Rc::clone(cx))),
        spawn_task(cx, Work::Store, follow::zones::run(Rc::clone(cx))),
        spawn_task(cx, Work::Store, follow::era::run(era_cx, era_coordinator)),
        spawn_task(cx, Work::Store, follow::members::run(Rc::clone(cx))),
        spawn_task(cx, Work::Store, follow::members::register(Rc::clone(cx))),
        spawn_task(cx, Work::Planning, duty::run(duty_cx, duty_coordinator)),
        spawn_task(
            cx,
            Work::Exchange,
            exchange::client::run(exchange_cx, exchange_coordinator),
        ),
        spawn_task(
            cx,
            Work::Exchange,
            exchange::grants::run(grants_cx, grants_coordinator),
        ),
        spawn_task(
            cx,
            Work::Exchange,
            exchange::trials::run(trials_cx, trials_coordinator),
        ),
        spawn_task(
            cx,
            Work::Exchange,
            exchange::origins::run(begun_cx, begun_coordinator),
        ),
        spawn_task(
            cx,
            Work::Exchange,
            exchange::permits::run(permits_cx, permits_coordinator),
        ),
        spawn_task(
            cx,
            Work::Store,
            duty::keep_records(records_cx, records_coordinator),
        ),
        spawn_task(
            cx,
            Work::Store,
            duty::keep_origins(origins_cx, origins_coordinator),
        ),
        spawn_task(
            cx,
            Work::Store,
            duty::keep_software(software_cx, software_coordinator),
        ),
        actix_rt::spawn(work_times::run(times_cx, times_coordinator)),
        exchange::server::spawn(Rc::clone(cx), Rc::clone(coordinator)),
    ]
}

/// Spawns a background task and measures its processor time.
fn spawn_task<P, F>(cx: &Rc<EntryContext<P>>, work: Work, task: F) -> JoinHandle<()>
where
    P: Platform,
    F: Future<Output = ()> + 'static,
{
    let cx = Rc::clone(cx);
    actix_rt::spawn(async move { cx.work_times.measure(&cx.clock, work, task).await })
}

/// Binds the readiness or admin port. `handler` answers from local state, without waiting; shutdown
/// does not wait for its requests.
async fn bind_side_port<P, F>(
    cx: &Rc<EntryContext<P>>,
    addr: SocketAddr,
    limits: &RequestLimits,
    handler: F,
) -> Result<Listener, EntryError>
where
    P: Platform,
    F: Fn(
            &EntryContext<P>,
            &actix_http::Request,
        ) -> actix_http::Response<actix_http::body::BoxBody>
        + Clone
        + 'static,
{
    let memory = Rc::clone(&cx.caller_memory);
    let cx = Rc::clone(cx);
    let bound = listener::bind_within(addr, limits, &memory, Rc::default(), move |mut req| {
        let has_body = !matches!(req.take_payload(), Payload::None);
        let caller = req.conn_data::<CallerConnection>();
        let _in_use = caller.map(CallerConnection::begin_request);
        if let Some(caller) = caller {
            if has_body {
                caller.limit_body(0);
                caller.expect_body(None);
            } else {
                caller.end_body();
            }
        }
        ready(Ok(handler(&cx, &req)))
    });
    bound.await.context(ListenSnafu { addr })
}

impl<P> Entry<P>
where
    P: Platform,
{
    /// Address for callers.
    pub fn addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Address for metrics and operators.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Applies changed settings; changes that need a restart are ignored and logged.
    pub fn reload(&self, settings: EntrySettings) {
        self.cx.reload(settings);
    }

    /// Shuts down gracefully within the grace period: reports unready, accepts connections for the
    /// notice period, in which the load balancer stops sending new ones, and then waits for
    /// requests in flight. Those left at the end of the grace period are aborted.
    pub async fn stop(mut self) {
        let settings = self.cx.settings();
        let timing = &settings.timing;
        let grace = timing.grace().saturating_sub(STOP_MARGIN);
        let notice = Duration::from_millis(timing.stop_notice_ms);
        self.cx.shutdown_deadline.set(Some(self.cx.now() + grace));
        self.cx.shutdown.set_phase(Phase::StopNotice);
        let cx = Rc::clone(&self.cx);
        let released = duty::release(&self.cx, &self.coordinator);
        let drained = async {
            sleep(notice).await;
            cx.shutdown.set_phase(Phase::Draining);
            cx.shutdown.wait_until_idle().await;
            self.callers.close().await;
        };
        let stopped = timeout(grace, async { tokio::join!(released, drained) });
        if stopped.await.is_err() {
            spdlog::warn!("shutdown grace period expired; aborting requests in flight", kv: {
                in_flight = self.cx.shutdown.in_flight()
            });
        }
    }
}

impl<P> Drop for Entry<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
