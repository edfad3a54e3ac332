//! Decides which replicas are retired: idle, outdated or surplus ones, and those on a server that
//! is leaving.

use std::{collections::BTreeMap, time::Instant};

use crate::{
    artifact_spec::ArtifactSpec,
    demand::ArtifactDemand,
    holder::{ArtifactActivity, Holder, ReplicaKey, Retirement},
    idle::IdlePolicy,
    load_order::{Candidate, LoadOrder, Urgency},
    record::{Reservation, Stage},
    server::Server,
};

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    pub(crate) fn retire_unneeded(
        &mut self,
        wanted: &BTreeMap<String, ArtifactDemand>,
        now: Instant,
    ) {
        self.note_first_seen(now);
        let mut unneeded = Vec::new();
        let mut abandoned_loads = Vec::new();
        for r in &self.record.plan.reservations {
            let key = (r.upstream.clone(), r.artifact.served_name());
            match r.stage {
                Stage::Placed if self.is_unneeded(r, wanted, now) => unneeded.push(key),
                Stage::Load if self.can_no_longer_load(r) => abandoned_loads.push(key),
                _ => {}
            }
        }
        for key in unneeded {
            self.retire(key, now);
        }
        for key in abandoned_loads {
            // The engine's next report releases the reservation.
            self.change_stage(&key.0, &key.1, Stage::Held);
        }
        self.retire_surplus(wanted, now);
    }

    /// Removes a replica from the view; its unload is ordered after a grace period.
    pub(crate) fn retire(&mut self, key: ReplicaKey, now: Instant) {
        self.change_stage(&key.0, &key.1, Stage::Retire);
        let retirement = Retirement {
            since: now,
            unload_ordered: false,
        };
        self.retirements.insert(key, retirement);
    }

    /// Candidates for current versions that are not loaded while another version still is.
    pub(crate) fn rollout_candidates(
        &self,
        wanted: &BTreeMap<String, ArtifactDemand>,
        now: Instant,
    ) -> Vec<Candidate> {
        let mut candidates: BTreeMap<String, Candidate> = BTreeMap::new();
        for r in &self.record.plan.reservations {
            let is_outdated = r.stage == Stage::Placed && !self.is_current(r);
            let Some(spec) = self
                .specs
                .get_by_name(&r.artifact.name)
                .filter(|_| is_outdated)
            else {
                continue;
            };
            let name = spec.artifact.served_name();
            let charged = self.record.plan.charged_replicas(&name);
            if wanted.contains_key(&name) || charged > 0 {
                continue;
            }
            let candidate = Candidate {
                spec: spec.clone(),
                workspaces: BTreeMap::new(),
                since: now,
                urgency: Urgency::Rollout,
                headroom_mb: 0,
            };
            candidates.insert(name, candidate);
        }
        candidates.into_values().collect()
    }

    fn is_unneeded(
        &self,
        r: &Reservation,
        wanted: &BTreeMap<String, ArtifactDemand>,
        now: Instant,
    ) -> bool {
        let is_leaving = self
            .servers
            .get(&r.upstream)
            .is_some_and(Server::is_leaving);
        if is_leaving {
            return true;
        }
        if !self.is_ready(r) || self.has_serving_adapters(r) {
            return false;
        }
        let name = r.artifact.served_name();
        if !self.is_current(r) {
            return self.is_replaced(r, wanted) || self.is_idle(&name, now);
        }
        !wanted.contains_key(&name) && self.is_idle(&name, now)
    }

    /// Whether an outdated replica is no longer needed: the current version is ready, is blocked
    /// until the memory of this replica is free, or no longer exists in the catalog.
    fn is_replaced(&self, r: &Reservation, wanted: &BTreeMap<String, ArtifactDemand>) -> bool {
        let Some(spec) = self.specs.get_by_name(&r.artifact.name) else {
            return true;
        };
        let name = spec.artifact.served_name();
        if name == r.artifact.served_name() {
            // The adapter is loaded on an older version of its base model, under the same served
            // name. An engine can load a served name only once.
            let base = spec.artifact.base.as_deref().unwrap_or_default();
            return self.serving_reservations(base).any(|b| self.is_ready(b));
        }
        let is_ready = self
            .serving_reservations(&name)
            .any(|new| self.is_ready(new));
        let is_blocked =
            wanted.contains_key(&name) && self.serving_reservations(&name).next().is_none();
        is_ready || (is_blocked && !self.has_free_memory(spec))
    }

    fn has_free_memory(&self, spec: &ArtifactSpec) -> bool {
        self.servers.iter().any(|(upstream, server)| {
            let free_mb = server
                .memory_mb()
                .saturating_sub(self.record.plan.charged_mb(upstream));
            server.report.is_some() && !server.is_leaving() && free_mb >= spec.memory_mb
        })
    }

    fn has_serving_adapters(&self, base: &Reservation) -> bool {
        let name = base.artifact.served_name();
        let mut others = self.record.plan.on_upstream(&base.upstream);
        others.any(|r| {
            r.artifact.base.as_ref() == Some(&name)
                && matches!(r.stage, Stage::Load | Stage::Placed)
        })
    }

    /// Whether a decided load can no longer be ordered: its server is leaving, or the base model of
    /// the adapter is no longer loaded or being loaded there.
    fn can_no_longer_load(&self, r: &Reservation) -> bool {
        let is_leaving = self
            .servers
            .get(&r.upstream)
            .is_some_and(Server::is_leaving);
        let base = r.artifact.base.as_ref();
        let lost_base = base.is_some_and(|base| {
            let base = self.record.plan.find(&r.upstream, base);
            base.is_none_or(|b| !matches!(b.stage, Stage::Load | Stage::Placed))
        });
        is_leaving || lost_base
    }

    pub(crate) fn is_idle(&self, name: &str, now: Instant) -> bool {
        let Some(activity) = self.activity.get(name) else {
            return false;
        };
        let keep_for = self.policies.idle.keep_for(name);
        let keep_for = keep_for.max(self.settings.min_residency);
        activity.running_requests() == 0 && now >= activity.last_use + keep_for
    }

    /// Starts the idle time of artifacts that have no recorded use, such as those that a
    /// predecessor loaded, when they are first seen.
    fn note_first_seen(&mut self, now: Instant) {
        for r in &self.record.plan.reservations {
            let activity = self.activity.entry(r.artifact.served_name());
            activity.or_insert_with(|| ArtifactActivity {
                last_use: now,
                running_by_gate: BTreeMap::new(),
            });
        }
    }

    /// Retires replicas beyond the limit of the catalog, and one of several if one fewer has been
    /// enough for the scale-in period. At most one replica of each artifact is retired per pass.
    fn retire_surplus(&mut self, wanted: &BTreeMap<String, ArtifactDemand>, now: Instant) {
        let mut surplus = Vec::new();
        for (name, replicas) in self.ready_replicas() {
            let limit = self.specs.get(&name).map_or(0, |s| s.max_replicas);
            let exceeds_limit = replicas.len() > limit;
            let has_spare_replica = replicas.len() > 1
                && !wanted.contains_key(&name)
                && self.could_serve_with_fewer(&name, &replicas);
            if !has_spare_replica {
                self.all_replicas_needed_at.insert(name.clone(), now);
            }
            let since = self.all_replicas_needed_at.get(&name).copied();
            let is_spare_long_enough =
                since.is_some_and(|at| now >= at + self.settings.scale_in_after);
            if exceeds_limit || (has_spare_replica && is_spare_long_enough) {
                surplus.extend(replicas.last().cloned());
                self.all_replicas_needed_at.insert(name, now);
            }
        }
        for key in surplus {
            self.retire(key, now);
        }
    }

    /// Ready replicas of current artifacts, by served name. Models that serve adapters on the same
    /// engine are left out.
    fn ready_replicas(&self) -> BTreeMap<String, Vec<ReplicaKey>> {
        let mut keys: BTreeMap<String, Vec<ReplicaKey>> = BTreeMap::new();
        for r in &self.record.plan.reservations {
            if self.is_ready(r) && self.is_current(r) && !self.has_serving_adapters(r) {
                let name = r.artifact.served_name();
                let key = (r.upstream.clone(), name.clone());
                keys.entry(name).or_default().push(key);
            }
        }
        keys
    }

    /// Whether the running requests would use at most half of the slots of one replica fewer.
    fn could_serve_with_fewer(&self, name: &str, replicas: &[ReplicaKey]) -> bool {
        let running = self
            .activity
            .get(name)
            .map_or(0, ArtifactActivity::running_requests);
        let remaining = replicas.iter().skip(1);
        let slots: u32 = remaining
            .filter_map(|(upstream, _)| self.servers.get(upstream))
            .map(|s| s.config.slots)
            .sum();
        running * 2 <= slots
    }
}
