//! Requests over hours: artifacts wake and fall idle, and now and then a workspace wakes many at
//! once.

use std::time::Duration;

use comfreyweir_external::engine::CheckpointTier;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use crate::deployment::Deployment;

/// Shortest and longest mean time between the uses of an artifact, in seconds.
const MEAN_GAP_SECONDS: [f64; 2] = [60.0, 4.0 * 3_600.0];
/// Mean number of requests of one use.
const USE_REQUESTS: f64 = 6.0;
/// Mean time between the requests of one use, in seconds.
const REQUEST_GAP_SECONDS: f64 = 4.0;
/// Mean time between storms, in seconds.
const STORM_GAP_SECONDS: f64 = 300.0;
/// Artifacts that the largest workspace wakes at once in a storm.
const STORM_ARTIFACTS: usize = 16;
/// Time that a request may take, in seconds, by workspace; the third one is a van that waits.
const DEADLINE_SECONDS: [u64; 5] = [30, 30, 6, 30, 60];

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) at: Duration,
    pub(super) artifact: usize,
    pub(super) workspace: usize,
    pub(super) time_left: Duration,
}

/// All requests of a run, and the checkpoints at its start.
pub(super) struct Demand {
    pub(super) requests: Vec<Request>,
    pub(super) length: Duration,
    /// For each engine, the models with a checkpoint there.
    pub(super) checkpoints: Vec<Vec<(usize, CheckpointTier)>>,
}

impl Demand {
    /// Draws the requests; the same seed gives the same ones.
    pub(super) fn draw(deployment: &Deployment, seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        for artifact in 0..deployment.artifacts() {
            let [shortest, longest] = MEAN_GAP_SECONDS;
            let mean = shortest * (longest / shortest).powf(rng.random::<f64>());
            let workspace = owner(&mut rng, deployment);
            for at in times(&mut rng, mean, length) {
                requests.extend(one_use(&mut rng, at, artifact, workspace));
            }
        }
        for at in times(&mut rng, STORM_GAP_SECONDS, length) {
            for _ in 0..STORM_ARTIFACTS {
                let artifact = rng.random_range(0..deployment.models);
                requests.extend(one_use(&mut rng, at, artifact, 0));
            }
        }
        requests.retain(|r| r.at < length);
        requests.sort_by_key(|r| r.at);
        Self {
            requests,
            length,
            checkpoints: checkpoints(&mut rng, deployment),
        }
    }
}

fn owner(rng: &mut ChaCha8Rng, deployment: &Deployment) -> usize {
    let mut left: f64 = rng.random();
    for (index, (_, part)) in deployment.workspaces.iter().enumerate() {
        left -= part;
        if left <= 0.0 {
            return index;
        }
    }
    deployment.workspaces.len() - 1
}

fn times(rng: &mut ChaCha8Rng, mean_seconds: f64, length: Duration) -> Vec<f64> {
    let gap = |rng: &mut ChaCha8Rng| sample(rng, mean_seconds);
    let mut times = Vec::new();
    let mut at = gap(rng);
    while at < length.as_secs_f64() {
        times.push(at);
        at += gap(rng);
    }
    times
}

fn one_use(rng: &mut ChaCha8Rng, start: f64, artifact: usize, workspace: usize) -> Vec<Request> {
    let mut requests = Vec::new();
    let mut at = start;
    loop {
        requests.push(Request {
            at: Duration::from_secs_f64(at),
            artifact,
            workspace,
            time_left: Duration::from_secs(DEADLINE_SECONDS[workspace]),
        });
        if rng.random_bool(1.0 / USE_REQUESTS) {
            return requests;
        }
        at += sample(rng, REQUEST_GAP_SECONDS);
    }
}

fn sample(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    Exp::new(1.0 / mean).map_or(mean, |exp| exp.sample(rng))
}

/// Checkpoints are held unevenly: of a model, one engine in two hundred has one in memory and two
/// in two hundred have one on disk.
fn checkpoints(rng: &mut ChaCha8Rng, deployment: &Deployment) -> Vec<Vec<(usize, CheckpointTier)>> {
    let mut draw = |model| match rng.random_range(0..200) {
        0 => Some((model, CheckpointTier::Memory)),
        1..3 => Some((model, CheckpointTier::Disk)),
        _ => None,
    };
    let mut on_engine = || (0..deployment.models).filter_map(&mut draw).collect();
    (0..deployment.engines).map(|_| on_engine()).collect()
}
