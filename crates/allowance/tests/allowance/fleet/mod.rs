//! A few gates with the real ledger and keeper, clocks that drift, and a record of all tokens
//! that upstreams used.

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

use self::kv_service::{Fate, Service};

/// Gates that the platform lists.
pub const GATES: usize = 3;
pub const TERMS: RateLimit = RateLimit {
    rate: 5_000,
    burst: 5_000,
};
pub const TIMING: Timing = Timing {
    contact: Duration::from_millis(50),
    lapse: Duration::from_secs(2),
    hold: Duration::from_millis(500),
};
/// Longest time in which an upstream uses the tokens of a request.
const LIFE_MS: u64 = 400;
const WORKSPACE: &str = "w";

/// A gate process.
pub struct Process {
    number: u64,
    ledger: Ledger,
    keeper: ShareManager,
    workspace: WorkspaceKey,
    call: Option<Call>,
    outcome: Option<Outcome>,
}

/// A gate's instance. Its clock goes on while its process is away.
pub struct Gate {
    addr: SocketAddr,
    drift_ppm: i64,
    pub process: Option<Process>,
    pub frozen: bool,
    pub cut: bool,
}

struct Waiting {
    gate: usize,
    process: u64,
    hold: ReservationKey,
    cost: u64,
}

struct Running {
    gate: usize,
    process: u64,
    charge: ChargeKey,
    at: u64,
    /// Tokens that the upstream will use.
    to_use: u64,
    used: u64,
}

enum Mail {
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

/// The fleet.
pub struct Fleet {
    base: Instant,
    /// Periods of processes that are started from now on.
    pub timing: Timing,
    /// True time in nanoseconds.
    now: u64,
    pub gates: Vec<Gate>,
    pub service: Service,
    processes: u64,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    mail: Vec<Mail>,
    /// Tokens by the time they were generated.
    pub generated: Vec<(u64, u64)>,
    /// Tokens by the time their request was sent.
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
            service: Service::default(),
            processes: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            mail: Vec::new(),
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
                cut: false,
            });
        }
        for i in 0..started {
            fleet.start_process(i);
        }
        fleet.keep_all(10);
        fleet
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += ms * 1_000_000;
        self.end_old_requests();
    }

    /// Lets time pass while the gates that can keep their shares.
    pub fn pass(&mut self, ms: u64) {
        for _ in 0..8 {
            self.advance(ms / 8);
            self.keep_all(3);
        }
    }

    pub fn start_process(&mut self, i: usize) {
        if self.gates[i].process.is_some() {
            return;
        }
        self.processes += 1;
        let number = self.processes;
        let now = self.clock(i);
        let mut ledger = Ledger::new(number << 32);
        ledger.configure([(WORKSPACE, TERMS)], now);
        let workspace = ledger.workspace(WORKSPACE).expect("configured");
        let keeper = ShareManager::new(
            self.gates[i].addr,
            format!("gate-{i}"),
            format!("p{number}"),
            self.timing,
            now,
        );
        self.gates[i].process = Some(Process {
            number,
            ledger,
            keeper,
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
                dispatched.push((run.at, run.used));
            }
            alive
        });
    }

    pub fn leave(&mut self, i: usize) {
        if let Some(process) = self.active(i) {
            process.keeper.leave();
        }
    }

    /// One step of a keeper: name a call, make it, or take its outcome. A call that a frozen
    /// process has made already is on its way.
    pub fn keep(&mut self, i: usize, fate: Fate) {
        let now = self.clock(i);
        let gate = &mut self.gates[i];
        let fate = if gate.cut { Fate::Lost } else { fate };
        let Some(process) = gate.process.as_mut() else {
            return;
        };
        if let Some(call) = process.call.take() {
            process.outcome = Some(self.service.call(&call, fate));
            return;
        }
        if gate.frozen {
            return;
        }
        if let Some(outcome) = process.outcome.take() {
            let ledger = &mut process.ledger;
            process.keeper.handle_outcome(ledger, outcome, now);
        } else {
            let ledger = &mut process.ledger;
            let call = process.keeper.next_call(ledger, Some(GATES), now);
            if call == Call::Done {
                self.kill(i);
                return;
            }
            process.call = Some(call);
        }
    }

    /// Lets a keeper go on until it is about to write the record of shares.
    pub fn keep_until_write(&mut self, i: usize) {
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
            self.keep(i, Fate::Answered);
        }
        panic!("gate {i} does not change its share");
    }

    /// Part of every allowance that a gate has in use.
    pub fn weight(&self, i: usize) -> u32 {
        let process = self.gates[i].process.as_ref();
        process.map_or(0, |process| process.ledger.weight())
    }

    pub fn keep_all(&mut self, calls: usize) {
        for _ in 0..3 * calls {
            for i in 0..GATES {
                self.keep(i, Fate::Answered);
            }
        }
    }

    /// Spends all free tokens of a gate at once.
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

    /// Reserves a part of the free tokens.
    pub fn reserve(&mut self, i: usize, percent: u64) -> Option<usize> {
        let now = self.clock(i);
        let process = self.active(i)?;
        process.ledger.refresh(now);
        let cost = process.ledger.available(process.workspace) * percent / 100;
        let hold = process.ledger.reserve(process.workspace, cost, now).ok()?;
        let waiting = Waiting {
            gate: i,
            process: process.number,
            hold,
            cost,
        };
        self.waiting.push(waiting);
        Some(self.waiting.len() - 1)
    }

    /// Sends a request that waits; it will use a part of its cost.
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
        if let Ok(charge) = process.ledger.charge(wait.hold, now) {
            self.running.push(Running {
                gate,
                process: wait.process,
                charge,
                at,
                to_use: wait.cost * use_percent / 100,
                used: 0,
            });
        }
    }

    /// Lets an upstream use a part of what is left of a request.
    pub fn generate(&mut self, run: usize, percent: u64) {
        let at = self.now;
        let now = self.clock(self.running[run].gate);
        let run = &mut self.running[run];
        let tokens = ((run.to_use - run.used) * percent).div_ceil(100);
        run.used += tokens;
        self.generated.push((at, tokens));
        let (gate, charge, used, number) = (run.gate, run.charge, run.used, run.process);
        if let Some(process) = self.active(gate).filter(|p| p.number == number) {
            process.ledger.progress(charge, used, now);
        }
    }

    /// Ends a request.
    pub fn finish(&mut self, run: usize) {
        let run = self.running.swap_remove(run);
        self.dispatched.push((run.at, run.used));
        let now = self.clock(run.gate);
        // A frozen process settles when it is resumed, which is late: here it keeps the charge.
        if let Some(process) = self.active(run.gate).filter(|p| p.number == run.process) {
            process.ledger.settle(run.charge, run.used, now);
        }
    }

    pub fn lend(&mut self, from: usize, to: usize, percent: u64) {
        let (lent_at, asked) = (self.clock(from), self.clock(to));
        let hold = self.timing.hold;
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
        let grant = process.ledger.lend(workspace, wanted, TIMING.hold, lent_at);
        self.mail.push(Mail::Grant {
            to,
            process: number,
            loan: BorrowedLoan {
                lender,
                loan: grant.loan,
                granted: grant.granted,
                expires: asked + hold,
            },
        });
    }

    pub fn end_loans(&mut self, i: usize) {
        let now = self.clock(i);
        let Some(process) = self.active(i) else {
            return;
        };
        for end in process.ledger.end_loans(now) {
            self.mail.push(Mail::Return {
                to: end.lender,
                loan: end.loan,
                unused: end.unused,
            });
        }
    }

    /// Delivers a message, perhaps twice, or loses it.
    pub fn deliver(&mut self, mail: usize, times: usize) {
        let mail = self.mail.swap_remove(mail);
        for _ in 0..times {
            match mail {
                Mail::Grant { to, process, loan } => {
                    let now = self.clock(to);
                    // An answer is taken once; a link never repeats it.
                    if let Some(process) = self.active(to).filter(|p| p.number == process) {
                        process.ledger.borrow(process.workspace, loan, now);
                    }
                    return;
                }
                Mail::Return { to, loan, unused } => {
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

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn mail(&self) -> usize {
        self.mail.len()
    }

    /// The most by which any interval was exceeded, in tokens, under both ways to date them.
    pub fn excess(&mut self) -> u64 {
        let open = self.running.iter().map(|run| (run.at, run.used));
        let dispatched: Vec<_> = self.dispatched.iter().copied().chain(open).collect();
        let by_dispatch = interval_excess::excess(&dispatched, TERMS);
        by_dispatch.max(interval_excess::excess(&self.generated, TERMS))
    }

    fn end_old_requests(&mut self) {
        let oldest = self.now.saturating_sub(LIFE_MS * 1_000_000);
        while let Some(run) = self.running.iter().position(|run| run.at < oldest) {
            self.finish(run);
        }
    }

    /// Time by the clock of a gate.
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
