//! A randomized soak of the entry daemon.
//!
//! Starts real daemons before stand-ins of the platform, on loopback, and injects faults from
//! outside by seed: processes that are paused, killed, stopped and reloaded; connections that are
//! cut, frozen, cut one way or delayed; a store that is down, slow, loses answers or forgets its
//! history; servers that crash, leave and come back under another name; keys that are replaced.
//! Faults overlap. Callers keep their connections. The promises are checked from what callers and
//! servers saw, and at the end everything must be served again.

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

use crate::cluster::World;

/// A soak.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry daemon.
    pub program: PathBuf,
    /// Draws faults and load.
    pub seed: u64,
    /// Instances.
    pub instances: usize,
    /// Tasks that send requests.
    pub callers: usize,
    /// Time in which faults begin.
    pub time: Duration,
}

/// What a soak saw.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Requests sent.
    pub requests: usize,
    /// Requests that were answered with success.
    pub served: usize,
    /// Faults injected.
    pub faults: Vec<String>,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Folder with the logs, kept where a promise was broken.
    pub logs: Option<PathBuf>,
}

/// Why a soak could not run.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SoakError {
    /// A stand-in could not be started.
    #[snafu(display("{source}"), context(false))]
    Standin {
        /// The failure.
        source: StandinError,
    },
    /// A process could not be started or did not become ready.
    #[snafu(display("{source}"), context(false))]
    Testbed {
        /// The failure.
        source: TestbedError,
    },
    /// A file could not be written.
    #[snafu(display("{source}"), context(false))]
    File {
        /// The failure.
        source: std::io::Error,
    },
}

/// Runs one soak.
pub async fn run(settings: &Settings) -> Result<Verdict, SoakError> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let world = Rc::new(World::start(settings)?);
    world.until_all_serve().await?;
    let load = callers::spawn(&world, settings.callers, &mut rng);
    let faults = faults::inject(&world, settings.time, &mut rng).await;
    let recovered = world.until_all_serve().await;
    let records = load.finish().await;
    let mut broken = check::records(&records, &world);
    if let Err(e) = recovered {
        broken.push(format!("not everything is served again: {e}"));
    }
    broken.extend(world.broken());
    let served = records.iter().filter(|r| r.is_served()).count();
    let logs = (!broken.is_empty()).then(|| world.keep_logs());
    Ok(Verdict {
        requests: records.len(),
        served,
        faults,
        broken,
        logs: logs.flatten(),
    })
}
