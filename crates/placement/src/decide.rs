//! Decides which artifacts are loaded where.

use std::{collections::BTreeMap, time::Instant};

use comfreyweir_external::engine::CheckpointTier;

use crate::{
    choice::ServerOption,
    demand::{Wanted, merge},
    holder::Holder,
    idle::IdlePolicy,
    order::{Candidate, LoadOrder, Urgency},
    record::{Reservation, Stage},
    server::Server,
    spec::Spec,
};

/// Memory that a pass has set aside on servers whose replicas are on their way out, in MB.
pub(crate) type Promised = BTreeMap<String, u64>;

/// Loads that run now.
#[derive(Clone, Copy, Debug, Default)]
struct InFlight {
    store_models: usize,
    adapters: usize,
}

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    /// Decides anew. Nothing is decided while a write is under way, before every engine has been
    /// asked for its report, or outside the lease.
    pub fn decide(&mut self, now: Instant) {
        let in_lease = self.order_until().is_some_and(|until| now < until);
        if !self.is_active() || self.is_writing() || !self.has_asked_all() || !in_lease {
            return;
        }
        self.forget_silent_gates(now);
        self.forget_gone(now);
        let wanted = self.wanted_with_bases();
        self.revive(&wanted);
        self.retire_unneeded(&wanted, now);
        let candidates = self.sorted_candidates(&wanted, now);
        let mut promised = Promised::new();
        let mut waiting = Vec::new();
        for candidate in candidates {
            if !self.place(&candidate, &wanted, &mut promised, now) {
                waiting.push(candidate);
            }
        }
        self.refusals = self.refusals_of(&wanted, &waiting, now);
    }

    /// Enters a change of a reservation's stage that has to be confirmed before it is ordered.
    pub(crate) fn change_stage(&mut self, upstream: &str, served_name: &str, stage: Stage) {
        self.decision += 1;
        let decision = self.decision;
        if let Some(r) = self.record.plan.find_mut(upstream, served_name) {
            r.stage = stage;
            r.decision = decision;
        }
    }

    /// Demand for artifacts in force; the demand for an adapter counts for its model as well.
    fn wanted_with_bases(&self) -> BTreeMap<String, Wanted> {
        let mut all: BTreeMap<String, Wanted> = BTreeMap::new();
        for (name, wanted) in self.demand.wanted() {
            let Some(spec) = self.specs.get(&name) else {
                continue;
            };
            if let Some(base) = &spec.artifact.base {
                add(&mut all, base, &wanted);
            }
            add(&mut all, &name, &wanted);
        }
        all
    }

    /// Keeps replicas that are wanted again before their unload was ordered.
    fn revive(&mut self, wanted: &BTreeMap<String, Wanted>) {
        let retired = self.record.plan.reservations.iter().filter(|r| {
            let name = r.artifact.served_name();
            let place = (r.upstream.clone(), name.clone());
            r.stage == Stage::Retire
                && wanted.contains_key(&name)
                && self.is_current(r)
                && self.retiring.get(&place).is_some_and(|x| !x.ordered)
                && self
                    .servers
                    .get(&r.upstream)
                    .is_some_and(|s| !s.is_leaving() && s.has_ready(&name))
        });
        let places: Vec<_> = retired
            .map(|r| (r.upstream.clone(), r.artifact.served_name()))
            .collect();
        for place in places {
            self.change_stage(&place.0, &place.1, Stage::Placed);
            self.retiring.remove(&place);
        }
    }

    /// Whether the reservation is of an artifact in force.
    pub(crate) fn is_current(&self, r: &Reservation) -> bool {
        let spec = self.specs.get(&r.artifact.served_name());
        spec.is_some_and(|s| s.artifact == r.artifact)
    }

    /// Reservations that serve an artifact or will.
    pub(crate) fn serving<'a>(
        &'a self,
        served_name: &'a str,
    ) -> impl Iterator<Item = &'a Reservation> {
        self.record.plan.of(served_name).filter(|r| {
            let server = self.servers.get(&r.upstream);
            matches!(r.stage, Stage::Load | Stage::Placed)
                && self.is_current(r)
                && server.is_some_and(|s| !s.is_leaving())
        })
    }

    pub(crate) fn is_ready(&self, r: &Reservation) -> bool {
        let server = self.servers.get(&r.upstream);
        r.stage == Stage::Placed && server.is_some_and(|s| s.serves(&r.artifact))
    }

    fn sorted_candidates(
        &mut self,
        wanted: &BTreeMap<String, Wanted>,
        now: Instant,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (name, demand) in wanted {
            if let Some(urgency) = self.urgency(name, demand, now) {
                candidates.extend(self.candidate(name, demand, urgency));
            }
        }
        candidates.extend(self.rolls(wanted, now));
        let loading = self.loading_by_workspace(wanted);
        self.policies.order.sort(&mut candidates, &loading);
        candidates
    }

    /// Whether a replica is to be loaded for the demand, and how urgently.
    fn urgency(&self, name: &str, demand: &Wanted, now: Instant) -> Option<Urgency> {
        let spec = self.specs.get(name)?;
        let charged = self.record.plan.charged_replicas(name);
        let has_held = self.record.plan.of(name).any(|r| r.stage == Stage::Held);
        if charged >= spec.replicas && !has_held {
            return None;
        }
        if self.serving(name).next().is_none() {
            return Some(Urgency::Waited);
        }
        let pause = self.settings.scale_out_after;
        let all_ready = self.serving(name).all(|r| self.is_ready(r));
        let is_sustained = now >= demand.since + pause;
        let last = self.last_extra.get(name);
        let has_paused = last.is_none_or(|at| now >= *at + pause);
        (all_ready && is_sustained && has_paused).then_some(Urgency::Extra)
    }

    fn candidate(&self, name: &str, demand: &Wanted, urgency: Urgency) -> Option<Candidate> {
        let spec = self.specs.get(name)?.clone();
        Some(Candidate {
            headroom_mb: self.adapter_headroom(name),
            spec,
            workspaces: demand.workspaces.clone(),
            since: demand.since,
            urgency,
        })
    }

    /// Memory for the largest adapter that waits for a model, so that both fit on one server.
    fn adapter_headroom(&self, base: &str) -> u64 {
        let names = self.demand.wanted();
        let adapters = names.keys().filter_map(|name| self.specs.get(name));
        let of_base = adapters.filter(|s| s.artifact.base.as_deref() == Some(base));
        of_base.map(|s| s.memory_mb).max().unwrap_or(0)
    }

    fn loading_by_workspace(&self, wanted: &BTreeMap<String, Wanted>) -> BTreeMap<String, usize> {
        let mut loading = BTreeMap::new();
        for (name, demand) in wanted {
            let count = self.serving(name).filter(|r| !self.is_ready(r)).count();
            for workspace in demand.workspaces.keys() {
                *loading.entry(workspace.clone()).or_default() += count;
            }
        }
        loading
    }

    /// Decides a load. Returns whether it was decided.
    fn place(
        &mut self,
        candidate: &Candidate,
        wanted: &BTreeMap<String, Wanted>,
        promised: &mut Promised,
        now: Instant,
    ) -> bool {
        let name = candidate.spec.artifact.served_name();
        let options = self.options(candidate, promised, now);
        if let Some(option) = self.policies.choice.pick(options) {
            self.reserve(&option, &candidate.spec);
            if candidate.urgency == Urgency::Extra {
                self.last_extra.insert(name, now);
            }
            return true;
        }
        if candidate.urgency == Urgency::Waited && self.has_slot(&candidate.spec) {
            self.make_room(candidate, wanted, promised, now);
        }
        false
    }

    /// Servers that can take the load now.
    fn options(
        &self,
        candidate: &Candidate,
        promised: &Promised,
        now: Instant,
    ) -> Vec<ServerOption> {
        let name = candidate.spec.artifact.served_name();
        let may_charge = self.record.plan.charged_replicas(&name) < candidate.spec.replicas;
        let need = candidate.spec.memory_mb + candidate.headroom_mb;
        let has_slot = self.has_slot(&candidate.spec);
        let mut options = Vec::new();
        for (upstream, server) in self.servers.iter().filter(|(_, s)| s.takes_loads(now)) {
            let Some(mut option) = self.option(upstream, server, &candidate.spec) else {
                continue;
            };
            let set_aside = promised.get(upstream).copied().unwrap_or(0);
            option.free_mb = option.free_mb.saturating_sub(set_aside);
            let fits = option.is_held || (may_charge && option.free_mb >= need);
            let store_free = has_slot || is_local(&candidate.spec, option.tier);
            if fits && store_free {
                options.push(option);
            }
        }
        options
    }

    /// A server as an option for an artifact, whatever its memory.
    pub(crate) fn option(
        &self,
        upstream: &str,
        server: &Server,
        spec: &Spec,
    ) -> Option<ServerOption> {
        let name = spec.artifact.served_name();
        let existing = self.record.plan.find(upstream, &name);
        if existing.is_some_and(|r| r.stage != Stage::Held) {
            return None;
        }
        if let Some(base) = &spec.artifact.base {
            let base = self.record.plan.find(upstream, base)?;
            if !matches!(base.stage, Stage::Load | Stage::Placed) {
                return None;
            }
        }
        let zone = &server.config.zone;
        let in_zone = |r: &&Reservation| {
            let other = self.servers.get(&r.upstream);
            other.is_some_and(|s| s.config.zone == *zone)
        };
        let charged = self.record.plan.charged_mb(upstream);
        Some(ServerOption {
            upstream: upstream.to_owned(),
            is_held: existing.is_some_and(|r| r.memory_mb >= spec.memory_mb),
            tier: server.tier(&name),
            replicas_in_zone: self.record.plan.of(&name).filter(in_zone).count(),
            free_mb: server.memory_mb().saturating_sub(charged),
        })
    }

    fn reserve(&mut self, option: &ServerOption, spec: &Spec) {
        let name = spec.artifact.served_name();
        let incarnation = self.servers[&option.upstream]
            .report
            .as_ref()
            .map_or(0, |r| r.incarnation);
        if option.is_held {
            if let Some(r) = self.record.plan.find_mut(&option.upstream, &name) {
                r.artifact = spec.artifact.clone();
            }
            self.change_stage(&option.upstream, &name, Stage::Load);
            return;
        }
        self.decision += 1;
        self.record.plan.reservations.push(Reservation {
            upstream: option.upstream.clone(),
            artifact: spec.artifact.clone(),
            memory_mb: spec.memory_mb,
            incarnation,
            stage: Stage::Load,
            stray: None,
            decision: self.decision,
        });
    }

    /// Whether the weight store takes a further load at full speed.
    fn has_slot(&self, spec: &Spec) -> bool {
        let in_flight = self.in_flight();
        if spec.is_adapter() {
            in_flight.adapters < self.settings.store_adapters
        } else {
            in_flight.store_models < self.settings.store_models
        }
    }

    fn in_flight(&self) -> InFlight {
        let mut in_flight = InFlight::default();
        for r in &self.record.plan.reservations {
            let is_loading = matches!(r.stage, Stage::Load | Stage::Placed) && !self.is_ready(r);
            let Some(server) = self.servers.get(&r.upstream).filter(|_| is_loading) else {
                continue;
            };
            if r.artifact.base.is_some() {
                in_flight.adapters += 1;
            } else if server.tier(&r.artifact.served_name()) == CheckpointTier::Remote {
                in_flight.store_models += 1;
            }
        }
        in_flight
    }

    fn forget_silent_gates(&mut self, now: Instant) {
        let silent = self.demand.expire(self.settings.gate_silence, now);
        for activity in self.activity.values_mut() {
            activity.running.retain(|gate, _| !silent.contains(gate));
        }
    }
}

fn add(all: &mut BTreeMap<String, Wanted>, name: &str, wanted: &Wanted) {
    let entry = all.entry(name.to_owned()).or_insert_with(|| Wanted {
        workspaces: BTreeMap::new(),
        since: wanted.since,
    });
    entry.since = entry.since.min(wanted.since);
    merge(&mut entry.workspaces, &wanted.workspaces);
}

/// Whether a load leaves the weight store alone.
fn is_local(spec: &Spec, tier: CheckpointTier) -> bool {
    !spec.is_adapter() && tier != CheckpointTier::Remote
}
