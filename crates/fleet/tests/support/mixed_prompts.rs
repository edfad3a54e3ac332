//! A model of engines that read long and short prompts between the tokens of their streams, and of
//! many instances that choose engines by loads that are some 200 ms old.
//!
//! A step of an engine generates one token for each stream. A chunk of a prompt that is read in a step
//! makes the step longer for all of them.
//!
//! The figures of the model are set so that the decisions before those for mixed prompts give what was
//! measured on a day without disturbances: a pause over 500 ms for 17% of the short streams (13% to 21%
//! here), longest pauses of 685 ms at p90 (600 to 770) and of 1,483 ms at p99 (1,020 to 1,520).

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    intake::{IntakeLimit, Urgency, WaitingLines},
    load::{Load, LoadTracker, Loads, of_upstream},
    prefix_cache::PrefixCaches,
    request::{Artifact, PromptPart},
    upstream_choice::{Candidate, choose, home_upstreams, with_pauses},
};

/// Number of engines.
pub const ENGINES: usize = 140;
/// Number of instances.
const INSTANCES: usize = 80;
/// Time between two reports of an instance, in µs.
const REPORT_PERIOD: u64 = 200_000;
/// Time after which an instance checks a waiting request again, in µs.
const RECHECK_PERIOD: u64 = 100_000;
/// Engines of the model that a third of the requests are for.
const BUSIEST_ENGINES: usize = 20;
/// Requests that an engine runs at a time.
const SLOTS: u32 = 64;
/// Prompt tokens that an engine reads in one step at most.
const CHUNK_TOKENS: u64 = 8_192;
/// Prompt tokens that an engine of speed 1 reads in a ms.
const TOKENS_PER_MS: f64 = 44.0;
/// Duration of a step of an engine of speed 1, and the addition for each running request, in ms.
const STEP_MS: (f64, f64) = (3.4, 0.02);
/// Tokens in an event of a stream.
const EVENT_TOKENS: u32 = 8;
/// KV memory of an engine in tokens.
const KV_TOKENS: u64 = 120_000;
/// Shared prompt parts that an engine has cached at most.
const CACHED_PREFIXES: usize = 12;
/// Tokens of the shared part of a long prompt.
const SHARED_TOKENS: u32 = 6_300;
/// Prompts that share parts, for each model.
const SUBJECTS: u64 = 36;
/// Longest pause on time.
pub const PAUSE_GOAL: Duration = Duration::from_millis(500);
/// Time that an instance leaves a request waiting, in µs.
const GIVE_UP: u64 = 6_000_000;

/// What the requests of a run experienced.
#[derive(Debug, Default)]
pub struct Figures {
    /// Short streams that ended, and those with a pause over [`PAUSE_GOAL`].
    pub short: (u32, u32),
    /// Long requests, and those whose first event came after their goal or not at all.
    pub long: (u32, u32),
    /// Short requests whose first event came after their goal.
    pub short_late: u32,
    /// Requests sent to each engine.
    pub sent: Vec<u32>,
    /// Requests sent to the engine with the most requests, relative to the mean of all engines.
    pub busiest: f64,
    /// The same among the engines of the busiest model.
    pub busiest_of_model: f64,
    /// Longest pauses of short streams in ms, sorted.
    pub pauses: Vec<f64>,
    /// Times to the first event of short and of long requests in ms, sorted.
    pub first: [Vec<f64>; 2],
}

impl Figures {
    /// Fraction of short streams with a pause over the goal.
    pub fn paused(&self) -> f64 {
        f64::from(self.short.1) / f64::from(self.short.0)
    }

    /// Fraction of long requests that were late.
    pub fn late(&self) -> f64 {
        f64::from(self.long.1) / f64::from(self.long.0)
    }

    /// One line for a log.
    pub fn summary(&self) -> String {
        let at = |v: &[f64], p: usize| v.get(v.len() * p / 100).copied().unwrap_or(f64::NAN);
        format!(
            "short {} paused {:.3} late {}; long {} late {:.3}; busiest {:.2}, of model {:.2}; pause p50 {:.0} p90 {:.0} \
             p99 {:.0}; first short p50 {:.0} p90 {:.0}, long p50 {:.0} p90 {:.0} p99 {:.0}",
            self.short.0,
            self.paused(),
            self.short_late,
            self.long.0,
            self.late(),
            self.busiest,
            self.busiest_of_model,
            at(&self.pauses, 50),
            at(&self.pauses, 90),
            at(&self.pauses, 99),
            at(&self.first[0], 50),
            at(&self.first[0], 90),
            at(&self.first[1], 50),
            at(&self.first[1], 90),
            at(&self.first[1], 99),
        )
    }
}

/// A pseudo-random number generator (`SplitMix64`), so that a run depends only on its seed.
pub struct Rng(pub u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    #[allow(clippy::cast_precision_loss)]
    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, n: usize) -> usize {
        usize::try_from(self.next() % n as u64).unwrap()
    }
}

struct Request {
    instance: usize,
    model: usize,
    is_long: bool,
    prompt: Vec<PromptPart>,
    arrived: u64,
    goal: u64,
    events: u32,
    // Of its run.
    believed_uncached: u64,
    unread: u64,
    tokens: u32,
    sent: u64,
    first_event: u64,
    last_event: Option<u64>,
    longest_pause: u64,
    ticket: Option<u64>,
}

#[derive(Default)]
struct Engine {
    speed: f64,
    /// Requests whose prompts are not yet read: the most urgent first.
    unread: VecDeque<usize>,
    streams: Vec<usize>,
    cached: VecDeque<u64>,
    is_stepping: bool,
    /// Requests whose prompts the current step completes.
    read: Vec<usize>,
}

struct Instance {
    loads: LoadTracker,
    caches: PrefixCaches,
    limit: IntakeLimit,
    lines: WaitingLines,
    waiting: Vec<usize>,
    will_recheck: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Step(usize),
    Report(usize),
    Recheck(usize),
}

/// The whole system.
pub struct Model {
    rng: Rng,
    start: Instant,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    seq: u64,
    names: Vec<String>,
    engines: Vec<Engine>,
    /// Engines of each model, and its part of the requests.
    models: Vec<(Vec<usize>, f64)>,
    artifacts: Vec<Artifact>,
    instances: Vec<Instance>,
    /// What each instance last reported, and the sums by engine.
    reported: Vec<Loads>,
    totals: Vec<Load>,
    requests: Vec<Request>,
    arrivals_per_s: (f64, f64),
    end: u64,
    slow: Option<(usize, u64, u64)>,
    /// Goal for pauses that the routes declare; zero if they have none.
    pause_goal: Duration,
    figures: Figures,
}

impl Model {
    /// A system with `load` times the usual arrivals.
    pub fn new(seed: u64, load: f64, seconds: u64) -> Self {
        let mut rng = Rng(seed);
        let engines = (0..ENGINES).map(|_| Engine {
            speed: 1.0 + rng.unit(),
            ..Engine::default()
        });
        let engines: Vec<_> = engines.collect();
        let instances = (0..INSTANCES).map(|_| Instance {
            loads: LoadTracker::default(),
            caches: PrefixCaches::default(),
            limit: IntakeLimit::default(),
            lines: WaitingLines::default(),
            waiting: Vec::new(),
            will_recheck: false,
        });
        let models = spread_models(&mut rng);
        let slow = rng.below(BUSIEST_ENGINES);
        let mut model = Self {
            start: Instant::now(),
            now: 0,
            queue: BinaryHeap::new(),
            seq: 0,
            names: (0..ENGINES).map(|i| format!("engine-{i}")).collect(),
            artifacts: (0..models.len())
                .map(|i| Artifact::parse(&format!("m{i}")))
                .collect(),
            models,
            engines,
            instances: instances.collect(),
            reported: vec![Loads::new(); INSTANCES],
            totals: vec![Load::default(); ENGINES],
            requests: Vec::new(),
            arrivals_per_s: (140.0 * load, 135.0 * load),
            end: seconds * 1_000_000,
            pause_goal: PAUSE_GOAL,
            slow: Some((slow, 4_000_000, 7_000_000)),
            figures: Figures {
                sent: vec![0; ENGINES],
                ..Figures::default()
            },
            rng,
        };
        model.after(0, Event::Arrival);
        for i in 0..INSTANCES {
            let at = model.rng.next() % REPORT_PERIOD;
            model.after(at, Event::Report(i));
        }
        model
    }

    /// The same system, with routes that declare no goal for pauses.
    pub fn without_pause_goal(mut self) -> Self {
        self.pause_goal = Duration::ZERO;
        self
    }

    #[allow(clippy::cast_precision_loss)]
    /// Runs until all requests have ended, and returns what they experienced.
    pub fn run(mut self) -> Figures {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.now = at;
            match event {
                Event::Arrival => self.arrive(),
                Event::Step(e) => self.end_step(e),
                Event::Report(i) => self.report(i),
                Event::Recheck(i) => {
                    self.instances[i].will_recheck = false;
                    self.send_waiting(i);
                }
            }
        }
        let mut figures = self.figures;
        let sent: u32 = figures.sent.iter().sum();
        let mean = f64::from(sent) / f64::from(u32::try_from(ENGINES).unwrap());
        figures.busiest = f64::from(*figures.sent.iter().max().unwrap()) / mean;
        let of_model = &figures.sent[..BUSIEST_ENGINES];
        let mean = f64::from(of_model.iter().sum::<u32>()) / of_model.len() as f64;
        figures.busiest_of_model = f64::from(*of_model.iter().max().unwrap()) / mean;
        figures.pauses.sort_by(f64::total_cmp);
        figures
            .first
            .iter_mut()
            .for_each(|f| f.sort_by(f64::total_cmp));
        figures
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_micros(self.now)
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.seq += 1;
        self.queue
            .push(Reverse((self.now + delay, self.seq, event)));
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn arrive(&mut self) {
        if self.now >= self.end {
            return;
        }
        let (long, short) = self.arrivals_per_s;
        let gap = -(1.0 - self.rng.unit()).ln() / (long + short);
        self.after((gap * 1e6) as u64, Event::Arrival);
        let is_long = self.rng.unit() * (long + short) < long;
        let mut draw = self.rng.unit();
        let model = self.models.iter().position(|(_, part)| {
            draw -= part;
            draw < 0.0
        });
        let model = model.unwrap_or(0);
        let id = self.requests.len();
        let own = PromptPart {
            id: 1 << 40 | id as u64,
            tokens: if is_long { 9_190 - SHARED_TOKENS } else { 830 },
        };
        let mut prompt = vec![own];
        if is_long {
            let subject = self.rng.next() % SUBJECTS;
            let id = (model as u64) << 20 | subject;
            let tokens = SHARED_TOKENS;
            prompt.insert(0, PromptPart { id, tokens });
        }
        let goal = match is_long {
            true if self.rng.unit() < 2.0 / 3.0 => 800_000,
            true => 2_000_000,
            false => 600_000,
        };
        let instance = self.rng.below(INSTANCES);
        self.requests.push(Request {
            instance,
            model,
            is_long,
            prompt,
            arrived: self.now,
            goal,
            events: if is_long { 7 } else { 36 },
            believed_uncached: 0,
            unread: 0,
            tokens: 0,
            sent: 0,
            first_event: 0,
            last_event: None,
            longest_pause: 0,
            ticket: None,
        });
        if !self.try_send(id) {
            let urgency = self.urgency(id);
            let line = self.artifacts[model].key();
            let ticket = self.instances[instance].lines.join(&line, urgency);
            self.requests[id].ticket = Some(ticket);
            self.instances[instance].waiting.push(id);
            self.recheck_later(instance);
        }
    }

    fn recheck_later(&mut self, instance: usize) {
        if !std::mem::replace(&mut self.instances[instance].will_recheck, true) {
            self.after(RECHECK_PERIOD, Event::Recheck(instance));
        }
    }

    fn urgency(&self, id: usize) -> Urgency {
        let r = &self.requests[id];
        Urgency {
            rank: 0,
            goal: self.start + Duration::from_micros(r.arrived + r.goal),
            gives_up: self.start + Duration::from_micros(r.arrived + GIVE_UP),
        }
    }

    /// Sends what may be sent of the requests that wait at an instance.
    fn send_waiting(&mut self, instance: usize) {
        loop {
            let waiting = self.instances[instance].waiting.clone();
            let Some(id) = waiting.into_iter().find(|id| self.try_send(*id)) else {
                break;
            };
            let line = self.artifacts[self.requests[id].model].key();
            let ticket = self.requests[id].ticket.unwrap();
            let instance = &mut self.instances[instance];
            instance.waiting.retain(|w| *w != id);
            instance.lines.leave(&line, ticket);
        }
        if !self.instances[instance].waiting.is_empty() {
            self.recheck_later(instance);
        }
    }

    /// Chooses an engine as an instance does, and sends the request.
    fn try_send(&mut self, id: usize) -> bool {
        let now = self.instant();
        let urgency = self.urgency(id);
        let r = &self.requests[id];
        let instance = &mut self.instances[r.instance];
        let artifact = &self.artifacts[r.model];
        if !instance
            .lines
            .is_first(&artifact.key(), r.ticket, urgency, now)
        {
            return false;
        }
        let all = || self.models[r.model].0.iter();
        let shared = r.is_long.then(|| r.prompt[0].id);
        let load = |e: &usize| instance.loads.total(&self.names[*e], now);
        let homes = match shared {
            Some(shared)
                if !self.pause_goal.is_zero() && all().any(|e| load(e) != Load::default()) =>
            {
                home_upstreams(all().map(|e| self.names[*e].as_str()), shared)
            }
            _ => [None; 2],
        };
        let candidates = all().map(|e| {
            let name = &self.names[*e];
            let mut uncached = instance.caches.uncached_tokens(name, artifact, &r.prompt);
            if homes.contains(&Some(name.as_str())) {
                uncached = u64::from(r.prompt[1].tokens);
            }
            let candidate = Candidate {
                id: name,
                is_near: e % 3 == r.instance % 3,
                load: load(e),
                slots: SLOTS,
                uncached_tokens: uncached,
                failure_rate: 0.0,
            };
            (*e, candidate)
        });
        let limit = &mut instance.limit;
        let (engines, mut candidates): (Vec<_>, Vec<_>) = candidates
            .filter(|(_, c)| {
                limit.allows_within(c.load, c.slots, c.uncached_tokens, self.pause_goal)
            })
            .unzip();
        if !self.pause_goal.is_zero() {
            for c in &mut candidates {
                c.load = with_pauses(c.load, c.uncached_tokens);
            }
        }
        let Some(chosen) = choose(&candidates, shared) else {
            limit.record_held_back();
            return false;
        };
        let engine = engines[chosen];
        let uncached = candidates[chosen].uncached_tokens;
        let name = &self.names[engine];
        instance.loads.begin(name, &artifact.key(), uncached);
        instance
            .caches
            .record_prompt(name, artifact, &r.prompt, KV_TOKENS);
        let r = &mut self.requests[id];
        r.sent = self.now;
        r.believed_uncached = uncached;
        self.figures.sent[engine] += 1;
        self.accept(engine, id);
        true
    }

    /// An engine gets a request.
    fn accept(&mut self, e: usize, id: usize) {
        let r = &mut self.requests[id];
        let engine = &mut self.engines[e];
        r.unread = r.prompt.iter().map(|p| u64::from(p.tokens)).sum();
        if r.is_long {
            let shared = r.prompt[0];
            let known = engine.cached.iter().position(|p| *p == shared.id);
            if let Some(known) = known {
                engine.cached.remove(known);
                r.unread -= u64::from(shared.tokens);
            }
            engine.cached.push_back(shared.id);
            if engine.cached.len() > CACHED_PREFIXES {
                engine.cached.pop_front();
            }
        }
        engine.unread.push_back(id);
        if !engine.is_stepping {
            self.begin_step(e);
        }
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    fn begin_step(&mut self, e: usize) {
        let engine = &mut self.engines[e];
        engine.is_stepping = !(engine.unread.is_empty() && engine.streams.is_empty());
        if !engine.is_stepping {
            return;
        }
        let mut room = CHUNK_TOKENS;
        while let Some(id) = engine.unread.front().copied()
            && room > 0
        {
            if engine.streams.len() + engine.read.len() >= SLOTS as usize {
                break;
            }
            let r = &mut self.requests[id];
            let read = r.unread.min(room);
            r.unread -= read;
            room -= read;
            if r.unread == 0 {
                engine.read.push(id);
                engine.unread.pop_front();
            }
        }
        let read = (CHUNK_TOKENS - room) as f64 / TOKENS_PER_MS;
        let mut ms = (STEP_MS.0 + STEP_MS.1 * engine.streams.len() as f64 + read) * engine.speed;
        if let Some((slow, from, to)) = self.slow
            && slow == e
            && (from..to).contains(&self.now)
        {
            ms *= 4.0;
        }
        self.after((ms * 1e3) as u64, Event::Step(e));
    }

    #[allow(clippy::cast_precision_loss)]
    fn end_step(&mut self, e: usize) {
        let read = std::mem::take(&mut self.engines[e].read);
        self.engines[e].streams.extend(read);
        let mut i = 0;
        while let Some(id) = self.engines[e].streams.get(i).copied() {
            i += 1;
            let r = &mut self.requests[id];
            r.tokens += 1;
            if !r.tokens.is_multiple_of(EVENT_TOKENS) {
                continue;
            }
            let instance = r.instance;
            let key = self.artifacts[r.model].key();
            let name = &self.names[e];
            let is_first = r.last_event.is_none();
            if let Some(last) = r.last_event.replace(self.now) {
                r.longest_pause = r.longest_pause.max(self.now - last);
            } else {
                r.first_event = self.now;
                let time = self.now - r.arrived;
                self.figures.first[usize::from(r.is_long)].push(time as f64 / 1e3);
                if r.is_long {
                    self.figures.long.0 += 1;
                    self.figures.long.1 += u32::from(time > r.goal);
                } else {
                    self.figures.short_late += u32::from(time > r.goal);
                }
                let instance = &mut self.instances[instance];
                instance.loads.started(name, &key, r.believed_uncached);
                let time = Duration::from_micros(self.now - r.sent);
                instance.limit.record_first_event(r.believed_uncached, time);
            }
            let r = &self.requests[id];
            if r.tokens >= r.events * EVENT_TOKENS {
                let pause = Duration::from_micros(r.longest_pause);
                if !r.is_long {
                    self.figures.short.0 += 1;
                    self.figures.short.1 += u32::from(pause > PAUSE_GOAL);
                    self.figures.pauses.push(pause.as_secs_f64() * 1e3);
                }
                let now = self.start + Duration::from_micros(self.now);
                let instance = &mut self.instances[instance];
                instance.loads.ended(name, &key);
                instance.limit.record_stream(pause, PAUSE_GOAL, now);
                let time = Duration::from_micros(self.now - r.first_event);
                instance.limit.record_event_time(time / (r.events - 1));
                i -= 1;
                self.engines[e].streams.swap_remove(i);
            }
            if is_first {
                self.send_waiting(instance);
            }
        }
        self.begin_step(e);
    }

    /// An instance reports its loads and gets the sums of what all have last reported.
    fn report(&mut self, i: usize) {
        let now = self.instant();
        let instance = &mut self.instances[i];
        let previous = std::mem::replace(&mut self.reported[i], instance.loads.own().clone());
        for (e, name) in self.names.iter().enumerate() {
            let total = self.totals[e].without(of_upstream(&previous, name));
            self.totals[e] = total;
            self.totals[e].add(of_upstream(&self.reported[i], name));
        }
        let totals = self.names.iter().cloned().zip(self.totals.iter().copied());
        let totals: Vec<_> = totals.filter(|(_, load)| load.running > 0).collect();
        instance.loads.set_totals(totals, &self.reported[i], now);
        self.send_waiting(i);
        let is_busy = self.now < self.end || self.engines.iter().any(|e| e.is_stepping);
        if is_busy {
            self.after(REPORT_PERIOD, Event::Report(i));
        }
    }
}

/// Engines and parts of the requests of each model. A third of the requests are for the first one; the
/// others have engines roughly by their parts.
fn spread_models(rng: &mut Rng) -> Vec<(Vec<usize>, f64)> {
    let mut models = vec![((0..BUSIEST_ENGINES).collect(), 1.0 / 3.0)];
    let mut next = BUSIEST_ENGINES;
    let mut sizes = Vec::new();
    while next < ENGINES {
        let n = (3 + rng.below(12)).min(ENGINES - next);
        sizes.push((next, n, 0.6 + 0.8 * rng.unit()));
        next += n;
    }
    #[allow(clippy::cast_precision_loss)]
    let weight = |n: usize, factor: f64| n as f64 * factor;
    let total: f64 = sizes.iter().map(|(_, n, factor)| weight(*n, *factor)).sum();
    for (from, n, factor) in sizes {
        let part = weight(n, factor) / total * 2.0 / 3.0;
        models.push(((from..from + n).collect(), part));
    }
    models
}
