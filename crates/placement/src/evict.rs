//! Makes room for a load by giving up the least valuable idle replicas of one server.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    decide::Promised,
    demand::Wanted,
    holder::{Activity, Holder, Place},
    idle::IdlePolicy,
    order::{Candidate, LoadOrder},
    record::{Reservation, Stage},
};

/// A replica that may be given up.
#[derive(Clone, Debug)]
struct Victim {
    place: Place,
    memory_mb: u64,
    /// Longer means less worth keeping.
    expected_gap: Duration,
    idle_for: Duration,
}

/// Replicas of one server whose memory is enough.
struct Eviction {
    upstream: String,
    victims: Vec<Victim>,
}

impl Eviction {
    /// What is lost: the evictions with the fewest and least used replicas come first.
    fn cost(&self) -> (usize, Reverse<Duration>) {
        let gap = self.victims.iter().map(|v| v.expected_gap).min();
        (self.victims.len(), Reverse(gap.unwrap_or_default()))
    }
}

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    /// Waits for memory that is being freed, or frees some.
    pub(crate) fn make_room(
        &mut self,
        candidate: &Candidate,
        wanted: &BTreeMap<String, Wanted>,
        promised: &mut Promised,
        now: Instant,
    ) {
        let name = candidate.spec.artifact.served_name();
        if self.record.plan.charged_replicas(&name) >= candidate.spec.replicas {
            return;
        }
        let need = candidate.spec.memory_mb + candidate.headroom_mb;
        if let Some(upstream) = self.room_on_its_way(candidate, need, promised, now) {
            *promised.entry(upstream).or_default() += need;
            return;
        }
        let evictions = self.evictions(candidate, need, wanted, promised, now);
        let Some(best) = evictions.into_iter().min_by_key(Eviction::cost) else {
            return;
        };
        *promised.entry(best.upstream).or_default() += need;
        for victim in best.victims {
            self.retire(victim.place, now);
        }
    }

    fn room_on_its_way(
        &self,
        candidate: &Candidate,
        need: u64,
        promised: &Promised,
        now: Instant,
    ) -> Option<String> {
        let fitting = self.servers.iter().find(|(upstream, server)| {
            let option = self.option(upstream, server, &candidate.spec);
            let free = option.map_or(0, |o| o.free_mb) + self.retiring_mb(upstream);
            let set_aside = promised.get(*upstream).copied().unwrap_or(0);
            server.takes_loads(now) && free >= need + set_aside
        })?;
        Some(fitting.0.clone())
    }

    fn retiring_mb(&self, upstream: &str) -> u64 {
        let retiring = self.record.plan.on(upstream);
        retiring
            .filter(|r| r.stage == Stage::Retire)
            .map(|r| r.memory_mb)
            .sum()
    }

    fn evictions(
        &self,
        candidate: &Candidate,
        need: u64,
        wanted: &BTreeMap<String, Wanted>,
        promised: &Promised,
        now: Instant,
    ) -> Vec<Eviction> {
        let mut evictions = Vec::new();
        for (upstream, server) in self.servers.iter().filter(|(_, s)| s.takes_loads(now)) {
            let Some(option) = self.option(upstream, server, &candidate.spec) else {
                continue;
            };
            let set_aside = promised.get(upstream).copied().unwrap_or(0);
            let missing = (need + set_aside).saturating_sub(option.free_mb);
            let victims = self.victims(upstream, candidate, wanted, now);
            if let Some(victims) = enough(victims, missing) {
                evictions.push(Eviction {
                    upstream: upstream.clone(),
                    victims,
                });
            }
        }
        evictions
    }

    /// Idle replicas of a server, the least valuable first.
    fn victims(
        &self,
        upstream: &str,
        candidate: &Candidate,
        wanted: &BTreeMap<String, Wanted>,
        now: Instant,
    ) -> Vec<Victim> {
        let placed = self.record.plan.on(upstream);
        let idle = placed.filter(|r| self.may_evict(r, candidate, wanted, now));
        let mut victims: Vec<Victim> = idle.map(|r| self.victim(r, now)).collect();
        victims.sort_by_key(|v| Reverse((v.expected_gap, v.idle_for)));
        victims
    }

    fn victim(&self, r: &Reservation, now: Instant) -> Victim {
        let name = r.artifact.served_name();
        let last_use = self.activity.get(&name).map(|a| a.last_use);
        Victim {
            memory_mb: r.memory_mb,
            expected_gap: self.policies.idle.expected_gap(&name),
            idle_for: last_use.map_or(Duration::ZERO, |at| now.duration_since(at)),
            place: (r.upstream.clone(), name),
        }
    }

    fn may_evict(
        &self,
        r: &Reservation,
        candidate: &Candidate,
        wanted: &BTreeMap<String, Wanted>,
        now: Instant,
    ) -> bool {
        let name = r.artifact.served_name();
        let is_own_base = candidate.spec.artifact.base.as_ref() == Some(&name);
        let activity = self.activity.get(&name);
        let is_unused = activity.is_some_and(|a| is_unused(a, self.settings.min_residency, now));
        let mut others = self.record.plan.on(&r.upstream);
        let has_adapters = others.any(|o| o.artifact.base.as_ref() == Some(&name));
        self.is_ready(r)
            && is_unused
            && !is_own_base
            && !has_adapters
            && !wanted.contains_key(&name)
    }
}

fn is_unused(activity: &Activity, min_residency: Duration, now: Instant) -> bool {
    activity.running() == 0 && now >= activity.last_use + min_residency
}

/// The first victims whose memory is enough; `None` when all together are not.
fn enough(victims: Vec<Victim>, missing_mb: u64) -> Option<Vec<Victim>> {
    let mut freed = 0;
    let mut chosen = Vec::new();
    for victim in victims {
        if freed >= missing_mb {
            break;
        }
        freed += victim.memory_mb;
        chosen.push(victim);
    }
    (freed >= missing_mb).then_some(chosen)
}
