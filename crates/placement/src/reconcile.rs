//! Reconciles the plan with the reports of the engines.
//!
//! Reservations on a running engine are released only here: when the engine itself reports that
//! the artifact is gone and no load order for it may still arrive.

use std::time::Instant;

use comfreyweir_external::engine::{LoadState, LoadedArtifact, Report};

use crate::{
    holder::{FinishedLoad, Holder, LoadProgress, ReplicaKey},
    idle::IdlePolicy,
    load_order::LoadOrder,
    record::{Reservation, Stage},
    server::Server,
};

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    /// Applies a report. The caller must have requested it after all earlier orders to the engine
    /// were settled.
    pub fn apply_report(&mut self, upstream: &str, report: &Report, now: Instant) {
        let term = self.record.term;
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        server.report_requested = true;
        server.report_at = Some(now);
        server.fenced_term = report.term;
        if report.term > term {
            self.deposed = true;
            return;
        }
        if server.config.checks_fencing && report.term < term {
            // The engine may still accept an order of a predecessor, so the report is not final.
            discard_report_of_other_process(server, report);
            return;
        }
        let checks_fencing = server.config.checks_fencing;
        server.report = Some(report.clone());
        self.reconcile_reservations(upstream, report, checks_fencing);
        self.adopt_unplanned(upstream, report);
        self.track_loads(upstream, report, now);
    }

    /// Whether a report differs from the last one in more than load figures, so that a placement
    /// pass is needed.
    pub fn needs_placement_pass(&self, upstream: &str, report: &Report) -> bool {
        let server = self.servers.get(upstream);
        let known = server.and_then(|s| s.report.as_ref());
        known.is_none_or(|known| {
            known.incarnation != report.incarnation
                || known.term != report.term
                || known.loaded != report.loaded
        })
    }

    /// Records that a request for a report failed.
    pub fn note_report_failure(&mut self, upstream: &str) {
        if let Some(server) = self.servers.get_mut(upstream) {
            server.report_requested = true;
        }
    }

    fn reconcile_reservations(&mut self, upstream: &str, report: &Report, checks_fencing: bool) {
        let mut needs_new_term = false;
        let term = self.record.term;
        self.record.plan.reservations.retain_mut(|r| {
            if r.upstream != upstream {
                return true;
            }
            let keep = reconcile_reservation(r, report, checks_fencing);
            needs_new_term |= keep
                && checks_fencing
                && r.stage == Stage::Held
                && r.unsettled_load_term == Some(term);
            keep
        });
        self.needs_new_term |= needs_new_term;
        let plan = &self.record.plan;
        self.retirements.retain(|(u, name), _| {
            u != upstream || plan.find(u, name).is_some_and(|r| r.stage == Stage::Retire)
        });
    }

    /// Adds reservations for artifacts that the engine reports and the plan does not contain.
    fn adopt_unplanned(&mut self, upstream: &str, report: &Report) {
        for loaded in &report.loaded {
            let name = loaded.artifact.served_name();
            if self.record.plan.find(upstream, &name).is_some() {
                continue;
            }
            let reservation = adopted_reservation(upstream, loaded, report.incarnation);
            self.record.plan.reservations.push(reservation);
        }
    }

    /// Updates load times, and tracks loads that this holder did not order.
    fn track_loads(&mut self, upstream: &str, report: &Report, now: Instant) {
        for loaded in &report.loaded {
            let name = loaded.artifact.served_name();
            let key: ReplicaKey = (upstream.to_owned(), name.clone());
            match loaded.state {
                LoadState::Loading => {
                    let tier = self.servers[upstream].tier(&name);
                    let progress = LoadProgress { since: now, tier };
                    self.loads_in_progress.entry(key).or_insert(progress);
                }
                LoadState::Ready => self.finish_load(&key, now),
                LoadState::Unloading => {}
            }
        }
        self.loads_in_progress.retain(|(u, name), _| {
            let mut loaded = report.loaded.iter();
            u != upstream || loaded.any(|l| l.artifact.served_name() == *name)
        });
    }

    fn finish_load(&mut self, key: &ReplicaKey, now: Instant) {
        let Some(progress) = self.loads_in_progress.remove(key) else {
            return;
        };
        // Idle time counts from when the replica became ready.
        if let Some(activity) = self.activity.get_mut(&key.1) {
            activity.last_use = activity.last_use.max(now);
        }
        let took = now.duration_since(progress.since);
        if let Some(spec) = self.specs.get(&key.1) {
            self.load_times.observe(spec, progress.tier, took);
            self.finished_loads.push(FinishedLoad {
                artifact: key.1.clone(),
                tier: progress.tier,
                took,
            });
        }
    }
}

fn discard_report_of_other_process(server: &mut Server, report: &Report) {
    let known = server.report.as_ref();
    if known.is_some_and(|r| r.incarnation != report.incarnation) {
        server.report = None;
    }
}

/// Updates a reservation from the engine's report. Returns whether to keep it.
fn reconcile_reservation(r: &mut Reservation, report: &Report, checks_fencing: bool) -> bool {
    let mut loaded = report.loaded.iter();
    let reported = loaded.find(|l| l.artifact.served_name() == r.artifact.served_name());
    let restarted = r.incarnation != report.incarnation;
    r.incarnation = report.incarnation;
    let is_load_fenced = checks_fencing && r.unsettled_load_term < Some(report.term);
    let is_load_lost = !checks_fencing && restarted;
    if is_load_fenced || is_load_lost {
        r.unsettled_load_term = None;
    }
    match reported {
        Some(loaded) => {
            reconcile_present(r, loaded);
            true
        }
        None => reconcile_absent(r, restarted),
    }
}

fn reconcile_present(r: &mut Reservation, loaded: &LoadedArtifact) {
    r.memory_mb = r.memory_mb.max(loaded.memory_mb);
    let is_unloading = loaded.state == LoadState::Unloading;
    r.stage = match r.stage {
        // An earlier replica is still unloading; the load is ordered once it is gone.
        Stage::Load if is_unloading => Stage::Load,
        Stage::Placed | Stage::Held if is_unloading => Stage::Retire,
        Stage::Load | Stage::Placed | Stage::Held => Stage::Placed,
        Stage::Retire => Stage::Retire,
    };
}

/// Updates a reservation whose artifact the engine does not report. Returns whether to keep it.
fn reconcile_absent(r: &mut Reservation, restarted: bool) -> bool {
    if r.stage == Stage::Load && !restarted {
        return true;
    }
    r.stage = Stage::Held;
    r.unsettled_load_term.is_some()
}

fn adopted_reservation(upstream: &str, loaded: &LoadedArtifact, incarnation: u64) -> Reservation {
    let stage = if loaded.state == LoadState::Unloading {
        Stage::Retire
    } else {
        Stage::Placed
    };
    Reservation {
        upstream: upstream.to_owned(),
        artifact: loaded.artifact.clone(),
        memory_mb: loaded.memory_mb,
        incarnation,
        stage,
        unsettled_load_term: None,
        decision: 0,
    }
}
