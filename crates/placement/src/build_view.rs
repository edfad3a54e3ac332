//! Builds the view that is published to the gates: replicas, upstream loads, and artifacts that
//! cannot be ready in time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use comfreyweir_external::engine::CheckpointTier;

use crate::{
    artifact_spec::ArtifactSpec,
    demand::ArtifactDemand,
    holder::Holder,
    idle::IdlePolicy,
    load_order::{Candidate, LoadOrder},
    record::{Reservation, Stage},
    view::{Refusal, Replica, UpstreamLoad, View},
};

/// Retry delay for artifacts that do not fit on any server.
const NO_SERVER_RETRY: Duration = Duration::from_mins(1);

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    /// Returns the view to publish to the gates.
    pub fn view(&self, now: Instant) -> View {
        View {
            replicas: self.replicas(now),
            loads: self.loads(now),
            refusals: self.refusals.clone(),
        }
    }

    /// Number of idle accelerators: the sum over ready replicas without running requests, each
    /// weighted by the fraction of its server's memory that it uses.
    pub fn idle_accelerators(&self) -> f64 {
        let reservations = self.record.plan.reservations.iter();
        let idle = reservations.filter(|r| self.is_ready(r) && !self.has_running_requests(r));
        idle.filter_map(|r| {
            let server = self.servers.get(&r.upstream)?;
            Some(fraction(r.memory_mb, server.memory_mb()))
        })
        .sum()
    }

    fn has_running_requests(&self, r: &Reservation) -> bool {
        let activity = self.activity.get(&r.artifact.served_name());
        activity.is_some_and(|a| a.running_requests() > 0)
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
                self.remaining_load_time(r, now).unwrap_or(Duration::ZERO)
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

    /// Expected time until a load ends; `None` until a load of the same class has been observed, or
    /// if the catalog does not name the artifact.
    pub(crate) fn remaining_load_time(&self, r: &Reservation, now: Instant) -> Option<Duration> {
        let name = r.artifact.served_name();
        let spec = self.specs.get(&name)?;
        let key = (r.upstream.clone(), name.clone());
        if let Some(progress) = self.loads_in_progress.get(&key) {
            let age = now.duration_since(progress.since);
            self.load_times.remaining(spec, progress.tier, age)
        } else {
            let tier = self.servers.get(&r.upstream)?.tier(&name);
            self.load_times.expected(spec, tier)
        }
    }

    /// Artifacts that are not expected to be ready by the earliest deadline of their waiting
    /// requests.
    pub(crate) fn find_refusals(
        &self,
        wanted: &BTreeMap<String, ArtifactDemand>,
        waiting: &[Candidate],
        now: Instant,
    ) -> Vec<Refusal> {
        let queued = self.queued_load_refusals(waiting, now);
        let mut refusals = Vec::new();
        for (name, demand) in wanted {
            let Some(deadline) = demand.deadline() else {
                continue;
            };
            let refusal = match queued.get(name) {
                Some(refusal) => refusal.clone(),
                None => self.running_load_refusal(name, now),
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

    /// Refusal with the expected ready time of an artifact that is being loaded, whatever its
    /// deadline; `None` if a replica is ready or the time cannot be estimated.
    fn running_load_refusal(&self, name: &str, now: Instant) -> Option<Refusal> {
        if self.serving_reservations(name).any(|r| self.is_ready(r)) {
            return None;
        }
        let remaining = self
            .serving_reservations(name)
            .map(|r| self.remaining_load_time(r, now));
        let ready_in = remaining.collect::<Option<Vec<_>>>()?.into_iter().min()?;
        Some(Refusal {
            artifact: name.to_owned(),
            ready_in,
            reason: "the model is loading and will not be ready in time".to_owned(),
        })
    }

    /// Refusals with the expected ready times of artifacts whose load has not been decided yet, by
    /// served name and whatever their deadlines. `waiting` is in load order. The value is `None` if
    /// the time cannot be estimated.
    fn queued_load_refusals(
        &self,
        waiting: &[Candidate],
        now: Instant,
    ) -> BTreeMap<String, Option<Refusal>> {
        let mut free_times = self.store_slot_free_times(now);
        let mut refusals = BTreeMap::new();
        for candidate in waiting {
            let name = candidate.spec.artifact.served_name();
            let refusal = if self.exceeds_every_server(candidate) {
                Some(new_refusal(
                    &name,
                    NO_SERVER_RETRY,
                    "no server has the memory for the model",
                ))
            } else {
                self.queued_load_refusal(&candidate.spec, &mut free_times)
            };
            refusals.insert(name, refusal);
        }
        refusals
    }

    fn queued_load_refusal(
        &self,
        spec: &ArtifactSpec,
        free_times: &mut [Duration],
    ) -> Option<Refusal> {
        let load_time = self.load_times.expected(spec, CheckpointTier::Remote)?;
        free_times.sort();
        let earliest = free_times.first_mut()?;
        *earliest += load_time;
        let reason = "other models are loaded first, and it will not be ready in time";
        Some(new_refusal(&spec.artifact.served_name(), *earliest, reason))
    }

    /// Time until each load slot of the weight store becomes free; zero for a free slot. Every
    /// model that is loading counts, also from a local tier.
    fn store_slot_free_times(&self, now: Instant) -> Vec<Duration> {
        let plan = &self.record.plan;
        let loading = plan.reservations.iter().filter(|r| {
            let is_model = r.artifact.base.is_none();
            is_model && matches!(r.stage, Stage::Load | Stage::Placed) && !self.is_ready(r)
        });
        let mut free_times: Vec<Duration> = loading
            .map(|r| self.remaining_load_time(r, now).unwrap_or_default())
            .collect();
        if free_times.len() < self.settings.max_model_loads {
            free_times.resize(self.settings.max_model_loads, Duration::ZERO);
        }
        free_times
    }

    /// Whether the artifact needs more memory than any server of the cell has in total. Servers
    /// that are leaving do not count.
    fn exceeds_every_server(&self, candidate: &Candidate) -> bool {
        let needed_mb = candidate.spec.memory_mb;
        let mut engines = self.servers.values().filter(|s| s.is_engine());
        !engines.any(|s| s.memory_mb() >= needed_mb && !s.is_leaving())
    }
}

fn new_refusal(name: &str, ready_in: Duration, reason: &str) -> Refusal {
    Refusal {
        artifact: name.to_owned(),
        ready_in,
        reason: reason.to_owned(),
    }
}

// Memory sizes are far below 2^52 MB.
#[allow(clippy::cast_precision_loss)]
fn fraction(part_mb: u64, whole_mb: u64) -> f64 {
    part_mb as f64 / whole_mb.max(1) as f64
}
