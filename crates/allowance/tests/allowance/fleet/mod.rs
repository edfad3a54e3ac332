//! A simulated fleet of gates with the real ledger and share manager and with drifting clocks. It
//! records all tokens that upstreams use.

pub mod interval_excess;
pub mod kv_service;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyweir_allowance::{
    RateLimit,
    ledger::{BorrowedLoan, ChargeKey, Ledger, ReservationKey, WorkspaceKey},
    share_manager::{Call, Key, Outcome, ShareManager, Timing},
};

use self::kv_service::{CallDelivery, KvService};

/// Number of gates that the platform lists.
pub const GATES: usize = 3;
pub const RATE_LIMIT: RateLimit = RateLimit {
    rate: 5_000,
    burst: 5_000,
};
pub const TIMING: Timing = Timing {
    contact_interval: Duration::from_millis(50),
    lease_duration: Duration::from_secs(2),
    max_token_hold: Duration::from_millis(500),
};
/// Longest time for which a request runs on an upstream.
const MAX_REQUEST_MS: u64 = 400;
const WORKSPACE: &str = "w";

/// A running gate process; a restart of the gate makes a new one.
pub struct Process {
    number: u64,
    ledger: Ledger,
    share_manager: ShareManager,
    workspace: WorkspaceKey,
    call: Option<Call>,
    outcome: Option<Outcome>,
}

/// The instance of a gate. Its clock keeps running while it has no process.
pub struct Gate {
    addr: SocketAddr,
    drift_ppm: i64,
    pub process: Option<Process>,
    /// The process is suspended; its calls already sent still take effect.
    pub frozen: bool,
    /// Calls to the key-value service are lost.
    pub disconnected: bool,
}

struct WaitingRequest {
    gate: usize,
    process: u64,
    reservation: ReservationKey,
    cost: u64,
}

struct RunningRequest {
    gate: usize,
    process: u64,
    charge: ChargeKey,
    dispatched_at: u64,
    /// Tokens that the upstream will use.
    to_use: u64,
    used: u64,
}

enum Message {
    Grant {
        to: usize,
        process: u64,
        loan: BorrowedLoan,
    },
    Return {
        to: SocketAddr,
        loan: u64,
        unused: u64,
    },
}

pub struct Fleet {
    base: Instant,
    /// Timing of the processes that are started from now on.
    pub timing: Timing,
    /// True time in nanoseconds.
    now: u64,
    pub gates: Vec<Gate>,
    pub service: KvService,
    started_processes: u64,
    waiting: Vec<WaitingRequest>,
    running: Vec<RunningRequest>,
    messages: Vec<Message>,
    /// Time in nanoseconds at which tokens were generated, and their number.
    pub generated: Vec<(u64, u64)>,
    /// Time in nanoseconds at which an ended request had been sent, and the tokens it used.
    pub dispatched: Vec<(u64, u64)>,
}

impl Fleet {
    /// A fleet whose first `started` gates have joined.
    pub fn start(drifts_ppm: [i64; GATES], started: usize, timing: Timing) -> Self {
        let mut fleet = Self {
            base: Instant::now(),
            timing,
            now: 0,
            gates: Vec::new(),
            service: KvService::default(),
            started_processes: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            messages: Vec::new(),
            generated: Vec::new(),
            dispatched: Vec::new(),
        };
        for (i, drift_ppm) in drifts_ppm.into_iter().enumerate() {
            let port = 7_000 + u16::try_from(i).expect("few gates");
            fleet.gates.push(Gate {
                addr: SocketAddr::from(([127, 0, 0, 1], port)),
                drift_ppm,
                process: None,
                frozen: false,
                disconnected: false,
            });
        }
        for i in 0..started {
            fleet.start_process(i);
        }
        fleet.step_all_managers(10);
        fleet
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += ms * 1_000_000;
        self.end_old_requests();
    }

    /// Advances the time in eight steps. After each, the share managers make calls, so that gates
    /// that can reach the service renew their shares.
    pub fn advance_with_calls(&mut self, ms: u64) {
        for _ in 0..8 {
            self.advance(ms / 8);
            self.step_all_managers(3);
        }
    }

    pub fn start_process(&mut self, i: usize) {
        if self.gates[i].process.is_some() {
            return;
        }
        self.started_processes += 1;
        let number = self.started_processes;
        let now = self.clock(i);
        let mut ledger = Ledger::new(number << 32);
        ledger.configure([(WORKSPACE, RATE_LIMIT)], now);
        let workspace = ledger.workspace(WORKSPACE).expect("configured");
        let share_manager = ShareManager::new(
            self.gates[i].addr,
            format!("gate-{i}"),
            format!("p{number}"),
            self.timing,
            now,
        );
        self.gates[i].process = Some(Process {
            number,
            ledger,
            share_manager,
            workspace,
            call: None,
            outcome: None,
        });
    }

    pub fn kill(&mut self, i: usize) {
        self.gates[i].process = None;
        self.gates[i].frozen = false;
        // The upstreams notice the closed connections.
        let gates = &self.gates;
        let dispatched = &mut self.dispatched;
        self.running.retain(|run| {
            let alive = gates[run.gate].process.is_some();
            if !alive {
                dispatched.push((run.dispatched_at, run.used));
            }
            alive
        });
    }

    pub fn leave(&mut self, i: usize) {
        if let Some(process) = self.active(i) {
            process.share_manager.leave();
        }
    }

    /// Runs one step of a share manager: chooses a call, makes it, or handles its outcome. A call
    /// that was chosen before its process froze is still made.
    pub fn step_manager(&mut self, i: usize, delivery: CallDelivery) {
        let now = self.clock(i);
        let gate = &mut self.gates[i];
        let delivery = if gate.disconnected {
            CallDelivery::RequestLost
        } else {
            delivery
        };
        let Some(process) = gate.process.as_mut() else {
            return;
        };
        if let Some(call) = process.call.take() {
            process.outcome = Some(self.service.call(&call, delivery));
            return;
        }
        if gate.frozen {
            return;
        }
        if let Some(outcome) = process.outcome.take() {
            let ledger = &mut process.ledger;
            process.share_manager.handle_outcome(ledger, outcome, now);
        } else {
            let ledger = &mut process.ledger;
            let call = process.share_manager.next_call(ledger, Some(GATES), now);
            if call == Call::Done {
                self.kill(i);
                return;
            }
            process.call = Some(call);
        }
    }

    /// Steps a share manager until its next call writes the share table.
    pub fn step_until_share_write(&mut self, i: usize) {
        for _ in 0..100 {
            let process = self.gates[i].process.as_ref().expect("process runs");
            if matches!(
                &process.call,
                Some(Call::Swap {
                    key: Key::Shares,
                    ..
                })
            ) {
                return;
            }
            self.step_manager(i, CallDelivery::Answered);
        }
        panic!("gate {i} did not write the share table within 100 steps");
    }

    /// Share of every allowance that a gate may use, in millionths.
    pub fn weight(&self, i: usize) -> u32 {
        let process = self.gates[i].process.as_ref();
        process.map_or(0, |process| process.ledger.weight())
    }

    /// Lets the share manager of every gate make up to `calls` calls, of three steps each.
    pub fn step_all_managers(&mut self, calls: usize) {
        for _ in 0..3 * calls {
            for i in 0..GATES {
                self.step_manager(i, CallDelivery::Answered);
            }
        }
    }

    /// Reserves and uses all available tokens of a gate at once.
    pub fn burst(&mut self, i: usize) {
        if let Some(wait) = self.reserve(i, 100) {
            self.dispatch(wait, 100);
            let last = self.running.len().checked_sub(1);
            if let Some(last) = last.filter(|last| self.running[*last].used == 0) {
                self.generate(last, 100);
                self.finish(last);
            }
        }
    }

    pub fn burst_all(&mut self) {
        for i in 0..GATES {
            self.burst(i);
        }
    }

    /// Reserves `percent` of the available tokens and returns the index of the waiting request.
    pub fn reserve(&mut self, i: usize, percent: u64) -> Option<usize> {
        let now = self.clock(i);
        let process = self.active(i)?;
        process.ledger.refresh(now);
        let cost = process.ledger.available(process.workspace) * percent / 100;
        let reservation = process.ledger.reserve(process.workspace, cost, now).ok()?;
        let waiting = WaitingRequest {
            gate: i,
            process: process.number,
            reservation,
            cost,
        };
        self.waiting.push(waiting);
        Some(self.waiting.len() - 1)
    }

    /// Sends a waiting request, which will use `use_percent` of its cost.
    pub fn dispatch(&mut self, wait: usize, use_percent: u64) {
        let gate = self.waiting[wait].gate;
        if self.gates[gate].frozen {
            return;
        }
        let wait = self.waiting.swap_remove(wait);
        let now = self.clock(gate);
        let at = self.now;
        let Some(process) = self.active(gate).filter(|p| p.number == wait.process) else {
            return;
        };
        if let Ok(charge) = process.ledger.charge(wait.reservation, now) {
            self.running.push(RunningRequest {
                gate,
                process: wait.process,
                charge,
                dispatched_at: at,
                to_use: wait.cost * use_percent / 100,
                used: 0,
            });
        }
    }

    /// Lets an upstream use `percent` of the tokens that a running request has still to use.
    pub fn generate(&mut self, run: usize, percent: u64) {
        let at = self.now;
        let now = self.clock(self.running[run].gate);
        let run = &mut self.running[run];
        let tokens = ((run.to_use - run.used) * percent).div_ceil(100);
        run.used += tokens;
        self.generated.push((at, tokens));
        let (gate, charge, used, number) = (run.gate, run.charge, run.used, run.process);
        if let Some(process) = self.active(gate).filter(|p| p.number == number) {
            process.ledger.record_usage(charge, used, now);
        }
    }

    /// Ends a running request and settles its charge.
    pub fn finish(&mut self, run: usize) {
        let run = self.running.swap_remove(run);
        self.dispatched.push((run.dispatched_at, run.used));
        let now = self.clock(run.gate);
        // A frozen process would settle only when it resumes; here it keeps the charge.
        if let Some(process) = self.active(run.gate).filter(|p| p.number == run.process) {
            process.ledger.settle(run.charge, run.used, now);
        }
    }

    pub fn lend(&mut self, from: usize, to: usize, percent: u64) {
        let (lent_at, asked_at) = (self.clock(from), self.clock(to));
        let loan_time = self.timing.max_token_hold;
        if from == to || self.active(to).is_none() {
            return;
        }
        let number = self.active(to).map_or(0, |process| process.number);
        let lender = self.gates[from].addr;
        let Some(process) = self.active(from) else {
            return;
        };
        process.ledger.refresh(lent_at);
        let workspace = process.workspace;
        let wanted = process.ledger.available(workspace) * percent / 100;
        let grant = process
            .ledger
            .lend(workspace, wanted, TIMING.max_token_hold, lent_at);
        self.messages.push(Message::Grant {
            to,
            process: number,
            loan: BorrowedLoan {
                lender,
                loan: grant.loan,
                granted: grant.granted,
                expires: asked_at + loan_time,
            },
        });
    }

    pub fn end_loans(&mut self, i: usize) {
        let now = self.clock(i);
        let Some(process) = self.active(i) else {
            return;
        };
        for end in process.ledger.end_loans(now) {
            self.messages.push(Message::Return {
                to: end.lender,
                loan: end.loan,
                unused: end.unused,
            });
        }
    }

    /// Delivers a message `times` times: 0 loses it. A grant is delivered at most once.
    pub fn deliver_message(&mut self, message: usize, times: usize) {
        let message = self.messages.swap_remove(message);
        for _ in 0..times {
            match message {
                Message::Grant { to, process, loan } => {
                    let now = self.clock(to);
                    // A connection never repeats an answer.
                    if let Some(process) = self.active(to).filter(|p| p.number == process) {
                        process.ledger.borrow(process.workspace, loan, now);
                    }
                    return;
                }
                Message::Return { to, loan, unused } => {
                    let to = self.gates.iter().position(|gate| gate.addr == to);
                    let to = to.expect("addresses stay");
                    let now = self.clock(to);
                    if let Some(process) = self.active(to) {
                        process.ledger.take_back(loan, unused, now);
                    }
                }
            }
        }
    }

    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    pub fn message_count(&self) -> usize {
        self.messages.len()
    }

    /// The largest excess of any interval, in tokens, whether tokens count when they are generated
    /// or when their request was sent.
    pub fn excess(&mut self) -> u64 {
        let open = self.running.iter().map(|run| (run.dispatched_at, run.used));
        let dispatched: Vec<_> = self.dispatched.iter().copied().chain(open).collect();
        let by_dispatch = interval_excess::excess(&dispatched, RATE_LIMIT);
        by_dispatch.max(interval_excess::excess(&self.generated, RATE_LIMIT))
    }

    fn end_old_requests(&mut self) {
        let oldest = self.now.saturating_sub(MAX_REQUEST_MS * 1_000_000);
        while let Some(run) = self
            .running
            .iter()
            .position(|run| run.dispatched_at < oldest)
        {
            self.finish(run);
        }
    }

    /// Local time of a gate, with its drift.
    fn clock(&self, i: usize) -> Instant {
        let now = i64::try_from(self.now).expect("short runs");
        let drift = now / 1_000_000 * self.gates[i].drift_ppm;
        let local = u64::try_from(now + drift).expect("clocks run forward");
        self.base + Duration::from_nanos(local)
    }

    fn active(&mut self, i: usize) -> Option<&mut Process> {
        let gate = &mut self.gates[i];
        gate.process.as_mut().filter(|_| !gate.frozen)
    }
}
