//! Starts a gate with its production dependencies: platform clients, peer links, allowances and
//! placement view.

use std::{net::SocketAddr, time::Duration};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use comfreyweir_clock::{Clock, SystemClock};
use comfreyweir_config::settings::GateSettings;
use comfreyweir_external::{
    instances::InstanceListClient,
    kv_counted::{CountedKv, KvCallCounts},
    kv_http::HttpKv,
};
use comfreyweir_peer::{PeerSecret, PeerServer};
use comfreyweir_store::{
    FollowTiming, Follower, MAX_ANSWER_WAIT, Peer, PeerCallError, PeerRevision, Peers,
};
use snafu::ResultExt;

use crate::{
    allowances::{AllowanceTiming, ShareTasks, SharedAllowances},
    context::GateKv,
    gate::{Gate, GateError, PeerSnafu, SecretSnafu, spawn_with},
    peers::{self, ConfigAnswers, PeerError, PeerLinks, RevisionAnswer},
    placement_view::{PeerView, PeerViewConfig},
};

/// Timeout of one call to the key-value service or the list of instances.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that a stopping gate takes to give back its share of the allowances.
const SHARE_RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

type GateAllowances = SharedAllowances<SystemClock, PeerLinks>;

/// Starts a gate as the daemon runs it.
///
/// Fails when the peer secret cannot be read or an address cannot be listened on.
pub async fn spawn(settings: GateSettings) -> Result<Gate, GateError> {
    let secret = PeerSecret::read(&settings.instance.peer_secret_file).context(SecretSnafu)?;
    let http = awc::Client::builder().timeout(PLATFORM_TIMEOUT).finish();
    let follower_http = awc::Client::builder().timeout(MAX_ANSWER_WAIT).finish();
    let kv_counts = KvCallCounts::default();
    let kv = HttpKv::new(http.clone(), settings.instance.kv, PLATFORM_TIMEOUT);
    let kv = CountedKv::new(kv, kv_counts.clone());
    let instances = InstanceListClient::new(http, settings.instance.instances);
    let contact_interval = Duration::from_millis(settings.timing.contact_ms);
    let instance = settings.instance.name.clone();
    let links = PeerLinks::spawn(
        &instance,
        secret.clone(),
        instances.clone(),
        contact_interval,
    );
    // The follower has a longer timeout, so that it learns of a new revision even while the
    // key-value service is slow.
    let follower_kv = HttpKv::new(follower_http, settings.instance.kv, MAX_ANSWER_WAIT);
    let follower_kv = CountedKv::new(follower_kv, kv_counts.clone());
    let follower = follow(&settings, follower_kv, links.clone());
    let timing = AllowanceTiming::from(&settings.timing);
    let allowances = SharedAllowances::new(SystemClock, links, timing);
    let answers = FollowedConfig(follower.clone());
    let server = peers::serve(settings.peer, secret.clone(), allowances.clone(), answers)
        .context(PeerSnafu)?;
    let view = PeerView::spawn(PeerViewConfig {
        gate: settings.instance.name.clone(),
        planner: settings.planner,
        secret,
        instances,
        follower: follower.clone(),
        max_exchange_wait: contact_interval,
    });
    let peer_addr = settings.peer;
    let mut gate = spawn_with(
        settings,
        follower.clone(),
        allowances.clone(),
        view,
        kv.clone(),
    )
    .await?;
    register_metrics_and_status(&gate, &allowances, &kv_counts);
    let allowance_tasks = AllowanceTasks {
        // The peer port is bound at this point, which proves that an earlier process of this
        // instance has ended.
        share_task: ShareTasks::spawn(&allowances, kv, peer_addr, &instance),
        _configure_task: ConfigureTask(actix_rt::spawn(apply_revisions(follower, allowances))),
        _server: server,
    };
    gate.add_shutdown_hook(async move { allowance_tasks.release_share().await });
    Ok(gate)
}

/// Tasks and server that maintain the allowances of a gate. They run until its last request has
/// ended. Dropping the value stops them.
struct AllowanceTasks {
    share_task: ShareTasks,
    _configure_task: ConfigureTask,
    _server: PeerServer,
}

impl AllowanceTasks {
    async fn release_share(self) {
        self.share_task.leave(SHARE_RELEASE_TIMEOUT).await;
    }
}

/// Task that runs [`apply_revisions`]; aborted on drop.
struct ConfigureTask(JoinHandle<()>);

impl Drop for ConfigureTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn follow(settings: &GateSettings, kv: GateKv, links: PeerLinks) -> Follower {
    let timing = FollowTiming {
        cut_off: Duration::from_millis(settings.timing.cut_off_ms),
        poll_interval: Duration::from_millis(settings.timing.contact_ms),
    };
    Follower::spawn(kv, SystemClock, timing, ConfigPeers(links))
}

/// Configures the allowances with the workspaces of the current revision and of each later one.
async fn apply_revisions(follower: Follower, allowances: GateAllowances) {
    let mut changes = follower.changes();
    loop {
        allowances.configure(&follower.current().catalog);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn register_metrics_and_status(gate: &Gate, allowances: &GateAllowances, kv_counts: &KvCallCounts) {
    gate.metrics().with_registry(|registry| {
        allowances.register(registry);
        kv_counts.register(registry);
    });
    let metrics_source = allowances.clone();
    gate.metrics()
        .before_encoding(move || metrics_source.update_metrics());
    let status_source = allowances.clone();
    gate.status()
        .add("allowances", move || status_source.status());
}

/// Lets the follower ask other gates for configuration revisions and chunks.
#[derive(Clone)]
struct ConfigPeers(PeerLinks);

impl Peers for ConfigPeers {
    fn list(&self) -> Vec<Peer> {
        let gates = self.0.gates().into_iter();
        gates.map(|(addr, zone)| Peer { addr, zone }).collect()
    }

    async fn revision(&self, peer: SocketAddr, known: u64) -> Result<PeerRevision, PeerCallError> {
        match self.0.revision(peer, known).await {
            Ok(answer) => Ok(PeerRevision {
                number: answer.number,
                in_contact: answer.in_contact,
                root: answer.root,
            }),
            Err(e) => Err(peer_call_error(&e)),
        }
    }

    async fn chunk(&self, peer: SocketAddr, hash: &str) -> Option<Bytes> {
        self.0.chunk(peer, hash).await.ok().flatten()
    }
}

fn peer_call_error(e: &PeerError) -> PeerCallError {
    if e.is_not_running() {
        PeerCallError::NotRunning
    } else {
        PeerCallError::NoAnswer
    }
}

/// Answers other gates that ask for the configuration in force.
struct FollowedConfig(Follower);

impl ConfigAnswers for FollowedConfig {
    fn revision(&self, known: u64) -> Option<RevisionAnswer> {
        let report = self.0.answer_peer(known, SystemClock.now())?;
        Some(RevisionAnswer {
            number: report.number,
            in_contact: report.in_contact,
            root: report.root,
        })
    }

    fn chunk(&self, hash: &str) -> Option<Bytes> {
        self.0.chunk(hash)
    }
}
