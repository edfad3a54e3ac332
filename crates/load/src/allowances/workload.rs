//! Seeded arrivals: workspaces of different size, unevenly spread over the gates.

use std::time::Duration;

use comfreyweir_allowance::RateLimit;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

use super::GATES;

/// Rates of the workspaces in tokens a second. The last one sends several times its rate.
const RATES: [u64; 5] = [8_000, 5_000, 3_000, 1_000, 3_000];
/// Seconds of the rate that the burst holds.
const BURST_SECONDS: u64 = 4;
/// Load of the last workspace relative to its rate.
const EXCESS: f64 = 4.0;
/// Output limit of a request.
const OUTPUT_LIMIT: u64 = 256;
const MEDIAN_PROMPT: f64 = 200.0;
const MAX_PROMPT: f64 = 3_000.0;
/// Requests in a clump that arrives at one gate.
const CLUMP: usize = 5;
/// Part of the arrivals that bring a clump.
const CLUMPED: f64 = 0.05;
/// Each next gate gets this part of what the one before gets.
const SKEW: f64 = 0.6;
/// Time after which another gate gets most of a workspace's requests.
const TURN: Duration = Duration::from_secs(20);
/// Tokens that an engine writes in a second for one request.
const TOKENS_PER_SECOND: f64 = 50.0;

/// Workspaces of the experiment.
pub const WORKSPACES: usize = RATES.len();
/// The workspace that sends several times its rate.
pub const GREEDY: usize = WORKSPACES - 1;

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub workspace: usize,
    pub gate: usize,
    pub prompt: u64,
    /// Output tokens that the engine will write.
    pub output: u64,
    /// Time that the engine takes.
    pub runs: Duration,
}

impl Arrival {
    /// Tokens charged in advance.
    pub fn cost(&self) -> u64 {
        self.prompt + OUTPUT_LIMIT
    }

    /// Tokens used in the end.
    pub fn used(&self) -> u64 {
        self.prompt + self.output
    }
}

/// Allowance of a workspace.
pub fn terms(workspace: usize) -> RateLimit {
    RateLimit {
        rate: RATES[workspace],
        burst: RATES[workspace] * BURST_SECONDS,
    }
}

/// Arrivals of all workspaces in the order of time; `load` is relative to their rates.
pub fn draw(seed: u64, load: f64, length: Duration) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for workspace in 0..WORKSPACES {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(u64::try_from(workspace).expect("few workspaces"));
        let load = if workspace == GREEDY { EXCESS } else { load };
        draw_workspace(&mut rng, workspace, load, length, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn draw_workspace(
    rng: &mut ChaCha8Rng,
    workspace: usize,
    load: f64,
    length: Duration,
    arrivals: &mut Vec<Arrival>,
) {
    #[allow(clippy::cast_precision_loss)]
    let tokens_per_second = RATES[workspace] as f64 * load;
    #[allow(clippy::cast_precision_loss)]
    let clump = 1.0 + CLUMPED * (CLUMP - 1) as f64;
    let per_second = tokens_per_second / (mean_used() * clump);
    let gaps = Exp::new(per_second).expect("a positive rate");
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_secs_f64(gaps.sample(rng));
        if at >= length {
            return;
        }
        let gate = gate(rng, workspace, at);
        let clumped = rng.random_bool(CLUMPED);
        for _ in 0..if clumped { CLUMP } else { 1 } {
            arrivals.push(request(rng, at, workspace, gate));
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn request(rng: &mut ChaCha8Rng, at: Duration, workspace: usize, gate: usize) -> Arrival {
    let prompts = LogNormal::new(MEDIAN_PROMPT.ln(), 0.8).expect("a finite shape");
    let prompt = prompts.sample(rng).clamp(1.0, MAX_PROMPT) as u64;
    let output = rng.random_range(OUTPUT_LIMIT / 5..=OUTPUT_LIMIT);
    #[allow(clippy::cast_precision_loss)]
    let runs = Duration::from_secs_f64(output as f64 / TOKENS_PER_SECOND);
    Arrival {
        at,
        workspace,
        gate,
        prompt,
        output,
        runs,
    }
}

/// Mean tokens of a request: the mean of the prompt's distribution and of the output.
fn mean_used() -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let output = OUTPUT_LIMIT as f64 * 0.6;
    MEDIAN_PROMPT * (0.8_f64 * 0.8 / 2.0).exp() + output
}

/// The gate of a request: one gate gets most of a workspace's requests, and from time to time
/// another one.
fn gate(rng: &mut ChaCha8Rng, workspace: usize, at: Duration) -> usize {
    let turns = usize::try_from(at.as_secs() / TURN.as_secs()).expect("short trials");
    let first = turns * 3 + workspace;
    let mut step = 0;
    while step < GATES - 1 && rng.random_bool(SKEW) {
        step += 1;
    }
    (first + step) % GATES
}
