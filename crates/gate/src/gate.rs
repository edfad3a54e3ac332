//! A running gate.

use std::{
    collections::BTreeMap,
    future::{Future, ready},
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    time::Duration,
};

use actix_rt::task::JoinHandle;
use comfreyweir_clock::{Clock, SystemClock};
use comfreyweir_config::settings::GateSettings;
use comfreyweir_peer::{LinkError, SecretError};
use comfreyweir_store::{Follower, Freshness};
use serde_json::json;
use snafu::{ResultExt, Snafu};

use crate::{
    admin,
    allowances::Allowances,
    caller::Caller,
    context::{Cx, GateKv},
    handler,
    listener::{self, Listener},
    metrics::Metrics,
    placement_view::PlacementView,
    queue::{self, Queues},
    services::{balance::Balance, claims::Claims},
    status::Status,
    stopping::{Phase, Stopping},
    upstream::Upstreams,
};

/// Why a gate cannot be started.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GateError {
    /// The secret cannot be used.
    #[snafu(display("{source}"))]
    Secret {
        /// What failed.
        source: SecretError,
    },
    /// The port for other processes cannot be opened.
    #[snafu(display("{source}"))]
    Peer {
        /// What failed.
        source: LinkError,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What failed.
        source: io::Error,
    },
}

/// What is done after the last request has ended.
type AfterStop = Pin<Box<dyn Future<Output = ()>>>;

/// Handle of a running gate. Dropping it cuts what is in flight; [`Gate::stop`] does not.
pub struct Gate {
    callers: Listener,
    admin: Listener,
    stopping: Rc<Stopping>,
    notice: Duration,
    status: Status,
    metrics: Metrics,
    pump: JoinHandle<()>,
    after_stop: Vec<AfterStop>,
}

/// Starts a gate with its parts.
pub async fn spawn_with<A, V>(
    settings: GateSettings,
    follower: Follower,
    allowances: A,
    view: V,
    kv: GateKv,
) -> Result<Gate, GateError>
where
    A: Allowances,
    V: PlacementView,
{
    let notice = Duration::from_millis(settings.timing.stop_notice_ms);
    let (listen, admin_addr) = (settings.listen, settings.admin);
    let limits = settings.limits.clone();
    let queues = Queues::new(limits.waiting);
    let cx = Rc::new(Cx {
        claims: Claims::new(kv, SystemClock, settings.instance.name.clone()),
        balance: Balance::default(),
        settings,
        follower,
        allowances,
        view,
        upstreams: Upstreams::default(),
        queues,
        metrics: Metrics::new(),
        status: Status::default(),
        stopping: Rc::default(),
    });
    add_sections(&cx);
    let pump = actix_rt::spawn(queue::run(Rc::clone(&cx)));
    let serve_cx = Rc::clone(&cx);
    let callers = listener::bind(listen, &limits, Rc::clone(&cx.stopping), move |req| {
        handler::serve(Rc::clone(&serve_cx), req)
    })
    .await
    .context(ListenSnafu { addr: listen })?;
    let admin_cx = Rc::clone(&cx);
    let admin = listener::bind(admin_addr, &limits, Rc::default(), move |req| {
        let _busy = req.conn_data::<Caller>().map(Caller::begin);
        ready(Ok(admin::serve(&admin_cx, &req)))
    })
    .await
    .context(ListenSnafu { addr: admin_addr })?;
    Ok(Gate {
        callers,
        admin,
        stopping: Rc::clone(&cx.stopping),
        notice,
        status: cx.status.clone(),
        metrics: cx.metrics.clone(),
        pump,
        after_stop: Vec::new(),
    })
}

impl Gate {
    /// Address for callers.
    pub fn addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Address for health checks, metrics and operators.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Sections of the status page.
    pub fn status(&self) -> &Status {
        &self.status
    }

    /// Metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Adds what is to be done after the last request has ended at a stop.
    pub fn when_stopped<F>(&mut self, after: F)
    where
        F: Future<Output = ()> + 'static,
    {
        self.after_stop.push(Box::pin(after));
    }

    /// Stops without cutting a request: turns unready, goes on accepting until the balancer has
    /// noticed, and finishes what is in flight.
    pub async fn stop(mut self) {
        self.stopping.set_phase(Phase::Noticing);
        actix_rt::time::sleep(self.notice).await;
        self.stopping.set_phase(Phase::Draining);
        self.stopping.idle().await;
        self.callers.close().await;
        for after in std::mem::take(&mut self.after_stop) {
            after.await;
        }
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.pump.abort();
    }
}

fn add_sections<A, V>(cx: &Rc<Cx<A, V>>)
where
    A: Allowances,
    V: PlacementView,
{
    let follower = cx.follower.clone();
    cx.status.add("configuration", move || {
        let freshness = match follower.freshness(SystemClock.now()) {
            Freshness::Current => "current",
            Freshness::ServiceDown => "service_down",
            Freshness::CutOff => "cut_off",
        };
        json!({ "revision": follower.current().revision, "freshness": freshness })
    });
    let stopping = Rc::clone(&cx.stopping);
    let queues = cx.queues.clone();
    let instance = cx.settings.instance.clone();
    cx.status.add("gate", move || {
        json!({
            "instance": instance.name,
            "zone": instance.zone,
            "stopping": stopping.phase() != Phase::Serving,
            "in_flight": stopping.in_flight(),
            "waiting": queues.waiting(),
            "running": queues.running().into_iter().collect::<BTreeMap<_, _>>(),
        })
    });
}
