//! What gates are told: replicas, loads of the upstreams, and demand that cannot be met in time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyweir_external::engine::CheckpointTier;

use crate::{
    demand::Wanted,
    holder::Holder,
    idle::IdlePolicy,
    order::{Candidate, LoadOrder},
    record::{Reservation, Stage},
    spec::Spec,
    view::{Refusal, Replica, UpstreamLoad, View},
};

/// When a caller may ask again for an artifact that no server can hold.
const NO_SERVER_RETRY: Duration = Duration::from_mins(1);

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    /// What gates are told now.
    pub fn view(&self, now: Instant) -> View {
        View {
            replicas: self.replicas(now),
            loads: self.loads(now),
            refusals: self.refusals.clone(),
        }
    }

    /// Ready replicas of models without running requests, each counted by its share of the
    /// server's memory.
    pub fn idle_accelerators(&self) -> f64 {
        let ready = self.record.plan.reservations.iter();
        let idle = ready.filter(|r| self.is_ready(r) && !self.is_running(r));
        idle.filter_map(|r| {
            let server = self.servers.get(&r.upstream)?;
            Some(share(r.memory_mb, server.memory_mb()))
        })
        .sum()
    }

    fn is_running(&self, r: &Reservation) -> bool {
        let activity = self.activity.get(&r.artifact.served_name());
        activity.is_some_and(|a| a.running() > 0)
    }

    fn replicas(&self, now: Instant) -> Vec<Replica> {
        let mut replicas = Vec::new();
        for r in &self.record.plan.reservations {
            let Some(server) = self.servers.get(&r.upstream) else {
                continue;
            };
            if server.is_leaving() || !matches!(r.stage, Stage::Load | Stage::Placed) {
                continue;
            }
            let ready = self.is_ready(r) && server.is_reachable(now);
            let ready_in = if ready {
                Duration::ZERO
            } else {
                self.remaining(r, now).unwrap_or(Duration::ZERO)
            };
            replicas.push(Replica {
                upstream: r.upstream.clone(),
                artifact: r.artifact.served_name(),
                ready,
                ready_in,
            });
        }
        replicas
    }

    fn loads(&self, now: Instant) -> Vec<UpstreamLoad> {
        let servers = self.servers.iter();
        servers
            .map(|(name, server)| {
                let report = server.report.as_ref();
                let lag = report.map_or(0, |r| r.load_age_ms);
                let age = server.report_at.map(|at| now.duration_since(at));
                UpstreamLoad {
                    upstream: name.clone(),
                    running: report.map_or(0, |r| r.running),
                    waiting: report.map_or(0, |r| r.waiting),
                    age: age.unwrap_or_default() + Duration::from_millis(lag),
                    reachable: !server.is_engine() || server.is_reachable(now),
                    leaving: server.is_leaving(),
                }
            })
            .collect()
    }

    /// Expected time until a load ends; `None` while loads of its class have not been seen.
    pub(crate) fn remaining(&self, r: &Reservation, now: Instant) -> Option<Duration> {
        let name = r.artifact.served_name();
        let spec = self.specs.get(&name)?;
        let place = (r.upstream.clone(), name.clone());
        if let Some(progress) = self.progress.get(&place) {
            let age = now.duration_since(progress.since);
            self.load_times.remaining(spec, progress.tier, age)
        } else {
            let tier = self.servers.get(&r.upstream)?.tier(&name);
            self.load_times.expect(spec, tier)
        }
    }

    /// Demand that cannot be met before some waiting request's deadline.
    pub(crate) fn refusals_of(
        &self,
        wanted: &BTreeMap<String, Wanted>,
        waiting: &[Candidate],
        now: Instant,
    ) -> Vec<Refusal> {
        let queue = self.queue_outlook(waiting, now);
        let mut refusals = Vec::new();
        for (name, demand) in wanted {
            let Some(deadline) = demand.deadline() else {
                continue;
            };
            let refusal = match queue.get(name) {
                Some(refusal) => refusal.clone(),
                None => self.loading_outlook(name, now),
            };
            let Some(refusal) = refusal else {
                continue;
            };
            if now + refusal.ready_in > deadline {
                refusals.push(refusal);
            }
        }
        refusals
    }

    /// When an artifact that is being loaded is expected; `None` when it is ready or not known.
    fn loading_outlook(&self, name: &str, now: Instant) -> Option<Refusal> {
        if self.serving(name).any(|r| self.is_ready(r)) {
            return None;
        }
        let remaining = self.serving(name).map(|r| self.remaining(r, now));
        let ready_in = remaining.collect::<Option<Vec<_>>>()?.into_iter().min()?;
        Some(Refusal {
            artifact: name.to_owned(),
            ready_in,
            reason: "the model is loading and will not be ready in time".to_owned(),
        })
    }

    /// When artifacts whose load has not been decided yet are expected, in the order of loads.
    fn queue_outlook(
        &self,
        waiting: &[Candidate],
        now: Instant,
    ) -> BTreeMap<String, Option<Refusal>> {
        let mut slots = self.store_slots(now);
        let mut outlook = BTreeMap::new();
        for candidate in waiting {
            let name = candidate.spec.artifact.served_name();
            let refusal = if self.fits_nowhere(candidate) {
                Some(refusal(
                    &name,
                    NO_SERVER_RETRY,
                    "no server has the memory for the model",
                ))
            } else {
                self.queued(&candidate.spec, &mut slots)
            };
            outlook.insert(name, refusal);
        }
        outlook
    }

    fn queued(&self, spec: &Spec, slots: &mut [Duration]) -> Option<Refusal> {
        let took = self.load_times.expect(spec, CheckpointTier::Remote)?;
        slots.sort();
        let slot = slots.first_mut()?;
        *slot += took;
        let reason = "other models are loaded first, and it will not be ready in time";
        Some(refusal(&spec.artifact.served_name(), *slot, reason))
    }

    /// Times after which the loads from the weight store end.
    fn store_slots(&self, now: Instant) -> Vec<Duration> {
        let plan = &self.record.plan;
        let loading = plan.reservations.iter().filter(|r| {
            let is_model = r.artifact.base.is_none();
            is_model && matches!(r.stage, Stage::Load | Stage::Placed) && !self.is_ready(r)
        });
        let mut slots: Vec<Duration> = loading
            .map(|r| self.remaining(r, now).unwrap_or_default())
            .collect();
        if slots.len() < self.settings.store_models {
            slots.resize(self.settings.store_models, Duration::ZERO);
        }
        slots
    }

    /// Whether no server of the cell could hold the artifact, even if it were empty.
    fn fits_nowhere(&self, candidate: &Candidate) -> bool {
        let need = candidate.spec.memory_mb;
        let mut engines = self.servers.values().filter(|s| s.is_engine());
        !engines.any(|s| s.memory_mb() >= need && !s.is_leaving())
    }
}

fn refusal(name: &str, ready_in: Duration, reason: &str) -> Refusal {
    Refusal {
        artifact: name.to_owned(),
        ready_in,
        reason: reason.to_owned(),
    }
}

// Memory sizes are far below 2^52 MB.
#[allow(clippy::cast_precision_loss)]
fn share(part_mb: u64, whole_mb: u64) -> f64 {
    part_mb as f64 / whole_mb.max(1) as f64
}
