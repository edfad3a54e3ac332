//! A randomized soak of the entry daemon.
//!
//! Runs real daemons on loopback against stand-ins of the platform's store and servers, and
//! injects faults from outside. A seeded generator draws the faults: processes are paused, killed,
//! terminated and reloaded; connections are closed, frozen, blocked in one direction or delayed;
//! the store is down, slow, loses answers, forgets its history or comes back from a copy; servers
//! crash, leave and come back under another name; servers say in their answers that they leave or
//! want no requests, break streams off, and get a new software version; keys are replaced. Faults
//! overlap. Callers reuse their connections and resume streams that broke off.
//!
//! The daemon's promises, such as that a request which must not be repeated runs at most once, are
//! checked against what callers and servers recorded. After the last fault, every instance must
//! serve all kinds of requests again.

mod callers;
mod check;
mod cluster;
mod configurations;
mod event_log;
mod faults;
mod processor;
mod releases;

use std::{path::PathBuf, rc::Rc, time::Duration};

use comfreyweir_standins::StandinError;
use comfreyweir_testbed::TestbedError;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snafu::Snafu;

use crate::cluster::SoakCluster;

/// Time within which a configuration must be in force, also where links are thin.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
const THIN_CONFIG_LIMIT: Duration = Duration::from_secs(3);
/// Bandwidth of a thin link and of the others beside it, in Mbit/s.
const THIN_MBPS: f64 = 10.0;
const WIDE_MBPS: f64 = 200.0;

/// Settings of one soak.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Path of the entry daemon's executable.
    pub program: PathBuf,
    /// Seed of the generator that draws faults and requests.
    pub seed: u64,
    /// Number of entry instances.
    pub instances: usize,
    /// Number of concurrent tasks that send requests.
    pub callers: usize,
    /// How long new faults are injected. The soak itself lasts longer: it waits for the last faults
    /// to end and for recovery.
    pub fault_duration: Duration,
    /// What disturbs the system.
    pub plan: Plan,
    /// Servers, and addresses for servers that start later.
    pub servers: ServerCounts,
    /// Share of a core that each instance gets, as a quota in short periods; all of it if 1.
    pub cpu_share: f64,
    /// Size in bytes up to which configurations are filled with routes.
    pub config_bytes: usize,
    /// Number of instances with a thin link. With any, the others have a wider one, and a configuration
    /// has more time to be in force.
    pub thin_links: usize,
}

impl SoakSettings {
    /// Time within which a configuration must be in force.
    fn config_limit(&self) -> Duration {
        if self.thin_links > 0 {
            THIN_CONFIG_LIMIT
        } else {
            CONFIG_LIMIT
        }
    }

    /// Bandwidth of an instance's link, in Mbit/s; none if it is not limited.
    fn link_mbps(&self, instance: usize) -> Option<f64> {
        let is_thin = instance + self.thin_links >= self.instances;
        (self.thin_links > 0).then_some(if is_thin { THIN_MBPS } else { WIDE_MBPS })
    }
}

/// What disturbs the system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plan {
    /// Faults drawn by seed.
    #[default]
    Drawn,
    /// The same planned work again and again beside outages: releases and servers that leave, while some
    /// instances lose the store and the holder of the planning duty is gone.
    Releases,
    /// Series of configurations beside troubles of the store, of connections to it and of the holder.
    Configurations,
}

/// Numbers of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCounts {
    /// Engines, of the service `llm`.
    pub engines: usize,
    /// Servers of the service `plain`.
    pub plain: usize,
    /// Addresses of each service for servers that start later.
    pub spare: usize,
}

impl Default for ServerCounts {
    fn default() -> Self {
        Self {
            engines: 3,
            plain: 2,
            spare: 0,
        }
    }
}

impl ServerCounts {
    /// Number of addresses.
    fn slots(self) -> usize {
        self.engines + self.plain + 2 * self.spare
    }

    /// The service of the server at the address with this index: those of the engines come first.
    fn service(self, index: usize) -> &'static str {
        if index < self.engines + self.spare {
            "llm"
        } else {
            "plain"
        }
    }

    /// Whether a server runs at the address with this index from the start.
    fn is_started(self, index: usize) -> bool {
        let plain = self.engines + self.spare;
        index < self.engines || (plain..plain + self.plain).contains(&index)
    }
}

/// Result of a soak.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests answered with status 200.
    pub served: usize,
    /// Number of requests that resume a stream, and of those answered with status 200.
    pub resumed: (usize, usize),
    /// Number of engines that ended under a fatal prompt part, and of requests with such a part that
    /// reached engines.
    pub fatal: (usize, usize),
    /// Longest time for which a server was leaving when a request reached it from an instance in touch.
    pub latest_after_leaving: Duration,
    /// Number of answered requests that show which configuration an instance goes by.
    pub probes: usize,
    /// Longest time after which an instance in touch went by an older configuration.
    pub latest_outdated: Duration,
    /// Injected faults, each with its start time and duration.
    pub faults: Vec<String>,
    /// Broken promises, one description each; empty if the soak passed.
    pub broken_promises: Vec<String>,
    /// Folder with the daemons' logs, kept only if a promise was broken.
    pub logs: Option<PathBuf>,
}

/// Why a soak could not run.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SoakError {
    /// A stand-in could not be started.
    #[snafu(display("{source}"), context(false))]
    Standin {
        /// The underlying error.
        source: StandinError,
    },
    /// A process could not be started or did not become ready.
    #[snafu(display("{source}"), context(false))]
    Testbed {
        /// The underlying error.
        source: TestbedError,
    },
    /// A file could not be written.
    #[snafu(display("{source}"), context(false))]
    File {
        /// The underlying error.
        source: std::io::Error,
    },
}

/// Runs one soak. Broken promises are part of the returned value; an error means that the soak
/// could not run.
pub async fn run(settings: &SoakSettings) -> Result<SoakReport, SoakError> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let cluster = Rc::new(SoakCluster::start(settings)?);
    cluster.wait_until_all_serve().await?;
    let caller_tasks = callers::spawn(&cluster, settings.callers, &mut rng);
    let probe_tasks = configurations::spawn_probes(&cluster, &rng);
    let throttle = processor::throttle(&cluster, settings.cpu_share);
    let faults = match settings.plan {
        Plan::Drawn => faults::inject(&cluster, settings.fault_duration, &mut rng).await,
        Plan::Releases => releases::play(&cluster, settings.fault_duration, &mut rng).await,
        Plan::Configurations => {
            configurations::play(&cluster, settings.fault_duration, &mut rng).await
        }
    };
    drop(throttle);
    let recovered = cluster.wait_until_all_serve().await;
    let records = caller_tasks.finish().await;
    let probes = probe_tasks.finish().await;
    let verdict = configurations::judge(&probes, &cluster);
    let mut broken = check::broken_promises(&records, &cluster);
    broken.extend(verdict.broken);
    broken.extend(configurations::unserved_routes(&probes, &records, &cluster));
    if let Err(e) = recovered {
        broken.push(format!("not everything is served again: {e}"));
    }
    broken.extend(cluster.broken_promises());
    let served = records.iter().filter(|r| r.is_served()).count();
    let resumptions = records.iter().filter(|r| r.call.resumes.is_some());
    let went_on = resumptions.clone().filter(|r| r.is_served()).count();
    let logs = (!broken.is_empty()).then(|| cluster.keep_logs());
    Ok(SoakReport {
        requests: records.len(),
        served,
        resumed: (resumptions.count(), went_on),
        fatal: check::fatal_requests(&cluster),
        probes: verdict.probes,
        latest_outdated: verdict.latest_outdated,
        latest_after_leaving: check::latest_after_leaving(&records, &cluster),
        faults,
        broken_promises: broken,
        logs: logs.flatten(),
    })
}
