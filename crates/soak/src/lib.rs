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
mod faults;

use std::{path::PathBuf, rc::Rc, time::Duration};

use comfreyweir_standins::StandinError;
use comfreyweir_testbed::TestbedError;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snafu::Snafu;

use crate::cluster::SoakCluster;

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
    let faults = faults::inject(&cluster, settings.fault_duration, &mut rng).await;
    let recovered = cluster.wait_until_all_serve().await;
    let records = caller_tasks.finish().await;
    let mut broken = check::broken_promises(&records, &cluster);
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
        faults,
        broken_promises: broken,
        logs: logs.flatten(),
    })
}
