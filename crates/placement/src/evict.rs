//! Frees memory for a load by retiring the least valuable idle replicas of one server.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    decide::PromisedMemory,
    demand::ArtifactDemand,
    holder::{ArtifactActivity, Holder, ReplicaKey},
    idle::IdlePolicy,
    load_order::{Candidate, LoadOrder},
    record::{Reservation, Stage},
};

/// A replica that may be evicted.
#[derive(Clone, Debug)]
struct Victim {
    key: ReplicaKey,
    memory_mb: u64,
    /// Expected time between uses; replicas with longer gaps are evicted first.
    expected_gap: Duration,
    idle_for: Duration,
}

/// Replicas of one server that together free enough memory for a candidate.
struct Eviction {
    upstream: String,
    victims: Vec<Victim>,
}

impl Eviction {
    /// Sort key; the smallest is best. Prefers fewer replicas, then replicas with longer expected
    /// gaps between uses.
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
    /// Ensures that memory for the candidate becomes free on some server: promises it memory that
    /// retiring replicas are about to free, or else evicts idle replicas.
    pub(crate) fn free_memory_for(
        &mut self,
        candidate: &Candidate,
        wanted: &BTreeMap<String, ArtifactDemand>,
        promised_mb: &mut PromisedMemory,
        now: Instant,
    ) {
        let name = candidate.spec.artifact.served_name();
        if self.record.plan.charged_replicas(&name) >= candidate.spec.max_replicas {
            return;
        }
        let needed_mb = candidate.spec.memory_mb + candidate.headroom_mb;
        if let Some(upstream) = self.server_freeing_enough(candidate, needed_mb, promised_mb, now) {
            *promised_mb.entry(upstream).or_default() += needed_mb;
            return;
        }
        let evictions = self.evictions(candidate, needed_mb, wanted, promised_mb, now);
        let Some(best) = evictions.into_iter().min_by_key(Eviction::cost) else {
            return;
        };
        *promised_mb.entry(best.upstream).or_default() += needed_mb;
        for victim in best.victims {
            self.retire(victim.key, now);
        }
    }

    fn server_freeing_enough(
        &self,
        candidate: &Candidate,
        needed_mb: u64,
        promised_mb: &PromisedMemory,
        now: Instant,
    ) -> Option<String> {
        let fitting = self.servers.iter().find(|(upstream, server)| {
            let option = self.server_option(upstream, server, &candidate.spec);
            let free_mb = option.map_or(0, |o| o.free_mb) + self.retiring_mb(upstream);
            let promised_here_mb = promised_mb.get(*upstream).copied().unwrap_or(0);
            server.takes_loads(now) && free_mb >= needed_mb + promised_here_mb
        })?;
        Some(fitting.0.clone())
    }

    fn retiring_mb(&self, upstream: &str) -> u64 {
        let retiring = self.record.plan.on_upstream(upstream);
        retiring
            .filter(|r| r.stage == Stage::Retire)
            .map(|r| r.memory_mb)
            .sum()
    }

    fn evictions(
        &self,
        candidate: &Candidate,
        needed_mb: u64,
        wanted: &BTreeMap<String, ArtifactDemand>,
        promised_mb: &PromisedMemory,
        now: Instant,
    ) -> Vec<Eviction> {
        let mut evictions = Vec::new();
        for (upstream, server) in self.servers.iter().filter(|(_, s)| s.takes_loads(now)) {
            let Some(option) = self.server_option(upstream, server, &candidate.spec) else {
                continue;
            };
            let promised_here_mb = promised_mb.get(upstream).copied().unwrap_or(0);
            let missing_mb = (needed_mb + promised_here_mb).saturating_sub(option.free_mb);
            let victims = self.victims(upstream, candidate, wanted, now);
            if let Some(victims) = select_victims(victims, missing_mb) {
                evictions.push(Eviction {
                    upstream: upstream.clone(),
                    victims,
                });
            }
        }
        evictions
    }

    /// Replicas of a server that may be evicted, the least valuable first.
    fn victims(
        &self,
        upstream: &str,
        candidate: &Candidate,
        wanted: &BTreeMap<String, ArtifactDemand>,
        now: Instant,
    ) -> Vec<Victim> {
        let placed = self.record.plan.on_upstream(upstream);
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
            key: (r.upstream.clone(), name),
        }
    }

    fn may_evict(
        &self,
        r: &Reservation,
        candidate: &Candidate,
        wanted: &BTreeMap<String, ArtifactDemand>,
        now: Instant,
    ) -> bool {
        let name = r.artifact.served_name();
        let is_own_base = candidate.spec.artifact.base.as_ref() == Some(&name);
        let activity = self.activity.get(&name);
        let is_unused = activity.is_some_and(|a| is_unused(a, self.settings.min_residency, now));
        let mut others = self.record.plan.on_upstream(&r.upstream);
        let has_adapters = others.any(|o| o.artifact.base.as_ref() == Some(&name));
        self.is_ready(r)
            && is_unused
            && !is_own_base
            && !has_adapters
            && !wanted.contains_key(&name)
    }
}

fn is_unused(activity: &ArtifactActivity, min_residency: Duration, now: Instant) -> bool {
    activity.running_requests() == 0 && now >= activity.last_use + min_residency
}

/// Takes victims in order until they free `missing_mb`; `None` if all of them together free less.
fn select_victims(victims: Vec<Victim>, missing_mb: u64) -> Option<Vec<Victim>> {
    let mut freed_mb = 0;
    let mut chosen = Vec::new();
    for victim in victims {
        if freed_mb >= missing_mb {
            break;
        }
        freed_mb += victim.memory_mb;
        chosen.push(victim);
    }
    (freed_mb >= missing_mb).then_some(chosen)
}
