//! A gate with all its parts, as the daemon runs it.

use std::{net::SocketAddr, time::Duration};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use comfreyweir_clock::{Clock, SystemClock};
use comfreyweir_config::settings::GateSettings;
use comfreyweir_external::{
    instances::Instances,
    kv_counted::{CountedKv, KvCounts},
    kv_http::HttpKv,
};
use comfreyweir_peer::{PeerServer, Secret};
use comfreyweir_store::{
    FollowTiming, Follower, Peer, PeerRevision, PeerSilence, Peers, SLOWEST_ANSWER,
};
use snafu::ResultExt;

use crate::{
    allowances::{AllowanceTiming, ShareKeeper, SharedAllowances},
    context::GateKv,
    gate::{Gate, GateError, PeerSnafu, SecretSnafu, spawn_with},
    peers::{self, ConfigAnswers, Links, PeerError, RevisionAnswer},
    placement_view::{PeerView, PlacementPeers},
};

/// Longest time of one call to the key-value service or the list of instances.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for giving the share back at a stop.
const LEAVE_LIMIT: Duration = Duration::from_secs(5);

/// Allowances of a running gate.
type GateAllowances = SharedAllowances<SystemClock, Links>;

/// Starts a gate.
pub async fn spawn(settings: GateSettings) -> Result<Gate, GateError> {
    let secret = Secret::read(&settings.instance.peer_secret_file).context(SecretSnafu)?;
    let http = awc::Client::builder().timeout(PLATFORM_TIMEOUT).finish();
    let patient_http = awc::Client::builder().timeout(SLOWEST_ANSWER).finish();
    let kv_counts = KvCounts::default();
    let kv = HttpKv::new(http.clone(), settings.instance.kv, PLATFORM_TIMEOUT);
    let kv = CountedKv::new(kv, kv_counts.clone());
    let instances = Instances::new(http, settings.instance.instances);
    let contact = Duration::from_millis(settings.timing.contact_ms);
    let instance = settings.instance.name.clone();
    let links = Links::spawn(&instance, secret.clone(), instances.clone(), contact);
    // A slow service must not hide a new revision, so the follower waits for longer.
    let patient = HttpKv::new(patient_http, settings.instance.kv, SLOWEST_ANSWER);
    let patient = CountedKv::new(patient, kv_counts.clone());
    let follower = follow(&settings, patient, links.clone());
    let timing = AllowanceTiming::from(&settings.timing);
    let allowances = SharedAllowances::new(SystemClock, links, timing);
    let answers = FollowedConfig(follower.clone());
    let server = peers::serve(settings.peer, secret.clone(), allowances.clone(), answers)
        .context(PeerSnafu)?;
    let view = PeerView::spawn(PlacementPeers {
        gate: settings.instance.name.clone(),
        planner: settings.planner,
        secret,
        instances,
        follower: follower.clone(),
        contact,
    });
    let own = settings.peer;
    let mut gate = spawn_with(
        settings,
        follower.clone(),
        allowances.clone(),
        view,
        kv.clone(),
    )
    .await?;
    report(&gate, &allowances, &kv_counts);
    let tokens = Tokens {
        // The port is bound by now, which is the evidence that an earlier process has ended.
        keeper: ShareKeeper::spawn(&allowances, kv, own, &instance),
        _configure: Configure(actix_rt::spawn(configure(follower, allowances))),
        _server: server,
    };
    gate.when_stopped(async move { tokens.leave().await });
    Ok(gate)
}

/// What keeps the tokens of a gate, until its last request has ended.
struct Tokens {
    keeper: ShareKeeper,
    _configure: Configure,
    _server: PeerServer,
}

impl Tokens {
    async fn leave(self) {
        self.keeper.leave(LEAVE_LIMIT).await;
    }
}

struct Configure(JoinHandle<()>);

impl Drop for Configure {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn follow(settings: &GateSettings, kv: GateKv, links: Links) -> Follower {
    let timing = FollowTiming {
        cut_off: Duration::from_millis(settings.timing.cut_off_ms),
        contact: Duration::from_millis(settings.timing.contact_ms),
    };
    Follower::spawn(kv, SystemClock, timing, ConfigPeers(links))
}

/// Puts the workspaces of every revision into force.
async fn configure(follower: Follower, allowances: GateAllowances) {
    let mut changes = follower.changes();
    loop {
        allowances.configure(&follower.current().catalog);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn report(gate: &Gate, allowances: &GateAllowances, kv_counts: &KvCounts) {
    gate.metrics().with_registry(|registry| {
        allowances.register(registry);
        kv_counts.register(registry);
    });
    let levels = allowances.clone();
    gate.metrics()
        .before_encoding(move || levels.update_metrics());
    let status = allowances.clone();
    gate.status().add("allowances", move || status.status());
}

/// The other gates, as the follower of the configuration asks them.
#[derive(Clone)]
struct ConfigPeers(Links);

impl Peers for ConfigPeers {
    fn list(&self) -> Vec<Peer> {
        let gates = self.0.gates().into_iter();
        gates.map(|(addr, zone)| Peer { addr, zone }).collect()
    }

    async fn revision(&self, peer: SocketAddr, known: u64) -> Result<PeerRevision, PeerSilence> {
        match self.0.revision(peer, known).await {
            Ok(answer) => Ok(PeerRevision {
                number: answer.number,
                in_contact: answer.in_contact,
                root: answer.root,
            }),
            Err(e) => Err(silence(&e)),
        }
    }

    async fn chunk(&self, peer: SocketAddr, hash: &str) -> Option<Bytes> {
        self.0.chunk(peer, hash).await.ok().flatten()
    }
}

fn silence(e: &PeerError) -> PeerSilence {
    if e.is_not_running() {
        PeerSilence::NotRunning
    } else {
        PeerSilence::NoAnswer
    }
}

/// The configuration in force, as other gates ask for it.
struct FollowedConfig(Follower);

impl ConfigAnswers for FollowedConfig {
    fn revision(&self, known: u64) -> Option<RevisionAnswer> {
        let report = self.0.report(known, SystemClock.now())?;
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
