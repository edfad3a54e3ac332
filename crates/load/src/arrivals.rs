//! Seeded open-loop arrivals of a load run.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use serde::{Deserialize, Serialize};

use crate::deployment::{Deployment, OUTPUT_TOKENS};

/// Mean length of an active period of a model, in seconds.
const MEAN_ACTIVE_SECONDS: f64 = 12.0;
/// Fraction of the models that are active at any time.
const ACTIVE_FRACTION: f64 = 0.2;
/// Mean time between bursts of first requests, in seconds.
const BURST_INTERVAL_SECONDS: f64 = 6.0;
/// Requests that a burst sends to each gate.
const BURST_REQUESTS_PER_GATE: usize = 2;
/// Load of the last workspace, the greedy one, relative to its configured fraction.
const GREEDY_FACTOR: f64 = 4.0;
/// Sizes of a short and of a long prompt, in bytes.
const PROMPT_BYTES: [usize; 2] = [120, 2_400];
/// Fraction of the prompts that are long.
const LONG_PROMPT_FRACTION: f64 = 0.15;
/// Exponent of the Zipf distribution of requests over active models.
const POPULARITY_EXPONENT: f64 = 0.9;

/// Parameters of a load run.
#[derive(Clone, Copy, Debug)]
pub struct LoadSpec {
    /// Seed of everything random.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// Requests per second, without bursts and without the excess of the greedy workspace.
    pub rate: f64,
}

/// A request and its time of arrival.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Arrival {
    /// Time since the start of the run, in µs.
    pub at_us: u64,
    /// Index of the gate that receives it.
    pub gate: usize,
    /// Name of the workspace that sends it.
    pub workspace: String,
    /// Name of the requested model or adapter.
    pub model: String,
    /// Length of its prompt, in bytes.
    pub prompt_bytes: usize,
    /// Maximum output tokens.
    pub max_tokens: u32,
    /// Whether it belongs to a burst of requests for an inactive model.
    pub burst: bool,
}

impl Arrival {
    /// Tokens that the request uses if its answer is complete, at four bytes per prompt token.
    pub fn cost(&self) -> u64 {
        self.prompt_bytes.div_ceil(4) as u64 + u64::from(self.max_tokens.min(OUTPUT_TOKENS))
    }
}

/// Mean [`Arrival::cost`] of the drawn arrivals.
pub fn mean_request_tokens() -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let [short, long] = PROMPT_BYTES.map(|bytes| bytes as f64 / 4.0);
    short * (1.0 - LONG_PROMPT_FRACTION) + long * LONG_PROMPT_FRACTION + f64::from(OUTPUT_TOKENS)
}

/// Draws all arrivals of a run, sorted by time. The same deployment and load always give the same
/// arrivals.
pub fn draw_arrivals(deployment: &Deployment, load: LoadSpec) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let active_periods = ActivePeriods::draw(&mut rng, deployment.artifact_count(), load.length);
    let mut arrivals = Vec::new();
    let last = deployment.workspaces.len() - 1;
    for (index, (workspace, fraction)) in deployment.workspaces.into_iter().enumerate() {
        let factor = if index == last { GREEDY_FACTOR } else { 1.0 };
        let times = poisson_times(&mut rng, load.rate * fraction * factor, load.length);
        for at in times {
            let model = active_periods.draw_model(&mut rng, at);
            let model = deployment.served_name(model);
            arrivals.push(draw_arrival(&mut rng, deployment, at, workspace, model));
        }
    }
    for at in poisson_times(&mut rng, 1.0 / BURST_INTERVAL_SECONDS, load.length) {
        arrivals.extend(draw_burst(&mut rng, deployment, &active_periods, at));
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

fn draw_arrival<R>(
    rng: &mut R,
    deployment: &Deployment,
    at: Duration,
    workspace: &str,
    model: String,
) -> Arrival
where
    R: Rng,
{
    let long = rng.random_bool(LONG_PROMPT_FRACTION);
    Arrival {
        at_us: u64::try_from(at.as_micros()).unwrap_or(u64::MAX),
        gate: rng.random_range(0..deployment.gates),
        workspace: workspace.to_owned(),
        model,
        prompt_bytes: PROMPT_BYTES[usize::from(long)],
        max_tokens: OUTPUT_TOKENS,
        burst: false,
    }
}

/// Draws a burst: requests for one inactive model at all gates at the same time.
fn draw_burst<R>(
    rng: &mut R,
    deployment: &Deployment,
    active_periods: &ActivePeriods,
    at: Duration,
) -> Vec<Arrival>
where
    R: Rng,
{
    let inactive: Vec<usize> = (0..deployment.models)
        .filter(|model| !active_periods.is_active(*model, at))
        .collect();
    let Some(model) = inactive.get(rng.random_range(0..inactive.len().max(1))) else {
        return Vec::new();
    };
    let model = deployment.served_name(*model);
    let mut requests = Vec::new();
    for gate in 0..deployment.gates {
        for _ in 0..BURST_REQUESTS_PER_GATE {
            let index = rng.random_range(0..deployment.workspaces.len() - 1);
            let (workspace, _) = deployment.workspaces[index];
            let mut request = draw_arrival(rng, deployment, at, workspace, model.clone());
            request.gate = gate;
            request.burst = true;
            requests.push(request);
        }
    }
    requests
}

fn poisson_times<R>(rng: &mut R, rate: f64, length: Duration) -> Vec<Duration>
where
    R: Rng,
{
    let Ok(gap) = Exp::new(rate) else {
        return Vec::new();
    };
    let mut times = Vec::new();
    let mut at = gap.sample(rng);
    while at < length.as_secs_f64() {
        times.push(Duration::from_secs_f64(at));
        at += gap.sample(rng);
    }
    times
}

/// Active and inactive periods of each model, which alternate and have exponential lengths.
struct ActivePeriods {
    /// For each model, whether it is active at the start, and the times, in seconds, at which it
    /// changes state.
    periods: Vec<(bool, Vec<f64>)>,
}

impl ActivePeriods {
    fn draw<R>(rng: &mut R, models: usize, length: Duration) -> Self
    where
        R: Rng,
    {
        let mean_inactive_seconds = MEAN_ACTIVE_SECONDS * (1.0 - ACTIVE_FRACTION) / ACTIVE_FRACTION;
        let periods = (0..models).map(|_| {
            let initially_active = rng.random_bool(ACTIVE_FRACTION);
            let (mut active, mut at, mut times) = (initially_active, 0.0, Vec::new());
            while at < length.as_secs_f64() {
                let mean = if active {
                    MEAN_ACTIVE_SECONDS
                } else {
                    mean_inactive_seconds
                };
                let period = Exp::new(1.0 / mean).map_or(mean, |exp| exp.sample(rng));
                at += period;
                times.push(at);
                active = !active;
            }
            (initially_active, times)
        });
        Self {
            periods: periods.collect(),
        }
    }

    fn is_active(&self, model: usize, at: Duration) -> bool {
        let (initially_active, times) = &self.periods[model];
        let changes = times
            .iter()
            .filter(|time| **time <= at.as_secs_f64())
            .count();
        *initially_active == changes.is_multiple_of(2)
    }

    /// Draws one of the active models; those with lower indices are more popular.
    fn draw_model<R>(&self, rng: &mut R, at: Duration) -> usize
    where
        R: Rng,
    {
        let active: Vec<usize> = (0..self.periods.len())
            .filter(|model| self.is_active(*model, at))
            .collect();
        #[allow(clippy::cast_precision_loss)]
        let Ok(popularity) = Zipf::new(active.len() as f64, POPULARITY_EXPONENT) else {
            return 0;
        };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rank = popularity.sample(rng) as usize;
        active[rank.clamp(1, active.len()) - 1]
    }
}
