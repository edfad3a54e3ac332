//! The placement pass: decides which artifacts are loaded on which servers.

use std::{collections::BTreeMap, time::Instant};

use comfreyweir_external::engine::CheckpointTier;

use crate::{
    artifact_spec::ArtifactSpec,
    demand::{ArtifactDemand, merge_waiting},
    holder::Holder,
    idle::IdlePolicy,
    load_order::{Candidate, LoadOrder, Urgency},
    record::{Reservation, Stage},
    server::Server,
    server_choice::ServerOption,
};

/// Memory in MB, by upstream, that the current pass has promised to candidates and that retiring
/// replicas have yet to free.
pub(crate) type PromisedMemory = BTreeMap<String, u64>;

/// Loads that have been decided and have not finished.
#[derive(Clone, Copy, Debug, Default)]
struct LoadsInFlight {
    /// Only models that load from the weight store, and not from a local tier.
    models: usize,
    /// Adapters, from any tier.
    adapters: usize,
}

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    /// Runs a placement pass. Does nothing while a record write is in progress, before every
    /// engine has been asked for its report, or outside the lease.
    pub fn run_placement_pass(&mut self, now: Instant) {
        let in_lease = self.ordering_deadline().is_some_and(|until| now < until);
        if !self.is_active() || self.is_writing() || !self.has_requested_all_reports() || !in_lease
        {
            return;
        }
        self.expire_silent_gates(now);
        self.remove_orphaned_reservations(now);
        let wanted = self.demand_with_bases();
        self.cancel_retirements(&wanted);
        self.retire_unneeded(&wanted, now);
        let candidates = self.sorted_candidates(&wanted, now);
        let mut promised_mb = PromisedMemory::new();
        let mut waiting = Vec::new();
        for candidate in candidates {
            if !self.try_place(&candidate, &wanted, &mut promised_mb, now) {
                waiting.push(candidate);
            }
        }
        self.refusals = self.find_refusals(&wanted, &waiting, now);
    }

    /// Changes the stage of a reservation as a new decision. No order follows from it until a
    /// record write that contains the decision is confirmed.
    pub(crate) fn change_stage(&mut self, upstream: &str, served_name: &str, stage: Stage) {
        self.last_decision += 1;
        let decision = self.last_decision;
        if let Some(r) = self.record.plan.find_mut(upstream, served_name) {
            r.stage = stage;
            r.decision = decision;
        }
    }

    /// Demand for artifacts of the current catalog. Demand for an adapter also counts as demand
    /// for its base model.
    fn demand_with_bases(&self) -> BTreeMap<String, ArtifactDemand> {
        let mut by_artifact: BTreeMap<String, ArtifactDemand> = BTreeMap::new();
        for (name, wanted) in self.demand.by_artifact() {
            let Some(spec) = self.specs.get(&name) else {
                continue;
            };
            if let Some(base) = &spec.artifact.base {
                add_demand(&mut by_artifact, base, &wanted);
            }
            add_demand(&mut by_artifact, &name, &wanted);
        }
        by_artifact
    }

    /// Returns retiring replicas to service if they are in demand again and their unload has not
    /// been ordered yet.
    fn cancel_retirements(&mut self, wanted: &BTreeMap<String, ArtifactDemand>) {
        let retired = self.record.plan.reservations.iter().filter(|r| {
            let name = r.artifact.served_name();
            let key = (r.upstream.clone(), name.clone());
            r.stage == Stage::Retire
                && wanted.contains_key(&name)
                && self.is_current(r)
                && self
                    .retirements
                    .get(&key)
                    .is_some_and(|retirement| !retirement.unload_ordered)
                && self
                    .servers
                    .get(&r.upstream)
                    .is_some_and(|s| !s.is_leaving() && s.has_ready(&name))
        });
        let keys: Vec<_> = retired
            .map(|r| (r.upstream.clone(), r.artifact.served_name()))
            .collect();
        for key in keys {
            self.change_stage(&key.0, &key.1, Stage::Placed);
            self.retirements.remove(&key);
        }
    }

    /// Whether the current catalog names exactly the artifact of the reservation.
    pub(crate) fn is_current(&self, r: &Reservation) -> bool {
        let spec = self.specs.get(&r.artifact.served_name());
        spec.is_some_and(|s| s.artifact == r.artifact)
    }

    /// Reservations whose replica serves the artifact or will serve it once loaded.
    pub(crate) fn serving_reservations<'a>(
        &'a self,
        served_name: &'a str,
    ) -> impl Iterator<Item = &'a Reservation> {
        self.record.plan.of_artifact(served_name).filter(|r| {
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
        wanted: &BTreeMap<String, ArtifactDemand>,
        now: Instant,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (name, demand) in wanted {
            if let Some(urgency) = self.urgency(name, demand, now) {
                candidates.extend(self.candidate(name, demand, urgency));
            }
        }
        candidates.extend(self.rollout_candidates(wanted, now));
        let loading = self.loading_by_workspace(wanted);
        self.policies.order.sort(&mut candidates, &loading);
        candidates
    }

    /// Urgency of loading one more replica for the demand; `None` if none is to be loaded.
    fn urgency(&self, name: &str, demand: &ArtifactDemand, now: Instant) -> Option<Urgency> {
        let spec = self.specs.get(name)?;
        let charged = self.record.plan.charged_replicas(name);
        let has_held_reservation = self
            .record
            .plan
            .of_artifact(name)
            .any(|r| r.stage == Stage::Held);
        // Loading a held reservation again adds no replica.
        if charged >= spec.max_replicas && !has_held_reservation {
            return None;
        }
        if self.serving_reservations(name).next().is_none() {
            return Some(Urgency::Unserved);
        }
        let scale_out_after = self.settings.scale_out_after;
        let all_ready = self.serving_reservations(name).all(|r| self.is_ready(r));
        let is_sustained = now >= demand.since + scale_out_after;
        let last_scale_out = self.last_scale_out.get(name);
        let is_past_cooldown = last_scale_out.is_none_or(|at| now >= *at + scale_out_after);
        (all_ready && is_sustained && is_past_cooldown).then_some(Urgency::ScaleOut)
    }

    fn candidate(
        &self,
        name: &str,
        demand: &ArtifactDemand,
        urgency: Urgency,
    ) -> Option<Candidate> {
        let spec = self.specs.get(name)?.clone();
        Some(Candidate {
            headroom_mb: self.adapter_headroom(name),
            spec,
            workspaces: demand.workspaces.clone(),
            since: demand.since,
            urgency,
        })
    }

    /// Memory, in MB, of the largest adapter of `base` that is in demand, so that the model is
    /// placed where the adapter fits as well.
    fn adapter_headroom(&self, base: &str) -> u64 {
        let demand = self.demand.by_artifact();
        let adapters = demand.keys().filter_map(|name| self.specs.get(name));
        let of_base = adapters.filter(|s| s.artifact.base.as_deref() == Some(base));
        of_base.map(|s| s.memory_mb).max().unwrap_or(0)
    }

    fn loading_by_workspace(
        &self,
        wanted: &BTreeMap<String, ArtifactDemand>,
    ) -> BTreeMap<String, usize> {
        let mut loading = BTreeMap::new();
        for (name, demand) in wanted {
            let count = self
                .serving_reservations(name)
                .filter(|r| !self.is_ready(r))
                .count();
            for workspace in demand.workspaces.keys() {
                *loading.entry(workspace.clone()).or_default() += count;
            }
        }
        loading
    }

    /// Reserves a server for the candidate and returns whether that succeeded. If no server has
    /// room for an unserved artifact, starts to free memory for it.
    fn try_place(
        &mut self,
        candidate: &Candidate,
        wanted: &BTreeMap<String, ArtifactDemand>,
        promised_mb: &mut PromisedMemory,
        now: Instant,
    ) -> bool {
        let name = candidate.spec.artifact.served_name();
        let options = self.server_options(candidate, promised_mb, now);
        if let Some(option) = self.policies.choice.pick(options) {
            self.reserve(&option, &candidate.spec);
            if candidate.urgency == Urgency::ScaleOut {
                self.last_scale_out.insert(name, now);
            }
            return true;
        }
        if candidate.urgency == Urgency::Unserved && self.has_store_slot(&candidate.spec) {
            self.free_memory_for(candidate, wanted, promised_mb, now);
        }
        false
    }

    /// Servers on which the candidate can be loaded now.
    fn server_options(
        &self,
        candidate: &Candidate,
        promised_mb: &PromisedMemory,
        now: Instant,
    ) -> Vec<ServerOption> {
        let name = candidate.spec.artifact.served_name();
        let may_add_replica =
            self.record.plan.charged_replicas(&name) < candidate.spec.max_replicas;
        let needed_mb = candidate.spec.memory_mb + candidate.headroom_mb;
        let has_store_slot = self.has_store_slot(&candidate.spec);
        let mut options = Vec::new();
        for (upstream, server) in self.servers.iter().filter(|(_, s)| s.takes_loads(now)) {
            let Some(mut option) = self.server_option(upstream, server, &candidate.spec) else {
                continue;
            };
            let promised_here_mb = promised_mb.get(upstream).copied().unwrap_or(0);
            option.free_mb = option.free_mb.saturating_sub(promised_here_mb);
            let fits = option.is_reserved || (may_add_replica && option.free_mb >= needed_mb);
            let is_store_available = has_store_slot || loads_locally(&candidate.spec, option.tier);
            if fits && is_store_available {
                options.push(option);
            }
        }
        options
    }

    /// Describes a server as an option for an artifact without checking its memory. Returns
    /// `None` if the artifact already has a reservation there in another stage than `Held`, or if
    /// it is an adapter whose model is not loaded or being loaded there.
    pub(crate) fn server_option(
        &self,
        upstream: &str,
        server: &Server,
        spec: &ArtifactSpec,
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
            is_reserved: existing.is_some_and(|r| r.memory_mb >= spec.memory_mb),
            tier: server.tier(&name),
            replicas_in_zone: self.record.plan.of_artifact(&name).filter(in_zone).count(),
            free_mb: server.memory_mb().saturating_sub(charged),
        })
    }

    fn reserve(&mut self, option: &ServerOption, spec: &ArtifactSpec) {
        let name = spec.artifact.served_name();
        let incarnation = self.servers[&option.upstream]
            .report
            .as_ref()
            .map_or(0, |r| r.incarnation);
        if option.is_reserved {
            if let Some(r) = self.record.plan.find_mut(&option.upstream, &name) {
                r.artifact = spec.artifact.clone();
            }
            self.change_stage(&option.upstream, &name, Stage::Load);
            return;
        }
        self.last_decision += 1;
        self.record.plan.reservations.push(Reservation {
            upstream: option.upstream.clone(),
            artifact: spec.artifact.clone(),
            memory_mb: spec.memory_mb,
            incarnation,
            stage: Stage::Load,
            unsettled_load_term: None,
            decision: self.last_decision,
        });
    }

    /// Whether the weight store can serve one more load without slowing down the others.
    fn has_store_slot(&self, spec: &ArtifactSpec) -> bool {
        let in_flight = self.loads_in_flight();
        if spec.is_adapter() {
            in_flight.adapters < self.settings.max_adapter_loads
        } else {
            in_flight.models < self.settings.max_model_loads
        }
    }

    fn loads_in_flight(&self) -> LoadsInFlight {
        let mut in_flight = LoadsInFlight::default();
        for r in &self.record.plan.reservations {
            let is_loading = matches!(r.stage, Stage::Load | Stage::Placed) && !self.is_ready(r);
            let Some(server) = self.servers.get(&r.upstream).filter(|_| is_loading) else {
                continue;
            };
            if r.artifact.base.is_some() {
                in_flight.adapters += 1;
            } else if server.tier(&r.artifact.served_name()) == CheckpointTier::Remote {
                in_flight.models += 1;
            }
        }
        in_flight
    }

    fn expire_silent_gates(&mut self, now: Instant) {
        let silent = self.demand.expire(self.settings.gate_timeout, now);
        for activity in self.activity.values_mut() {
            activity
                .running_by_gate
                .retain(|gate, _| !silent.contains(gate));
        }
    }
}

fn add_demand(
    by_artifact: &mut BTreeMap<String, ArtifactDemand>,
    name: &str,
    wanted: &ArtifactDemand,
) {
    let entry = by_artifact
        .entry(name.to_owned())
        .or_insert_with(|| ArtifactDemand {
            workspaces: BTreeMap::new(),
            since: wanted.since,
        });
    entry.since = entry.since.min(wanted.since);
    merge_waiting(&mut entry.workspaces, &wanted.workspaces);
}

/// Whether the checkpoint is loaded from the server itself, without using the weight store.
fn loads_locally(spec: &ArtifactSpec, tier: CheckpointTier) -> bool {
    !spec.is_adapter() && tier != CheckpointTier::Remote
}
