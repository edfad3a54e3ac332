//! Starts a planner and holds the handle of a running one.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use comfreyweir_clock::SystemClock;
use comfreyweir_config::settings::PlannerSettings;
use comfreyweir_external::{instances::InstanceListClient, kv_counted::CountedKv, kv_http::HttpKv};
use comfreyweir_peer::{PeerSecret, PeerServer, peer_capnp::planner};
use comfreyweir_placement::holder::HolderIdentity;
use comfreyweir_store::{FollowTiming, Follower, MAX_ANSWER_WAIT, NoPeers};
use snafu::ResultExt;
use tokio::sync::watch;

use crate::{
    admin::{self, AdminPort},
    cell::{self, CellState},
    context::PlannerContext,
    error::{AdminSnafu, PeerSnafu, PlannerError, SecretSnafu},
    instance_watch::InstanceWatch,
    metrics::Metrics,
    service::PlannerService,
};

/// Timeout of one call to the key-value service or the list of instances.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without the key-value service after which the configuration counts as out of date. Shown
/// to operators only, because decisions cannot be recorded without the service anyway.
const CONFIG_CUT_OFF: Duration = Duration::from_secs(4);
/// Interval between polls of peers. A planner has no peers, because its decisions need the
/// key-value service itself.
const PEER_POLL_INTERVAL: Duration = Duration::from_mins(1);

/// A running planner. Dropping it aborts its tasks at once and leaves its cells until their leases
/// end; [`Planner::stop`] releases them first.
pub struct Planner {
    addr: SocketAddr,
    stopping: watch::Sender<bool>,
    cells_task: JoinHandle<()>,
    _peer_server: PeerServer,
    _admin: AdminPort,
}

impl Planner {
    /// Address of the peer port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits for outstanding orders, releases the cells and stops.
    pub async fn stop(mut self) {
        self.stopping.send_replace(true);
        let _ = (&mut self.cells_task).await;
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        self.cells_task.abort();
    }
}

/// Starts a planner: opens its ports and runs a task for each cell of the configuration.
pub async fn spawn(settings: PlannerSettings) -> Result<Planner, PlannerError> {
    let secret = PeerSecret::read(&settings.instance.peer_secret_file).context(SecretSnafu)?;
    let peer_addr = settings.peer;
    let admin_addr = settings.admin;
    let cx = Rc::new(new_context(settings));
    let service: planner::Client = capnp_rpc::new_client(PlannerService::new(Rc::clone(&cx)));
    let peer_server = comfreyweir_peer::bind(peer_addr, secret, service).context(PeerSnafu)?;
    let admin = admin::bind(Rc::clone(&cx), admin_addr)
        .await
        .context(AdminSnafu { addr: admin_addr })?;
    let stopping = watch::Sender::new(false);
    let cells = run_cells(cx, stopping.subscribe());
    Ok(Planner {
        addr: peer_server.addr(),
        stopping,
        cells_task: actix_rt::spawn(cells),
        _peer_server: peer_server,
        _admin: admin,
    })
}

fn new_context(settings: PlannerSettings) -> PlannerContext {
    let http = awc::Client::builder()
        .timeout(PLATFORM_CALL_TIMEOUT)
        .finish();
    let metrics = Metrics::new();
    let kv = HttpKv::new(http.clone(), settings.instance.kv, PLATFORM_CALL_TIMEOUT);
    let kv = CountedKv::new(kv, metrics.kv_counts());
    // The follower has its own client with a longer timeout, because a slow service must not hide a
    // new revision.
    let follower_http = awc::Client::builder().timeout(MAX_ANSWER_WAIT).finish();
    let follower_kv = HttpKv::new(follower_http, settings.instance.kv, MAX_ANSWER_WAIT);
    let follower_kv = CountedKv::new(follower_kv, metrics.kv_counts());
    let timing = FollowTiming {
        cut_off: CONFIG_CUT_OFF,
        poll_interval: PEER_POLL_INTERVAL,
    };
    PlannerContext {
        identity: HolderIdentity {
            name: settings.instance.name.clone(),
            address: settings.peer,
        },
        clock: SystemClock,
        follower: Follower::spawn(follower_kv, SystemClock, timing, NoPeers),
        instances: InstanceWatch::spawn(InstanceListClient::new(
            http.clone(),
            settings.instance.instances,
        )),
        kv,
        http,
        metrics,
        cells: RefCell::default(),
        settings,
    }
}

/// Runs a task for each cell of the configuration. After `stopping` becomes true, waits until all
/// tasks have ended.
async fn run_cells(cx: Rc<PlannerContext>, mut stopping: watch::Receiver<bool>) {
    let mut changes = cx.follower.changes();
    let mut tasks = CellTasks::default();
    while !*stopping.borrow() {
        let snapshot = cx.follower.current();
        for upstream in snapshot.catalog.upstreams.values() {
            let name = &upstream.cell;
            if cx.cell(name).is_none() {
                let state = Rc::new(CellState::new(name));
                cx.cells
                    .borrow_mut()
                    .insert(name.clone(), Rc::clone(&state));
                let task = cell::run(Rc::clone(&cx), state, stopping.clone());
                tasks.0.push(actix_rt::spawn(task));
            }
        }
        tokio::select! {
            _ = changes.changed() => {}
            _ = stopping.wait_for(|stop| *stop) => {}
        }
    }
    for task in &mut tasks.0 {
        let _ = task.await;
    }
}

/// Tasks of the cells, aborted when this is dropped.
#[derive(Default)]
struct CellTasks(Vec<JoinHandle<()>>);

impl Drop for CellTasks {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}
