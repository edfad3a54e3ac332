//! One trial: arrivals, running requests and faults in the order of time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use super::{
    FAULT_AT, Fault, GATES, LENGTH,
    fleet::{Charge, Fleet, MOVE_PERIOD, Way},
    workload::{self, Arrival, WORKSPACES},
};

/// Shortest pause before a waiting request tries again.
const MIN_WAIT: Duration = Duration::from_millis(5);
/// Reports of use while a request runs.
const REPORTS: u32 = 20;
/// The gate that is lost or cut off.
const FAULTY: usize = 2;

/// A way under a fault.
#[derive(Clone, Copy)]
pub struct Trial {
    pub way: Way,
    pub fault: Fault,
}

/// What was counted for one workspace, from the beginning of the fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests inside the rate.
    pub inside: u64,
    /// Those of them that were refused.
    pub refused: u64,
    /// Tokens inside the rate.
    pub inside_tokens: u64,
    /// Tokens of the refused requests inside the rate.
    pub refused_tokens: u64,
    /// Tokens that were used.
    pub used: u64,
    /// Tokens over the burst in the worst interval; zero when the bound was kept.
    pub excess: u64,
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    MoveShares,
    FaultBegins,
    Report { run: usize, report: u32 },
    Arrives { arrival: usize },
    TriesAgain { gate: usize, workspace: usize },
}

struct Running {
    arrival: usize,
    charge: Charge,
}

struct Simulation<'a> {
    trial: Trial,
    arrivals: &'a [Arrival],
    base: Instant,
    now: Duration,
    fleet: Fleet,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    running: Vec<Running>,
    /// Requests that wait, in their order, by gate and workspace.
    queues: [[VecDeque<usize>; WORKSPACES]; GATES],
    ideal: [Ideal; WORKSPACES],
    inside: Vec<bool>,
    tallies: [Tally; WORKSPACES],
    receipts: [Vec<(Duration, u64)>; WORKSPACES],
}

/// One bucket that knows what requests will use.
#[derive(Clone, Copy)]
struct Ideal {
    level: f64,
    at: Duration,
}

/// Runs a trial.
pub fn run(trial: Trial, arrivals: &[Arrival]) -> [Tally; WORKSPACES] {
    let base = Instant::now();
    let mut simulation = Simulation {
        trial,
        arrivals,
        base,
        now: Duration::ZERO,
        fleet: Fleet::new(trial.way, base),
        events: BinaryHeap::new(),
        running: Vec::new(),
        queues: std::array::from_fn(|_| std::array::from_fn(|_| VecDeque::new())),
        ideal: std::array::from_fn(Ideal::full),
        inside: vec![false; arrivals.len()],
        tallies: [Tally::default(); WORKSPACES],
        receipts: std::array::from_fn(|_| Vec::new()),
    };
    simulation.run();
    simulation.judge();
    simulation.tallies
}

impl Simulation<'_> {
    fn run(&mut self) {
        for (i, arrival) in self.arrivals.iter().enumerate() {
            self.at(arrival.at, Event::Arrives { arrival: i });
        }
        self.at(FAULT_AT, Event::FaultBegins);
        let mut at = MOVE_PERIOD;
        while at < LENGTH {
            self.at(at, Event::MoveShares);
            at += MOVE_PERIOD;
        }
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.base + self.now;
        match event {
            Event::MoveShares => self.fleet.move_shares(now),
            Event::FaultBegins => self.begin_fault(),
            Event::Report { run, report } => self.report(run, report),
            Event::Arrives { arrival } => {
                self.note_arrival(arrival);
                self.admit(arrival);
            }
            Event::TriesAgain { gate, workspace } => self.serve_queue(gate, workspace),
        }
    }

    fn begin_fault(&mut self) {
        match self.trial.fault {
            Fault::None => {}
            Fault::GateLost => self.fleet.lost = Some(FAULTY),
            Fault::ServiceDown => self.fleet.service_down = true,
            Fault::GateCutOff => self.fleet.cut_off = Some(FAULTY),
        }
    }

    fn note_arrival(&mut self, index: usize) {
        let arrival = &self.arrivals[index];
        let ideal = &mut self.ideal[arrival.workspace];
        let inside = ideal.take(arrival, self.now);
        self.inside[index] = inside;
        if inside && self.now >= FAULT_AT {
            let tally = &mut self.tallies[arrival.workspace];
            tally.inside += 1;
            tally.inside_tokens += arrival.used();
        }
    }

    /// A request that finds others waiting lines up behind them.
    fn admit(&mut self, index: usize) {
        let arrival = self.arrivals[index];
        let gate = self.fleet.gate(arrival.gate);
        let workspace = arrival.workspace;
        let ahead: u64 = self.queues[gate][workspace]
            .iter()
            .map(|waiting| self.arrivals[*waiting].cost())
            .sum();
        let missing = if ahead > 0 {
            arrival.cost()
        } else {
            match self.charge(index, gate) {
                Ok(charge) => return self.start(index, charge),
                Err(missing) => missing,
            }
        };
        let after = self.tokens_after(gate, workspace, ahead + missing);
        if self.now.saturating_add(after) > arrival.at + self.trial.way.wait {
            return self.refuse(index);
        }
        self.queues[gate][workspace].push_back(index);
        if ahead == 0 {
            let now = self.base + self.now;
            self.fleet.set_waiting(gate, workspace, true, now);
            self.try_again(gate, workspace, after);
        }
    }

    /// Lets the requests that wait try in their order, until one still has to wait.
    fn serve_queue(&mut self, gate: usize, workspace: usize) {
        while let Some(index) = self.queues[gate][workspace].front().copied() {
            match self.charge(index, gate) {
                Ok(charge) => self.start(index, charge),
                Err(missing) => {
                    let after = self.tokens_after(gate, workspace, missing);
                    let give_up = self.arrivals[index].at + self.trial.way.wait;
                    if self.now.saturating_add(after) <= give_up {
                        return self.try_again(gate, workspace, after);
                    }
                    self.refuse(index);
                }
            }
            self.queues[gate][workspace].pop_front();
        }
        let now = self.base + self.now;
        self.fleet.set_waiting(gate, workspace, false, now);
    }

    fn try_again(&mut self, gate: usize, workspace: usize, after: Duration) {
        let at = self.now + after.max(MIN_WAIT);
        self.at(at, Event::TriesAgain { gate, workspace });
    }

    fn charge(&mut self, index: usize, gate: usize) -> Result<Charge, u64> {
        let arrival = self.arrivals[index];
        let now = self.base + self.now;
        self.fleet
            .charge(gate, arrival.workspace, arrival.cost(), now)
    }

    fn tokens_after(&self, gate: usize, workspace: usize, tokens: u64) -> Duration {
        let now = self.base + self.now;
        self.fleet.tokens_after(gate, workspace, tokens, now)
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
        self.running.push(Running {
            arrival: index,
            charge,
        });
        let run = self.running.len() - 1;
        for report in 0..=REPORTS {
            let at = self.now + arrival.runs * report / REPORTS;
            self.at(at, Event::Report { run, report });
        }
    }

    /// Tokens are generated between the reports; here all of an interval at its end.
    fn report(&mut self, run: usize, report: u32) {
        let Running { arrival, charge } = self.running[run];
        let arrival = self.arrivals[arrival];
        let used = arrival.prompt + arrival.output * u64::from(report) / u64::from(REPORTS);
        let before = match report {
            0 => 0,
            _ => arrival.prompt + arrival.output * u64::from(report - 1) / u64::from(REPORTS),
        };
        self.receipts[arrival.workspace].push((self.now, used - before));
        let now = self.base + self.now;
        if report == REPORTS {
            self.fleet.settle(charge, used, now);
            if self.now >= FAULT_AT {
                self.tallies[arrival.workspace].used += used;
            }
        } else {
            self.fleet.progress(charge, used, now);
        }
    }

    fn judge(&mut self) {
        for (workspace, receipts) in self.receipts.iter().enumerate() {
            let terms = workload::terms(workspace);
            let burst = u128::from(terms.burst) * 1_000_000_000;
            let (mut filled, mut worst, mut before) = (0_u128, 0_u128, Duration::ZERO);
            for (at, tokens) in receipts {
                let drained = at.saturating_sub(before).as_nanos() * u128::from(terms.rate);
                filled = filled.saturating_sub(drained) + u128::from(*tokens) * 1_000_000_000;
                worst = worst.max(filled.saturating_sub(burst));
                before = *at;
            }
            let excess = worst.div_ceil(1_000_000_000);
            self.tallies[workspace].excess = u64::try_from(excess).unwrap_or(u64::MAX);
        }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }
}

impl Ideal {
    #[allow(clippy::cast_precision_loss)]
    fn full(workspace: usize) -> Self {
        Self {
            level: workload::terms(workspace).burst as f64,
            at: Duration::ZERO,
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn take(&mut self, arrival: &Arrival, now: Duration) -> bool {
        let terms = workload::terms(arrival.workspace);
        let refill = now.saturating_sub(self.at).as_secs_f64() * terms.rate as f64;
        self.level = (self.level + refill).min(terms.burst as f64);
        self.at = now;
        let used = arrival.used() as f64;
        let inside = self.level >= used;
        if inside {
            self.level -= used;
        }
        inside
    }
}
