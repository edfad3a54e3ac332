//! Seeded arrivals of the allowance experiment: workspaces of different size, unevenly spread
//! over the gates.

use std::time::Duration;

use comfreyweir_allowance::RateLimit;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

use super::GATES;

/// Rates of the workspaces, in tokens per second. The last workspace is the greedy one.
const RATES: [u64; 5] = [8_000, 5_000, 3_000, 1_000, 3_000];
/// Burst of a workspace, in seconds of its rate.
const BURST_SECONDS: u64 = 4;
/// Load of the greedy workspace relative to its rate.
const GREEDY_LOAD: f64 = 4.0;
/// Maximum output tokens of a request.
const OUTPUT_LIMIT: u64 = 256;
const MEDIAN_PROMPT_TOKENS: f64 = 200.0;
const MAX_PROMPT_TOKENS: f64 = 3_000.0;
/// Requests of a batch, which arrive at one gate at the same time.
const BATCH_SIZE: usize = 5;
/// Probability that an arrival is a batch instead of a single request.
const BATCH_PROBABILITY: f64 = 0.05;
/// Probability that an arrival moves on to the next gate: each gate gets about this fraction of
/// the load of the one before it.
const NEXT_GATE_PROBABILITY: f64 = 0.6;
/// Time for which the same gate gets most of a workspace's requests.
const PREFERRED_GATE_PERIOD: Duration = Duration::from_secs(20);
/// Output tokens per second that an engine generates for one request.
const OUTPUT_TOKENS_PER_SECOND: f64 = 50.0;

/// Number of workspaces.
pub const WORKSPACES: usize = RATES.len();
/// Index of the workspace that sends several times its rate.
pub const GREEDY_WORKSPACE: usize = WORKSPACES - 1;

/// A request that arrives at a gate.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub workspace: usize,
    pub gate: usize,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens that the engine will generate.
    pub output: u64,
    /// Time for which the request runs on the engine.
    pub run_time: Duration,
}

impl Arrival {
    /// Tokens charged in advance: the prompt and the maximum output.
    pub fn cost(&self) -> u64 {
        self.prompt + OUTPUT_LIMIT
    }

    /// Tokens that the request has used when it ends.
    pub fn used(&self) -> u64 {
        self.prompt + self.output
    }
}

/// Rate and burst of a workspace.
pub fn rate_limit(workspace: usize) -> RateLimit {
    RateLimit {
        rate: RATES[workspace],
        burst: RATES[workspace] * BURST_SECONDS,
    }
}

/// Draws the arrivals of all workspaces, sorted by time. `load` is relative to the rates of the
/// compliant workspaces.
pub fn draw(seed: u64, load: f64, length: Duration) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for workspace in 0..WORKSPACES {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(u64::try_from(workspace).expect("few workspaces"));
        let load = if workspace == GREEDY_WORKSPACE {
            GREEDY_LOAD
        } else {
            load
        };
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
    let mean_batch = 1.0 + BATCH_PROBABILITY * (BATCH_SIZE - 1) as f64;
    let arrivals_per_second = tokens_per_second / (mean_tokens_used() * mean_batch);
    let gap = Exp::new(arrivals_per_second).expect("a positive rate");
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_secs_f64(gap.sample(rng));
        if at >= length {
            return;
        }
        let gate = draw_gate(rng, workspace, at);
        let is_batch = rng.random_bool(BATCH_PROBABILITY);
        for _ in 0..if is_batch { BATCH_SIZE } else { 1 } {
            arrivals.push(draw_request(rng, at, workspace, gate));
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn draw_request(rng: &mut ChaCha8Rng, at: Duration, workspace: usize, gate: usize) -> Arrival {
    let prompt_tokens = LogNormal::new(MEDIAN_PROMPT_TOKENS.ln(), 0.8).expect("a finite shape");
    let prompt = prompt_tokens.sample(rng).clamp(1.0, MAX_PROMPT_TOKENS) as u64;
    let output = rng.random_range(OUTPUT_LIMIT / 5..=OUTPUT_LIMIT);
    #[allow(clippy::cast_precision_loss)]
    let run_time = Duration::from_secs_f64(output as f64 / OUTPUT_TOKENS_PER_SECOND);
    Arrival {
        at,
        workspace,
        gate,
        prompt,
        output,
        run_time,
    }
}

/// Mean tokens used by a request: the means of the prompt and output distributions.
fn mean_tokens_used() -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let output = OUTPUT_LIMIT as f64 * 0.6;
    MEDIAN_PROMPT_TOKENS * (0.8_f64 * 0.8 / 2.0).exp() + output
}

/// Draws the gate of an arrival. One gate gets most of a workspace's requests; which one changes
/// every [`PREFERRED_GATE_PERIOD`].
fn draw_gate(rng: &mut ChaCha8Rng, workspace: usize, at: Duration) -> usize {
    let period =
        usize::try_from(at.as_secs() / PREFERRED_GATE_PERIOD.as_secs()).expect("short trials");
    let preferred = period * 3 + workspace;
    let mut step = 0;
    while step < GATES - 1 && rng.random_bool(NEXT_GATE_PROBABILITY) {
        step += 1;
    }
    (preferred + step) % GATES
}
