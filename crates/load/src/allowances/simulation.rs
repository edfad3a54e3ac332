//! Discrete-event simulation of one trial.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use super::{
    FAULT_AT, Fault, GATES, TRIAL_LENGTH,
    fleet::{Charge, Fleet, REBALANCE_INTERVAL, Strategy},
    workload::{self, Arrival, WORKSPACES},
};

/// Minimum delay before a waiting request tries again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Reports of token use that follow the first one, over the run of a request.
const PROGRESS_REPORTS: u32 = 20;
/// Gate that [`Fault::GateLost`] and [`Fault::GateCutOff`] affect.
const FAULTY_GATE: usize = 2;

/// A strategy and the fault under which it is simulated.
#[derive(Clone, Copy)]
pub struct Trial {
    pub strategy: Strategy,
    pub fault: Fault,
}

/// Counts of one workspace, from the time of the fault; only `excess` covers the whole trial.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkspaceTally {
    /// Requests inside the rate.
    pub inside: u64,
    /// Requests inside the rate that were refused.
    pub refused: u64,
    /// Tokens used by the requests inside the rate, had all been served.
    pub inside_tokens: u64,
    /// The part of `inside_tokens` that belongs to refused requests.
    pub refused_tokens: u64,
    /// Tokens used by the requests that have ended.
    pub used: u64,
    /// Highest number of tokens used over rate and burst in any interval; zero if the bound was
    /// kept.
    pub excess: u64,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    RebalanceShares,
    FaultBegins,
    Report { running: usize, report: u32 },
    Arrives { arrival: usize },
    RetryQueue { gate: usize, workspace: usize },
}

struct RunningRequest {
    arrival: usize,
    charge: Charge,
}

struct Simulation<'a> {
    trial: Trial,
    arrivals: &'a [Arrival],
    /// Instant at which the virtual time is zero.
    epoch: Instant,
    now: Duration,
    fleet: Fleet,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    running: Vec<RunningRequest>,
    /// Indices of the arrivals that wait for tokens, in order, by gate and workspace.
    queues: [[VecDeque<usize>; WORKSPACES]; GATES],
    ideal_buckets: [IdealBucket; WORKSPACES],
    /// For each arrival, whether it is inside the rate.
    inside: Vec<bool>,
    tallies: [WorkspaceTally; WORKSPACES],
    /// Time and number of the tokens used, by workspace.
    token_uses: [Vec<(Duration, u64)>; WORKSPACES],
}

/// A single token bucket for all gates, charged with exactly what each request will use.
#[derive(Clone, Copy)]
struct IdealBucket {
    level: f64,
    at: Duration,
}

/// Runs a trial and returns the counts of each workspace.
pub fn run(trial: Trial, arrivals: &[Arrival]) -> [WorkspaceTally; WORKSPACES] {
    let epoch = Instant::now();
    let mut simulation = Simulation {
        trial,
        arrivals,
        epoch,
        now: Duration::ZERO,
        fleet: Fleet::new(trial.strategy, epoch),
        events: BinaryHeap::new(),
        running: Vec::new(),
        queues: std::array::from_fn(|_| std::array::from_fn(|_| VecDeque::new())),
        ideal_buckets: std::array::from_fn(IdealBucket::full),
        inside: vec![false; arrivals.len()],
        tallies: [WorkspaceTally::default(); WORKSPACES],
        token_uses: std::array::from_fn(|_| Vec::new()),
    };
    simulation.run();
    simulation.compute_excess();
    simulation.tallies
}

impl Simulation<'_> {
    fn run(&mut self) {
        for (i, arrival) in self.arrivals.iter().enumerate() {
            self.schedule(arrival.at, Event::Arrives { arrival: i });
        }
        self.schedule(FAULT_AT, Event::FaultBegins);
        let mut at = REBALANCE_INTERVAL;
        while at < TRIAL_LENGTH {
            self.schedule(at, Event::RebalanceShares);
            at += REBALANCE_INTERVAL;
        }
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.epoch + self.now;
        match event {
            Event::RebalanceShares => self.fleet.rebalance_shares(now),
            Event::FaultBegins => self.begin_fault(),
            Event::Report { running, report } => self.report_progress(running, report),
            Event::Arrives { arrival } => {
                self.count_arrival(arrival);
                self.admit_or_queue(arrival);
            }
            Event::RetryQueue { gate, workspace } => self.serve_queue(gate, workspace),
        }
    }

    fn begin_fault(&mut self) {
        match self.trial.fault {
            Fault::None => {}
            Fault::GateLost => self.fleet.lost_gate = Some(FAULTY_GATE),
            Fault::ServiceDown => self.fleet.service_down = true,
            Fault::GateCutOff => self.fleet.cut_off_gate = Some(FAULTY_GATE),
        }
    }

    fn count_arrival(&mut self, index: usize) {
        let arrival = &self.arrivals[index];
        let bucket = &mut self.ideal_buckets[arrival.workspace];
        let inside = bucket.try_take(arrival, self.now);
        self.inside[index] = inside;
        if inside && self.now >= FAULT_AT {
            let tally = &mut self.tallies[arrival.workspace];
            tally.inside += 1;
            tally.inside_tokens += arrival.used();
        }
    }

    /// Starts, queues or refuses a request. It queues behind requests that already wait, and is
    /// refused if its tokens are not expected within the maximum wait.
    fn admit_or_queue(&mut self, index: usize) {
        let arrival = self.arrivals[index];
        let gate = self.fleet.serving_gate(arrival.gate);
        let workspace = arrival.workspace;
        let tokens_ahead: u64 = self.queues[gate][workspace]
            .iter()
            .map(|waiting| self.arrivals[*waiting].cost())
            .sum();
        let missing = if tokens_ahead > 0 {
            arrival.cost()
        } else {
            match self.charge(index, gate) {
                Ok(charge) => return self.start(index, charge),
                Err(missing) => missing,
            }
        };
        let delay = self.time_until_tokens(gate, workspace, tokens_ahead + missing);
        if self.now.saturating_add(delay) > arrival.at + self.trial.strategy.wait {
            return self.refuse(index);
        }
        self.queues[gate][workspace].push_back(index);
        if tokens_ahead == 0 {
            let now = self.epoch + self.now;
            self.fleet.set_waiting(gate, workspace, true, now);
            self.schedule_retry(gate, workspace, delay);
        }
    }

    /// Retries the waiting requests in order, until one still has to wait.
    fn serve_queue(&mut self, gate: usize, workspace: usize) {
        while let Some(index) = self.queues[gate][workspace].front().copied() {
            match self.charge(index, gate) {
                Ok(charge) => self.start(index, charge),
                Err(missing) => {
                    let delay = self.time_until_tokens(gate, workspace, missing);
                    let deadline = self.arrivals[index].at + self.trial.strategy.wait;
                    if self.now.saturating_add(delay) <= deadline {
                        return self.schedule_retry(gate, workspace, delay);
                    }
                    self.refuse(index);
                }
            }
            self.queues[gate][workspace].pop_front();
        }
        let now = self.epoch + self.now;
        self.fleet.set_waiting(gate, workspace, false, now);
    }

    fn schedule_retry(&mut self, gate: usize, workspace: usize, delay: Duration) {
        let at = self.now + delay.max(MIN_RETRY_DELAY);
        self.schedule(at, Event::RetryQueue { gate, workspace });
    }

    fn charge(&mut self, index: usize, gate: usize) -> Result<Charge, u64> {
        let arrival = self.arrivals[index];
        let now = self.epoch + self.now;
        self.fleet
            .charge(gate, arrival.workspace, arrival.cost(), now)
    }

    fn time_until_tokens(&self, gate: usize, workspace: usize, tokens: u64) -> Duration {
        let now = self.epoch + self.now;
        self.fleet.time_until_tokens(gate, workspace, tokens, now)
    }

    fn refuse(&mut self, index: usize) {
        let arrival = self.arrivals[index];
        if self.inside[index] && arrival.at >= FAULT_AT {
            let tally = &mut self.tallies[arrival.workspace];
            tally.refused += 1;
            tally.refused_tokens += arrival.used();
        }
    }

    fn start(&mut self, index: usize, charge: Charge) {
        let arrival = &self.arrivals[index];
        self.running.push(RunningRequest {
            arrival: index,
            charge,
        });
        let running = self.running.len() - 1;
        for report in 0..=PROGRESS_REPORTS {
            let at = self.now + arrival.run_time * report / PROGRESS_REPORTS;
            self.schedule(at, Event::Report { running, report });
        }
    }

    /// Counts the tokens used since the previous report. The simulation counts them all at the time
    /// of the report, although an engine would generate them one by one.
    fn report_progress(&mut self, running: usize, report: u32) {
        let RunningRequest { arrival, charge } = self.running[running];
        let arrival = self.arrivals[arrival];
        let used =
            arrival.prompt + arrival.output * u64::from(report) / u64::from(PROGRESS_REPORTS);
        let reported = match report {
            0 => 0,
            _ => {
                arrival.prompt
                    + arrival.output * u64::from(report - 1) / u64::from(PROGRESS_REPORTS)
            }
        };
        self.token_uses[arrival.workspace].push((self.now, used - reported));
        let now = self.epoch + self.now;
        if report == PROGRESS_REPORTS {
            self.fleet.settle(charge, used, now);
            if self.now >= FAULT_AT {
                self.tallies[arrival.workspace].used += used;
            }
        } else {
            self.fleet.progress(charge, used, now);
        }
    }

    /// Replays the token use of each workspace through a leaky bucket that drains at its rate, and
    /// records by how much the level exceeded the burst. The unit is 1e-9 tokens.
    fn compute_excess(&mut self) {
        for (workspace, token_uses) in self.token_uses.iter().enumerate() {
            let rate_limit = workload::rate_limit(workspace);
            let burst = u128::from(rate_limit.burst) * 1_000_000_000;
            let (mut level, mut max_overflow, mut previous_at) = (0_u128, 0_u128, Duration::ZERO);
            for (at, tokens) in token_uses {
                let drained =
                    at.saturating_sub(previous_at).as_nanos() * u128::from(rate_limit.rate);
                level = level.saturating_sub(drained) + u128::from(*tokens) * 1_000_000_000;
                max_overflow = max_overflow.max(level.saturating_sub(burst));
                previous_at = *at;
            }
            let excess = max_overflow.div_ceil(1_000_000_000);
            self.tallies[workspace].excess = u64::try_from(excess).unwrap_or(u64::MAX);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }
}

impl IdealBucket {
    #[allow(clippy::cast_precision_loss)]
    fn full(workspace: usize) -> Self {
        Self {
            level: workload::rate_limit(workspace).burst as f64,
            at: Duration::ZERO,
        }
    }

    /// Takes the tokens that the request will use; returns whether the bucket held enough.
    #[allow(clippy::cast_precision_loss)]
    fn try_take(&mut self, arrival: &Arrival, now: Duration) -> bool {
        let rate_limit = workload::rate_limit(arrival.workspace);
        let refill = now.saturating_sub(self.at).as_secs_f64() * rate_limit.rate as f64;
        self.level = (self.level + refill).min(rate_limit.burst as f64);
        self.at = now;
        let used = arrival.used() as f64;
        let inside = self.level >= used;
        if inside {
            self.level -= used;
        }
        inside
    }
}
