//! Seeded open-loop arrivals.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use serde::{Deserialize, Serialize};

use crate::deployment::{Deployment, OUTPUT_TOKENS};

/// Mean time that a model stays awake, in seconds.
const AWAKE_SECONDS: f64 = 12.0;
/// Part of the models that are awake at a time.
const AWAKE_PART: f64 = 0.2;
/// Mean time between bursts of first requests, in seconds.
const BURST_INTERVAL_SECONDS: f64 = 6.0;
/// Requests of a burst at each gate.
const BURST_PER_GATE: usize = 2;
/// Factor over its part at which the last workspace sends.
const GREEDY_FACTOR: f64 = 4.0;
/// Bytes of a short and of a long prompt.
const PROMPT_BYTES: [usize; 2] = [120, 2_400];
/// Part of the prompts that are long.
const LONG_PART: f64 = 0.15;
/// Exponent of the popularity of models.
const POPULARITY: f64 = 0.9;

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Seed of everything random.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// Requests a second, bursts and the excess of the greedy workspace not counted.
    pub rate: f64,
}

/// One request to come.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Arrival {
    /// Time since the start of the run, in µs.
    pub at_us: u64,
    /// Gate that receives it.
    pub gate: usize,
    /// Workspace.
    pub workspace: String,
    /// Model or adapter.
    pub model: String,
    /// Bytes of its prompt.
    pub prompt_bytes: usize,
    /// Limit of output tokens.
    pub max_tokens: u32,
    /// Whether it belongs to a burst of first requests.
    pub burst: bool,
}

impl Arrival {
    /// Tokens that the request uses when it is answered whole.
    pub fn cost(&self) -> u64 {
        self.prompt_bytes.div_ceil(4) as u64 + u64::from(self.max_tokens.min(OUTPUT_TOKENS))
    }
}

/// Mean tokens of a request.
pub fn mean_cost() -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let [short, long] = PROMPT_BYTES.map(|bytes| bytes as f64 / 4.0);
    short * (1.0 - LONG_PART) + long * LONG_PART + f64::from(OUTPUT_TOKENS)
}

/// Draws all arrivals of a run, in the order of their times. The same load gives the same ones.
pub fn draw(deployment: &Deployment, load: Load) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let awake = Awake::draw(&mut rng, deployment.artifacts(), load.length);
    let mut arrivals = Vec::new();
    let last = deployment.workspaces.len() - 1;
    for (index, (workspace, part)) in deployment.workspaces.into_iter().enumerate() {
        let factor = if index == last { GREEDY_FACTOR } else { 1.0 };
        let times = poisson(&mut rng, load.rate * part * factor, load.length);
        for at in times {
            let model = awake.pick(&mut rng, at);
            let model = deployment.served(model);
            arrivals.push(arrival(&mut rng, deployment, at, workspace, model));
        }
    }
    for at in poisson(&mut rng, 1.0 / BURST_INTERVAL_SECONDS, load.length) {
        arrivals.extend(burst(&mut rng, deployment, &awake, at));
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

fn arrival<R>(
    rng: &mut R,
    deployment: &Deployment,
    at: Duration,
    workspace: &str,
    model: String,
) -> Arrival
where
    R: Rng,
{
    let long = rng.random_bool(LONG_PART);
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

/// First requests for one sleeping model at all gates at once.
fn burst<R>(rng: &mut R, deployment: &Deployment, awake: &Awake, at: Duration) -> Vec<Arrival>
where
    R: Rng,
{
    let asleep: Vec<usize> = (0..deployment.models)
        .filter(|model| !awake.is_awake(*model, at))
        .collect();
    let Some(model) = asleep.get(rng.random_range(0..asleep.len().max(1))) else {
        return Vec::new();
    };
    let model = deployment.served(*model);
    let mut requests = Vec::new();
    for gate in 0..deployment.gates {
        for _ in 0..BURST_PER_GATE {
            let index = rng.random_range(0..deployment.workspaces.len() - 1);
            let (workspace, _) = deployment.workspaces[index];
            let mut request = arrival(rng, deployment, at, workspace, model.clone());
            request.gate = gate;
            request.burst = true;
            requests.push(request);
        }
    }
    requests
}

fn poisson<R>(rng: &mut R, rate: f64, length: Duration) -> Vec<Duration>
where
    R: Rng,
{
    let Ok(gaps) = Exp::new(rate) else {
        return Vec::new();
    };
    let mut times = Vec::new();
    let mut at = gaps.sample(rng);
    while at < length.as_secs_f64() {
        times.push(Duration::from_secs_f64(at));
        at += gaps.sample(rng);
    }
    times
}

/// When each model is awake: alternating periods with exponential lengths.
struct Awake {
    /// For each model the times, in seconds, at which it wakes and falls idle in turn.
    turns: Vec<(bool, Vec<f64>)>,
}

impl Awake {
    fn draw<R>(rng: &mut R, models: usize, length: Duration) -> Self
    where
        R: Rng,
    {
        let asleep_seconds = AWAKE_SECONDS * (1.0 - AWAKE_PART) / AWAKE_PART;
        let turns = (0..models).map(|_| {
            let first = rng.random_bool(AWAKE_PART);
            let (mut awake, mut at, mut times) = (first, 0.0, Vec::new());
            while at < length.as_secs_f64() {
                let mean = if awake { AWAKE_SECONDS } else { asleep_seconds };
                let draw = Exp::new(1.0 / mean).map_or(mean, |exp| exp.sample(rng));
                at += draw;
                times.push(at);
                awake = !awake;
            }
            (first, times)
        });
        Self {
            turns: turns.collect(),
        }
    }

    fn is_awake(&self, model: usize, at: Duration) -> bool {
        let (first, times) = &self.turns[model];
        let turns = times.iter().filter(|t| **t <= at.as_secs_f64()).count();
        *first == turns.is_multiple_of(2)
    }

    /// Picks one of the models that are awake; the first ones are the most popular.
    fn pick<R>(&self, rng: &mut R, at: Duration) -> usize
    where
        R: Rng,
    {
        let awake: Vec<usize> = (0..self.turns.len())
            .filter(|model| self.is_awake(*model, at))
            .collect();
        #[allow(clippy::cast_precision_loss)]
        let Ok(popularity) = Zipf::new(awake.len() as f64, POPULARITY) else {
            return 0;
        };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let place = popularity.sample(rng) as usize;
        awake[place.clamp(1, awake.len()) - 1]
    }
}
