//! Seeded requests over hours. Each artifact is used in sessions with idle time between them; now
//! and then a workspace starts sessions on many artifacts at the same time.

use std::time::Duration;

use comfreyweir_external::engine::CheckpointTier;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use crate::deployment::Deployment;

/// Shortest and longest mean time between the sessions of an artifact, in seconds.
const SESSION_GAP_SECONDS: [f64; 2] = [60.0, 4.0 * 3_600.0];
/// Mean number of requests in a session.
const SESSION_REQUESTS: f64 = 6.0;
/// Mean time between the requests of a session, in seconds.
const REQUEST_GAP_SECONDS: f64 = 4.0;
/// Mean time between storms of sessions, in seconds.
const STORM_GAP_SECONDS: f64 = 300.0;
/// Sessions that the largest workspace starts at the same time in a storm.
const STORM_ARTIFACTS: usize = 16;
/// Time limit of a request, in seconds, by workspace. It is short for the third workspace, whose
/// callers sit in a van and wait for the answer.
const TIME_LIMIT_SECONDS: [u64; 5] = [30, 30, 6, 30, 60];

/// A request for an artifact.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// Time of arrival since the start of the run.
    pub(super) at: Duration,
    pub(super) artifact: usize,
    pub(super) workspace: usize,
    /// Time from the arrival to the deadline.
    pub(super) time_limit: Duration,
}

/// Input of a run.
pub(super) struct Workload {
    /// Requests, sorted by time of arrival.
    pub(super) requests: Vec<Request>,
    pub(super) length: Duration,
    /// For each engine, the models that have a checkpoint there at the start.
    pub(super) checkpoints: Vec<Vec<(usize, CheckpointTier)>>,
}

impl Workload {
    /// Draws a workload; the same arguments always give the same one.
    pub(super) fn draw(deployment: &Deployment, seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        for artifact in 0..deployment.artifact_count() {
            let [shortest, longest] = SESSION_GAP_SECONDS;
            let mean = shortest * (longest / shortest).powf(rng.random::<f64>());
            let workspace = draw_workspace(&mut rng, deployment);
            for at in poisson_times(&mut rng, mean, length) {
                requests.extend(draw_session(&mut rng, at, artifact, workspace));
            }
        }
        for at in poisson_times(&mut rng, STORM_GAP_SECONDS, length) {
            for _ in 0..STORM_ARTIFACTS {
                let artifact = rng.random_range(0..deployment.models);
                requests.extend(draw_session(&mut rng, at, artifact, 0));
            }
        }
        requests.retain(|r| r.at < length);
        requests.sort_by_key(|r| r.at);
        Self {
            requests,
            length,
            checkpoints: draw_checkpoints(&mut rng, deployment),
        }
    }
}

/// Draws the workspace that uses an artifact, weighted by its fraction of the load.
fn draw_workspace(rng: &mut ChaCha8Rng, deployment: &Deployment) -> usize {
    let mut remaining: f64 = rng.random();
    for (index, (_, fraction)) in deployment.workspaces.iter().enumerate() {
        remaining -= fraction;
        if remaining <= 0.0 {
            return index;
        }
    }
    deployment.workspaces.len() - 1
}

fn poisson_times(rng: &mut ChaCha8Rng, mean_seconds: f64, length: Duration) -> Vec<f64> {
    let gap = |rng: &mut ChaCha8Rng| draw_exponential(rng, mean_seconds);
    let mut times = Vec::new();
    let mut at = gap(rng);
    while at < length.as_secs_f64() {
        times.push(at);
        at += gap(rng);
    }
    times
}

fn draw_session(
    rng: &mut ChaCha8Rng,
    start: f64,
    artifact: usize,
    workspace: usize,
) -> Vec<Request> {
    let mut requests = Vec::new();
    let mut at = start;
    loop {
        requests.push(Request {
            at: Duration::from_secs_f64(at),
            artifact,
            workspace,
            time_limit: Duration::from_secs(TIME_LIMIT_SECONDS[workspace]),
        });
        if rng.random_bool(1.0 / SESSION_REQUESTS) {
            return requests;
        }
        at += draw_exponential(rng, REQUEST_GAP_SECONDS);
    }
}

fn draw_exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    Exp::new(1.0 / mean).map_or(mean, |exp| exp.sample(rng))
}

/// Draws the checkpoints at the start. For each model, on average one engine in 200 has a
/// checkpoint in memory, and two in 200 have one on disk.
fn draw_checkpoints(
    rng: &mut ChaCha8Rng,
    deployment: &Deployment,
) -> Vec<Vec<(usize, CheckpointTier)>> {
    let mut draw = |model| match rng.random_range(0..200) {
        0 => Some((model, CheckpointTier::Memory)),
        1..3 => Some((model, CheckpointTier::Disk)),
        _ => None,
    };
    let mut engine_checkpoints = || (0..deployment.models).filter_map(&mut draw).collect();
    (0..deployment.engines)
        .map(|_| engine_checkpoints())
        .collect()
}
