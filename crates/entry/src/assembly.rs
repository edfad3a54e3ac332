//! An entry instance with all its parts, as the daemon runs it.

use std::{future::ready, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use comfreyweir_config::{entry_settings::EntrySettings, settings::Limits};
use comfreyweir_http::{
    caller::Caller,
    listener::{self, Listener},
    stopping::Phase,
};
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use crate::{admin, duty, exchange, follow, ports::Platform, serve, state::Cx};

/// Time kept back of the grace time of a stop, so that the process ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Why an entry instance cannot be started.
#[derive(Debug)]
#[derive(Snafu)]
pub enum EntryError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What failed.
        source: io::Error,
    },
}

/// Handle of a running entry instance. Dropping it cuts what is in flight; [`Entry::stop`] does
/// not.
pub struct Entry<P>
where
    P: Platform,
{
    cx: Rc<Cx<P>>,
    desk: Rc<duty::Desk<P>>,
    callers: Listener,
    _ready: Listener,
    admin: Listener,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts an entry instance on a platform.
pub async fn spawn<P>(settings: EntrySettings, platform: P) -> Result<Entry<P>, EntryError>
where
    P: Platform,
{
    let cx = Rc::new(Cx::new(platform, settings));
    let desk = Rc::new(duty::Desk::new(Rc::clone(&cx)));
    let settings = cx.settings();
    let limits = &settings.limits;
    let for_callers = Rc::clone(&cx);
    let callers = listener::bind(
        settings.listen.callers,
        limits,
        Rc::clone(&cx.stopping),
        move |req| serve::serve(Rc::clone(&for_callers), req),
    );
    let addr = settings.listen.callers;
    let callers = callers.await.context(ListenSnafu { addr })?;
    let ready = side_port(&cx, settings.listen.ready, limits, admin::serve_ready).await?;
    let for_admin = Rc::clone(&desk);
    let answer =
        move |cx: &Cx<P>, req: &actix_http::Request| admin::serve_admin(cx, &for_admin, req);
    let admin = side_port(&cx, settings.listen.admin, limits, answer).await?;
    let tasks = vec![
        actix_rt::spawn(follow::config::run(Rc::clone(&cx))),
        actix_rt::spawn(follow::directory::run(Rc::clone(&cx))),
        actix_rt::spawn(follow::members::run(Rc::clone(&cx))),
        actix_rt::spawn(follow::members::register(Rc::clone(&cx))),
        actix_rt::spawn(duty::run(Rc::clone(&cx), Rc::clone(&desk))),
        actix_rt::spawn(exchange::client::run(Rc::clone(&cx), Rc::clone(&desk))),
        exchange::server::spawn(Rc::clone(&cx), Rc::clone(&desk)),
    ];
    Ok(Entry {
        cx,
        desk,
        callers,
        _ready: ready,
        admin,
        tasks,
    })
}

async fn side_port<P, F>(
    cx: &Rc<Cx<P>>,
    addr: SocketAddr,
    limits: &Limits,
    answer: F,
) -> Result<Listener, EntryError>
where
    P: Platform,
    F: Fn(&Cx<P>, &actix_http::Request) -> actix_http::Response<actix_http::body::BoxBody>
        + Clone
        + 'static,
{
    let cx = Rc::clone(cx);
    let bound = listener::bind(addr, limits, Rc::default(), move |req| {
        let _busy = req.conn_data::<Caller>().map(Caller::begin);
        ready(Ok(answer(&cx, &req)))
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

    /// Puts changed settings into force.
    pub fn reload(&self, settings: EntrySettings) {
        self.cx.reload(settings);
    }

    /// Stops without cutting a request, as far as the grace time allows: turns unready, goes on
    /// accepting until the balancer has noticed, and finishes what is in flight.
    pub async fn stop(mut self) {
        let settings = self.cx.settings();
        let timing = &settings.timing;
        let grace = timing.grace().saturating_sub(STOP_MARGIN);
        let notice = Duration::from_millis(timing.stop_notice_ms);
        self.cx.stops_at.set(Some(self.cx.now() + grace));
        self.cx.stopping.set_phase(Phase::Noticing);
        let cx = Rc::clone(&self.cx);
        let released = duty::release(&self.cx, &self.desk);
        let drained = async {
            sleep(notice).await;
            cx.stopping.set_phase(Phase::Draining);
            cx.stopping.idle().await;
            self.callers.close().await;
        };
        let stopped = timeout(grace, async { tokio::join!(released, drained) });
        if stopped.await.is_err() {
            spdlog::warn!("requests are cut: the grace time of the stop is over", kv: {
                in_flight = self.cx.stopping.in_flight()
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
