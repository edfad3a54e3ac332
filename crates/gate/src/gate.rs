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
    caller::CallerConnection,
    context::{GateContext, GateKv},
    handler,
    listener::{self, Listener},
    metrics::Metrics,
    placement_view::PlacementView,
    queue::{self, Queues},
    services::{balancer::UpstreamBalancer, claims::Claims},
    shutdown::{Phase, ShutdownState},
    status::StatusPage,
    upstream::UpstreamClient,
};

/// Why a gate cannot be started.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GateError {
    /// The secret shared with other processes cannot be read or is unusable.
    #[snafu(display("{source}"))]
    Secret {
        /// What failed.
        source: SecretError,
    },
    /// The peer port, for other processes of the system, cannot be opened.
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

/// Future that is awaited at a stop, after the last request has ended.
type ShutdownHook = Pin<Box<dyn Future<Output = ()>>>;

/// Handle of a running gate. Dropping it aborts the requests in flight; [`Gate::stop`] lets them
/// finish.
pub struct Gate {
    caller_listener: Listener,
    admin_listener: Listener,
    stopping: Rc<ShutdownState>,
    stop_notice: Duration,
    status: StatusPage,
    metrics: Metrics,
    queue_task: JoinHandle<()>,
    shutdown_hooks: Vec<ShutdownHook>,
}

/// Starts a gate with the given dependencies, and listens for callers and operators.
///
/// Fails when an address cannot be listened on.
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
    let stop_notice = Duration::from_millis(settings.timing.stop_notice_ms);
    let (listen, admin_addr) = (settings.listen, settings.admin);
    let limits = settings.limits.clone();
    let queues = Queues::new(limits.waiting);
    let cx = Rc::new(GateContext {
        claims: Claims::new(kv, SystemClock, settings.instance.name.clone()),
        balancer: UpstreamBalancer::default(),
        settings,
        follower,
        allowances,
        view,
        upstreams: UpstreamClient::default(),
        queues,
        metrics: Metrics::new(),
        status: StatusPage::default(),
        stopping: Rc::default(),
    });
    add_status_sections(&cx);
    let queue_task = actix_rt::spawn(queue::run_dispatcher(Rc::clone(&cx)));
    let serve_cx = Rc::clone(&cx);
    let caller_listener = listener::bind(listen, &limits, Rc::clone(&cx.stopping), move |req| {
        handler::serve(Rc::clone(&serve_cx), req)
    })
    .await
    .context(ListenSnafu { addr: listen })?;
    let admin_cx = Rc::clone(&cx);
    let admin_listener = listener::bind(admin_addr, &limits, Rc::default(), move |req| {
        let _busy = req
            .conn_data::<CallerConnection>()
            .map(CallerConnection::begin_request);
        ready(Ok(admin::serve(&admin_cx, &req)))
    })
    .await
    .context(ListenSnafu { addr: admin_addr })?;
    Ok(Gate {
        caller_listener,
        admin_listener,
        stopping: Rc::clone(&cx.stopping),
        stop_notice,
        status: cx.status.clone(),
        metrics: cx.metrics.clone(),
        queue_task,
        shutdown_hooks: Vec::new(),
    })
}

impl Gate {
    /// Address that callers connect to.
    pub fn addr(&self) -> SocketAddr {
        self.caller_listener.addr()
    }

    /// Address for health checks, metrics and operators.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_listener.addr()
    }

    /// Status page, to which sections can be added.
    pub fn status(&self) -> &StatusPage {
        &self.status
    }

    /// Metrics, where other components can register theirs.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Adds a future that [`Gate::stop`] awaits after the last request has ended. Hooks run one
    /// after another in the order in which they were added; dropping the gate drops them without
    /// running them.
    pub fn add_shutdown_hook<F>(&mut self, hook: F)
    where
        F: Future<Output = ()> + 'static,
    {
        self.shutdown_hooks.push(Box::pin(hook));
    }

    /// Stops gracefully. The gate reports itself unready, goes on accepting requests for the stop
    /// notice (`timing.stop_notice_ms`), so that the load balancer can take it out, then drains the
    /// requests in flight and runs the shutdown hooks.
    pub async fn stop(mut self) {
        self.stopping.set_phase(Phase::StopNotice);
        actix_rt::time::sleep(self.stop_notice).await;
        self.stopping.set_phase(Phase::Draining);
        self.stopping.wait_until_idle().await;
        self.caller_listener.close().await;
        for hook in std::mem::take(&mut self.shutdown_hooks) {
            hook.await;
        }
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.queue_task.abort();
    }
}

fn add_status_sections<A, V>(cx: &Rc<GateContext<A, V>>)
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
