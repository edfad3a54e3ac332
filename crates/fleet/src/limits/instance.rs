//! An instance's side of limits: what it has heard, and what it may send.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use super::{
    Cold, PermitAnswer, PermitAsk, ToldLimit,
    cold::{ColdProcesses, EffectiveLimit, PresumedZones},
    statements::{LimitChange, Statement, Statements},
};
use crate::{
    directory::UpstreamProcess,
    intake::Urgency,
    quota::{EQUAL_SHARE_TIME, GRANT_TTL},
    upstream::Upstream,
};

/// Time without an answer that names the limit, after which an answer to a report request can end it.
const QUIET_TIME: Duration = Duration::from_secs(4);
/// Shortest time after which the holder is asked again for a permit.
const MIN_ASK_PAUSE: Duration = Duration::from_millis(20);
/// Time until a request may be sent, as far as is known, while the holder does not answer.
const UNKNOWN_ROOM_TIME: Duration = Duration::from_millis(500);

/// Whether something may be sent to an upstream. Times are since boot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// It may: nothing limits the upstream, or there is a permit.
    Now,
    /// From this time on, for which there is a permit.
    From(Duration),
    /// The holder has to be asked.
    Unknown,
    /// Not before this time.
    Full(Duration),
}

/// What an instance knows of the limits of upstreams, and its permits. Times are since boot.
#[derive(Debug)]
pub struct InstanceLimits {
    /// What upstreams have said to this instance.
    own: Statements,
    /// What they have said to others.
    elsewhere: Statements,
    /// Processes that are cold as the list of upstreams says, or are presumed to be. All instances
    /// have this list, so that they are not told.
    listed: ColdProcesses,
    presumed: PresumedZones,
    permits: HashMap<UpstreamProcess, Vec<Permit>>,
    full: HashMap<UpstreamProcess, Full>,
    /// Requests that wait for each upstream, the first one first.
    waiting: HashMap<UpstreamProcess, Vec<Waiting>>,
    last_ticket: u64,
    /// Upstreams that have named their limit in answers to report requests or orders.
    named_in_calls: HashSet<UpstreamProcess>,
    /// Upstreams that requests could have used which others run.
    usable: HashSet<UpstreamProcess>,
    /// When the last report was sent that a holder has answered; at first, the start of the process.
    holder_heard_at: Duration,
    /// Whether a holder has answered since the start of the process.
    has_had_holder: bool,
    /// Number of instances that share a limit without a holder, and the place of this one among them.
    instances: u32,
    place: u32,
    /// The last turn of this instance that it has used, without a holder.
    used_turns: HashMap<UpstreamProcess, u64>,
}

/// A turn of an instance without a holder: the time in which it may send one request.
#[derive(Clone, Copy, Debug)]
struct Turn {
    number: u64,
    begins: Duration,
    ends: Duration,
}

/// Place of a request in the line of those that wait for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(u64);

/// A request that waits for an upstream.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    /// Priority, 0 first, and goal of a request that waits for a cold upstream; others go in the order
    /// of their arrival.
    order: Option<(u8, Instant)>,
}

/// Permission to send one request.
#[derive(Clone, Copy, Debug)]
struct Permit {
    valid_from: Duration,
    valid_until: Duration,
}

/// An upstream without room.
#[derive(Clone, Copy, Debug)]
struct Full {
    until: Duration,
    /// When the holder may be asked again.
    ask_at: Duration,
}

impl InstanceLimits {
    /// The state of a process that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            own: Statements::default(),
            elsewhere: Statements::default(),
            listed: ColdProcesses::default(),
            presumed: PresumedZones::default(),
            permits: HashMap::new(),
            full: HashMap::new(),
            waiting: HashMap::new(),
            last_ticket: 0,
            named_in_calls: HashSet::new(),
            usable: HashSet::new(),
            holder_heard_at: now,
            has_had_holder: false,
            instances: 1,
            place: 0,
            used_turns: HashMap::new(),
        }
    }

    /// Records an answer of an upstream to a request that was sent at `sent_at`: the limit that it
    /// names, in requests a second, or that it names none. Returns what changed.
    pub fn record_answer(
        &mut self,
        process: &UpstreamProcess,
        limit: Option<f64>,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        let known = self.known(process);
        let before = known.and_then(|known| known.limit);
        let holds = match (limit, known) {
            (Some(_), known) => known.is_none_or(|known| sent_at > known.sent_at),
            (None, Some(known)) => known.limit.is_some() && sent_at > known.heard_at,
            (None, None) => false,
        };
        if holds {
            self.own.forget_old(now);
            let statement = Statement {
                limit,
                sent_at,
                heard_at: now,
            };
            self.own.set(process, statement);
        } else if let (Some(_), Some(known)) = (limit, known)
            && known.limit.is_some()
        {
            let heard_at = now;
            self.own.set(process, Statement { heard_at, ..known });
        }
        self.apply_change(process, before)
    }

    /// Like [`Self::record_answer`], for an answer to a report request or an order. That it names no limit
    /// ends one only if answers of this kind have named it, or none has for a while: they may not
    /// carry it.
    pub fn record_call_answer(
        &mut self,
        process: &UpstreamProcess,
        limit: Option<f64>,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        if limit.is_some() {
            self.named_in_calls.insert(process.clone());
        } else {
            let known = self.known(process)?;
            let is_quiet = now.saturating_sub(known.heard_at) >= QUIET_TIME;
            if !is_quiet && !self.named_in_calls.contains(process) {
                return None;
            }
        }
        let change = self.record_answer(process, limit, sent_at, now);
        if change == Some(LimitChange::Ended) {
            self.named_in_calls.remove(process);
        }
        change
    }

    /// Replaces what others have heard, as the holder tells it. Returns what changed.
    pub fn set_elsewhere(
        &mut self,
        told: &[ToldLimit],
        now: Duration,
    ) -> Vec<(UpstreamProcess, LimitChange)> {
        let mut processes: HashSet<_> = self.elsewhere.processes().cloned().collect();
        processes.extend(told.iter().map(|t| t.process.clone()));
        let processes = processes.into_iter();
        let before: Vec<_> = processes.map(|p| (self.limit(&p), p)).collect();
        let told_cold = told.iter().filter(|t| t.cold.is_some());
        let newly_cold: Vec<_> = told_cold
            .filter(|t| self.cold(&t.process, now).is_none())
            .collect();
        self.elsewhere = Statements::default();
        self.elsewhere.merge(told, now);
        for told in newly_cold {
            self.discard_permits(&told.process);
        }
        let changes = before.into_iter().filter_map(|(before, process)| {
            let change = self.apply_change(&process, before)?;
            Some((process, change))
        });
        changes.collect()
    }

    /// Discards the permits of an upstream whose limit has changed.
    fn apply_change(
        &mut self,
        process: &UpstreamProcess,
        before: Option<f64>,
    ) -> Option<LimitChange> {
        let change = LimitChange::between(before, self.limit(process))?;
        self.discard_permits(process);
        Some(change)
    }

    fn discard_permits(&mut self, process: &UpstreamProcess) {
        self.permits.remove(process);
        self.full.remove(process);
        self.used_turns.remove(process);
    }

    /// Records the list of upstreams of services that have cold upstreams, which was read at `read_at`
    /// or before, with the requests a second that each tolerates while cold. Returns those that have
    /// become cold.
    pub fn record_list<'a, L>(
        &mut self,
        list: L,
        read_at: Duration,
        now: Duration,
    ) -> Vec<UpstreamProcess>
    where
        L: IntoIterator<Item = (&'a Upstream, f64)>,
    {
        self.listed.forget_old(now);
        let mut newly_cold = Vec::new();
        for (upstream, per_s) in list {
            let until = self.presumed.end(upstream, read_at);
            if until <= now {
                continue;
            }
            let process = UpstreamProcess::of(upstream);
            let was_cold = self.cold(&process, now).is_some();
            self.listed.record(&process, Cold { per_s, until }, now);
            if !was_cold {
                self.discard_permits(&process);
                newly_cold.push(process);
            }
        }
        newly_cold
    }

    /// Makes all upstreams of a zone count as cold until a time, whatever their entries say, with the
    /// next call of [`Self::record_list`].
    pub fn presume_cold(&mut self, zone: &str, until: Duration, now: Duration) {
        self.presumed.presume(zone, until, now);
    }

    /// Makes a process count as cold for this instance only. Returns whether it did not before.
    pub fn presume_process_cold(
        &mut self,
        process: &UpstreamProcess,
        cold: Cold,
        now: Duration,
    ) -> bool {
        let was_cold = self.cold(process, now).is_some();
        self.listed.forget_old(now);
        self.listed.record(process, cold, now);
        if !was_cold {
            self.discard_permits(process);
        }
        !was_cold
    }

    /// Records that a process has said in an answer that it is cold. Returns whether this is news, of
    /// which the holder is to be told.
    pub fn record_cold_answer(
        &mut self,
        process: &UpstreamProcess,
        cold: Cold,
        now: Duration,
    ) -> bool {
        let was_cold = self.cold(process, now).is_some();
        self.own.forget_old(now);
        self.own.record_cold(process, cold, now);
        let is_news = !was_cold && now < cold.until;
        if is_news {
            self.discard_permits(process);
        }
        is_news
    }

    /// Whether a process is cold, as far as this instance knows.
    pub fn cold(&self, process: &UpstreamProcess, now: Duration) -> Option<Cold> {
        let heard = Cold::combine_any(
            self.own.cold(process, now),
            self.elsewhere.cold(process, now),
        );
        Cold::combine_any(heard, self.listed.get(process, now))
    }

    fn effective(&self, process: &UpstreamProcess, now: Duration) -> Option<EffectiveLimit> {
        EffectiveLimit::of(self.limit(process), self.cold(process, now))
    }

    /// What upstreams have said to this instance, to tell the holder. What the list says of cold
    /// upstreams as well is left out.
    pub fn heard(&self, now: Duration) -> Vec<ToldLimit> {
        let mut told = self.own.told(now);
        told.retain(|told| {
            let listed = self.listed.get(&told.process, now);
            let is_listed = |left| listed.is_some_and(|cold| now + left <= cold.until);
            !told.cold.is_some_and(|cold| is_listed(cold.left))
        });
        told
    }

    /// All that this instance knows, with which it begins as the holder.
    pub fn all_known(&self, now: Duration) -> Vec<ToldLimit> {
        let mut all = Statements::default();
        all.merge(&self.elsewhere.told(now), now);
        all.merge(&self.own.told(now), now);
        all.told(now)
    }

    /// Requests a second that an upstream takes from all instances together, if it has said so.
    pub fn limit(&self, process: &UpstreamProcess) -> Option<f64> {
        self.known(process)?.limit
    }

    /// Whether nothing is known of any limit or cold upstream.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.elsewhere.is_empty() && self.listed.is_empty()
    }

    fn known(&self, process: &UpstreamProcess) -> Option<Statement> {
        self.own.newest(&self.elsewhere, process)
    }

    /// Records that a holder has answered a report that was sent at `reported_at`.
    pub fn record_holder(&mut self, reported_at: Duration) {
        self.holder_heard_at = self.holder_heard_at.max(reported_at);
        self.has_had_holder = true;
        self.used_turns.clear();
    }

    /// Sets how many instances there are, and the place of this one among them.
    pub fn set_place(&mut self, instances: usize, place: usize) {
        self.instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        self.place = u32::try_from(place).unwrap_or(u32::MAX) % self.instances;
    }

    fn has_holder(&self, now: Duration) -> bool {
        now.saturating_sub(self.holder_heard_at) < GRANT_TTL
    }

    /// Whether something may be sent to an upstream, for a request with a ticket, or one behind all that
    /// wait.
    pub fn room(&self, process: &UpstreamProcess, ticket: Option<Ticket>, now: Duration) -> Room {
        let Some(limit) = self.effective(process, now) else {
            return Room::Now;
        };
        if !self.has_holder(now) {
            let turn = self.turn(process, limit, now);
            return match turn {
                Some(turn) if turn.begins <= now => Room::Now,
                Some(turn) => self.full_until(process, turn.begins, now),
                None => self.full_until(process, now + UNKNOWN_ROOM_TIME, now),
            };
        }
        let line = self.waiting.get(process).map_or(&[][..], Vec::as_slice);
        let place = line.iter().position(|w| Some(w.ticket) == ticket);
        let place = place.unwrap_or(line.len());
        let permits = self.permits.get(process).into_iter().flatten();
        let valid = permits.filter(|p| now < p.valid_until);
        let mut valid_from: Vec<_> = valid.map(|p| p.valid_from).collect();
        valid_from.sort_unstable();
        match valid_from.get(place) {
            Some(from) if *from <= now => return Room::Now,
            Some(from) => return Room::From(*from),
            None => {}
        }
        match self.full.get(process) {
            Some(full) if now < full.ask_at => {
                let before = place - valid_from.len();
                let before = u32::try_from(before).unwrap_or(u32::MAX);
                let is_cold = self.cold(process, now).is_some();
                let turn = f64::from(before) / limit.rate();
                let turn = Duration::try_from_secs_f64(turn).unwrap_or(Duration::MAX);
                let turn = if is_cold { turn } else { Duration::ZERO };
                self.full_until(process, full.until.saturating_add(turn), now)
            }
            _ => Room::Unknown,
        }
    }

    /// That there is no room until a time, or until a cold process without a limit is warm.
    fn full_until(&self, process: &UpstreamProcess, until: Duration, now: Duration) -> Room {
        let cold = self.cold(process, now);
        let warm_at = cold.filter(|_| self.limit(process).is_none());
        Room::Full(warm_at.map_or(until, |cold| until.min(cold.until)))
    }

    /// Takes what sending one request needs. False if it may not be sent now.
    pub fn take(&mut self, process: &UpstreamProcess, now: Duration) -> bool {
        let Some(limit) = self.effective(process, now) else {
            return true;
        };
        if !self.has_holder(now) {
            let turn = self.turn(process, limit, now);
            let turn = turn.filter(|turn| turn.begins <= now);
            if let Some(turn) = turn {
                self.used_turns.insert(process.clone(), turn.number);
            }
            return turn.is_some();
        }
        let Some(permits) = self.permits.get_mut(process) else {
            return false;
        };
        permits.retain(|p| now < p.valid_until);
        let usable = permits.iter().position(|p| p.valid_from <= now);
        if let Some(usable) = usable {
            permits.swap_remove(usable);
        }
        usable.is_some()
    }

    /// The current or next turn of this instance, while it has no holder: one request at a time, in the
    /// order of the instances' places, so that all together send at the limit. A turn cannot be
    /// saved up. None once the holder no longer reserves them.
    fn turn(
        &self,
        process: &UpstreamProcess,
        limit: EffectiveLimit,
        now: Duration,
    ) -> Option<Turn> {
        let rate = limit.turn_rate(self.instances, self.has_had_holder)?;
        let interval = Duration::try_from_secs_f64(1.0 / rate).ok()?;
        let round = interval.saturating_mul(self.instances);
        let lost_at = self.holder_heard_at + GRANT_TTL;
        let first = lost_at + interval.saturating_mul(self.place + 1);
        let since = now.saturating_sub(first).as_nanos();
        let current = u64::try_from(since / round.as_nanos().max(1)).ok()?;
        let used = self.used_turns.get(process).copied();
        let turns = (current..current + 2).map(|number| {
            let begins = first + round.saturating_mul(u32::try_from(number).unwrap_or(u32::MAX));
            Turn {
                number,
                begins,
                ends: begins + limit.permit_ttl().min(round),
            }
        });
        let mut open = turns.filter(|turn| now < turn.ends && used < Some(turn.number));
        open.next()
            .filter(|turn| turn.begins < self.holder_heard_at + EQUAL_SHARE_TIME)
    }

    /// Adds a request to those that wait for an upstream. Each call needs one [`Self::end_wait`].
    pub fn begin_wait(&mut self, process: &UpstreamProcess) -> Ticket {
        self.join(process, None)
    }

    /// Like [`Self::begin_wait`]. Requests that wait for a cold upstream go in the order of their
    /// urgency.
    pub fn begin_urgent_wait(
        &mut self,
        process: &UpstreamProcess,
        urgency: Urgency,
        now: Duration,
    ) -> Ticket {
        let is_cold = self.cold(process, now).is_some();
        self.join(process, is_cold.then_some((urgency.rank, urgency.goal)))
    }

    fn join(&mut self, process: &UpstreamProcess, order: Option<(u8, Instant)>) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let line = self.waiting.entry(process.clone()).or_default();
        let is_before = |w: &Waiting| order.is_none() || w.order <= order;
        let place = line.partition_point(is_before);
        line.insert(place, Waiting { ticket, order });
        ticket
    }

    /// Ends a wait that [`Self::begin_wait`] began.
    pub fn end_wait(&mut self, process: &UpstreamProcess, ticket: Ticket) {
        if let Some(line) = self.waiting.get_mut(process) {
            line.retain(|w| w.ticket != ticket);
            if line.is_empty() {
                self.waiting.remove(process);
            }
        }
    }

    /// Records that a request could have used an upstream, and is run by another one. Returns whether
    /// the holder is to be asked.
    pub fn record_usable(&mut self, process: &UpstreamProcess) -> bool {
        self.usable.insert(process.clone())
    }

    /// The permits to ask the holder for.
    pub fn take_asks(&mut self, now: Duration) -> Vec<PermitAsk> {
        let usable = std::mem::take(&mut self.usable).into_iter();
        if !self.has_holder(now) {
            return Vec::new();
        }
        let usable = usable.filter(|process| !self.waiting.contains_key(process));
        let usable = usable.map(|process| (process, 0));
        let count = |line: &Vec<_>| u32::try_from(line.len()).unwrap_or(u32::MAX);
        let waiting = self.waiting.iter();
        let waiting = waiting.map(|(p, line)| (p.clone(), count(line)));
        let asks = waiting.chain(usable).filter_map(|(process, requests)| {
            let at_hand = self.permits_at_hand(&process, now);
            let waiting = requests.saturating_sub(at_hand);
            let is_needed = waiting > 0 || requests == 0 && at_hand == 0;
            let is_limited = self.effective(&process, now).is_some();
            let may_ask = is_limited && !self.is_full(&process, now);
            let cold = self.cold(&process, now).map(|cold| cold.told(now));
            (is_needed && may_ask).then_some(PermitAsk {
                process,
                waiting,
                cold,
            })
        });
        asks.collect()
    }

    /// Number of permits that are valid, or will be.
    fn permits_at_hand(&self, process: &UpstreamProcess, now: Duration) -> u32 {
        let permits = self.permits.get(process).into_iter().flatten();
        let at_hand = permits.filter(|p| now < p.valid_until).count();
        u32::try_from(at_hand).unwrap_or(u32::MAX)
    }

    fn is_full(&self, process: &UpstreamProcess, now: Duration) -> bool {
        self.full.get(process).is_some_and(|full| now < full.ask_at)
    }

    /// Applies the holder's answers to what was asked at `asked_at`.
    pub fn apply_answers(&mut self, answers: &[PermitAnswer], asked_at: Duration, now: Duration) {
        for answer in answers {
            let process = &answer.process;
            // The limit may have ended, or changed, meanwhile.
            let Some(limit) = self.effective(process, now) else {
                continue;
            };
            let permits = self.permits.entry(process.clone()).or_default();
            permits.retain(|p| now < p.valid_until);
            permits.extend(answer.valid_in.iter().map(|valid_in| Permit {
                valid_from: asked_at + *valid_in,
                valid_until: asked_at + *valid_in + limit.permit_ttl(),
            }));
            if let Some(room_in) = answer.room_in {
                let pause = room_in
                    .saturating_sub(limit.max_advance())
                    .max(MIN_ASK_PAUSE);
                let full = Full {
                    until: now + room_in,
                    ask_at: now + pause,
                };
                self.full.insert(process.clone(), full);
            } else {
                self.full.remove(process);
            }
        }
    }

    /// Records that the holder has not answered what was asked.
    pub fn record_no_answer(&mut self, asks: &[PermitAsk], now: Duration) {
        for ask in asks {
            let full = Full {
                until: now + UNKNOWN_ROOM_TIME,
                ask_at: now + UNKNOWN_ROOM_TIME,
            };
            self.full.insert(ask.process.clone(), full);
        }
    }
}
