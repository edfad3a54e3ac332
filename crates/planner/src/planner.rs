//! Handle of a running planner.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use comfreyweir_clock::SystemClock;
use comfreyweir_config::settings::PlannerSettings;
use comfreyweir_external::{instances::Instances, kv_counted::CountedKv, kv_http::HttpKv};
use comfreyweir_peer::{PeerServer, Secret, peer_capnp::planner};
use comfreyweir_placement::holder::HolderIdentity;
use comfreyweir_store::{FollowTiming, Follower, NoPeers, SLOWEST_ANSWER};
use snafu::ResultExt;
use tokio::sync::watch;

use crate::{
    admin::{self, AdminPort},
    cell::{self, CellState},
    context::Cx,
    error::{AdminSnafu, PeerSnafu, PlannerError, SecretSnafu},
    instance_watch::Fleet,
    metrics::Metrics,
    service::Service,
};

/// Longest time of one call to the key-value service or the list of instances.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without the key-value service after which the configuration counts as out of date. Shown
/// to operators only, since decisions cannot be recorded without the service anyway.
const CUT_OFF: Duration = Duration::from_secs(4);
/// Period of contact with peers. A planner has none: its decisions need the service itself.
const CONTACT: Duration = Duration::from_mins(1);

/// A running planner. Dropping it ends it at once; [`Planner::stop`] hands its cells over.
pub struct Planner {
    addr: SocketAddr,
    stopping: watch::Sender<bool>,
    cells: JoinHandle<()>,
    _peers: PeerServer,
    _admin: AdminPort,
}

impl Planner {
    /// Address for other processes of the system.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Settles the orders under way, releases the cells and ends.
    pub async fn stop(mut self) {
        self.stopping.send_replace(true);
        let _ = (&mut self.cells).await;
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        self.cells.abort();
    }
}

/// Starts a planner.
pub async fn spawn(settings: PlannerSettings) -> Result<Planner, PlannerError> {
    let secret = Secret::read(&settings.instance.peer_secret_file).context(SecretSnafu)?;
    let peer = settings.peer;
    let admin_addr = settings.admin;
    let cx = Rc::new(context(settings));
    let service: planner::Client = capnp_rpc::new_client(Service::new(Rc::clone(&cx)));
    let peers = comfreyweir_peer::bind(peer, secret, service).context(PeerSnafu)?;
    let admin = admin::bind(Rc::clone(&cx), admin_addr)
        .await
        .context(AdminSnafu { addr: admin_addr })?;
    let stopping = watch::Sender::new(false);
    let cells = run_cells(cx, stopping.subscribe());
    Ok(Planner {
        addr: peers.addr(),
        stopping,
        cells: actix_rt::spawn(cells),
        _peers: peers,
        _admin: admin,
    })
}

fn context(settings: PlannerSettings) -> Cx {
    let http = awc::Client::builder().timeout(PLATFORM_TIMEOUT).finish();
    let metrics = Metrics::new();
    let kv = HttpKv::new(http.clone(), settings.instance.kv, PLATFORM_TIMEOUT);
    let kv = CountedKv::new(kv, metrics.kv_counts());
    // A slow service must not hide a new revision, so the follower waits for longer.
    let patient = awc::Client::builder().timeout(SLOWEST_ANSWER).finish();
    let patient = HttpKv::new(patient, settings.instance.kv, SLOWEST_ANSWER);
    let patient = CountedKv::new(patient, metrics.kv_counts());
    let timing = FollowTiming {
        cut_off: CUT_OFF,
        contact: CONTACT,
    };
    Cx {
        identity: HolderIdentity {
            name: settings.instance.name.clone(),
            address: settings.peer,
        },
        clock: SystemClock,
        follower: Follower::spawn(patient, SystemClock, timing, NoPeers),
        fleet: Fleet::spawn(Instances::new(http.clone(), settings.instance.instances)),
        kv,
        http,
        metrics,
        cells: RefCell::default(),
        settings,
    }
}

/// Runs a task for each cell of the configuration, until all have ended after `stopping`.
async fn run_cells(cx: Rc<Cx>, mut stopping: watch::Receiver<bool>) {
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

/// Tasks of the cells. Dropping them ends them.
#[derive(Default)]
struct CellTasks(Vec<JoinHandle<()>>);

impl Drop for CellTasks {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}
