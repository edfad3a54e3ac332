//! Reports of the engines, and what they settle.
//!
//! Memory and replica count return only here: when the engine itself reports an artifact gone
//! and no load order for it may still arrive.

use std::time::Instant;

use comfreyweir_external::engine::{LoadState, Loaded, Report};

use crate::{
    holder::{FinishedLoad, Holder, Place, Progress},
    idle::IdlePolicy,
    order::LoadOrder,
    record::{Reservation, Stage},
    server::Server,
};

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    /// Takes a report that was asked for after every earlier order to the engine was settled.
    pub fn report_read(&mut self, upstream: &str, report: &Report, now: Instant) {
        let term = self.record.term;
        let Some(server) = self.servers.get_mut(upstream) else {
            return;
        };
        server.asked = true;
        server.report_at = Some(now);
        server.fenced_term = report.term;
        if report.term > term {
            self.deposed = true;
            return;
        }
        if server.config.checks_fencing && report.term < term {
            // An order of a predecessor may still be taken, so the report settles nothing.
            forget_other_process(server, report);
            return;
        }
        let checks = server.config.checks_fencing;
        server.report = Some(report.clone());
        self.settle_reservations(upstream, report, checks);
        self.adopt(upstream, report);
        self.follow_loads(upstream, report, now);
    }

    /// Whether a report shows anything but new load figures, so that it calls for a decision.
    pub fn is_news(&self, upstream: &str, report: &Report) -> bool {
        let server = self.servers.get(upstream);
        let known = server.and_then(|s| s.report.as_ref());
        known.is_none_or(|known| {
            known.incarnation != report.incarnation
                || known.term != report.term
                || known.loaded != report.loaded
        })
    }

    /// Notes that an engine did not give a report.
    pub fn report_failed(&mut self, upstream: &str) {
        if let Some(server) = self.servers.get_mut(upstream) {
            server.asked = true;
        }
    }

    fn settle_reservations(&mut self, upstream: &str, report: &Report, checks: bool) {
        let mut needs_new_term = false;
        let term = self.record.term;
        self.record.plan.reservations.retain_mut(|r| {
            if r.upstream != upstream {
                return true;
            }
            let keep = settle(r, report, checks);
            needs_new_term |= keep && checks && r.stage == Stage::Held && r.stray == Some(term);
            keep
        });
        self.needs_new_term |= needs_new_term;
        let plan = &self.record.plan;
        self.retiring.retain(|(u, name), _| {
            u != upstream || plan.find(u, name).is_some_and(|r| r.stage == Stage::Retire)
        });
    }

    /// Enters what the engine holds without a decision that is known here.
    fn adopt(&mut self, upstream: &str, report: &Report) {
        for loaded in &report.loaded {
            let name = loaded.artifact.served_name();
            if self.record.plan.find(upstream, &name).is_some() {
                continue;
            }
            let reservation = adopted(upstream, loaded, report.incarnation);
            self.record.plan.reservations.push(reservation);
        }
    }

    /// Learns load times, and follows loads that this holder did not order.
    fn follow_loads(&mut self, upstream: &str, report: &Report, now: Instant) {
        for loaded in &report.loaded {
            let name = loaded.artifact.served_name();
            let place: Place = (upstream.to_owned(), name.clone());
            match loaded.state {
                LoadState::Loading => {
                    let tier = self.servers[upstream].tier(&name);
                    let progress = Progress { since: now, tier };
                    self.progress.entry(place).or_insert(progress);
                }
                LoadState::Ready => self.finish_load(&place, now),
                LoadState::Unloading => {}
            }
        }
        self.progress.retain(|(u, name), _| {
            let mut loaded = report.loaded.iter();
            u != upstream || loaded.any(|l| l.artifact.served_name() == *name)
        });
    }

    fn finish_load(&mut self, place: &Place, now: Instant) {
        let Some(progress) = self.progress.remove(place) else {
            return;
        };
        // A replica that has just become ready is not idle yet.
        if let Some(activity) = self.activity.get_mut(&place.1) {
            activity.last_use = activity.last_use.max(now);
        }
        let took = now.duration_since(progress.since);
        if let Some(spec) = self.specs.get(&place.1) {
            self.load_times.observe(spec, progress.tier, took);
            self.finished.push(FinishedLoad {
                artifact: place.1.clone(),
                tier: progress.tier,
                took,
            });
        }
    }
}

fn forget_other_process(server: &mut Server, report: &Report) {
    let known = server.report.as_ref();
    if known.is_some_and(|r| r.incarnation != report.incarnation) {
        server.report = None;
    }
}

/// Brings a reservation in line with the engine's report. Returns whether it stays.
fn settle(r: &mut Reservation, report: &Report, checks: bool) -> bool {
    let mut loaded = report.loaded.iter();
    let state = loaded.find(|l| l.artifact.served_name() == r.artifact.served_name());
    let restarted = r.incarnation != report.incarnation;
    r.incarnation = report.incarnation;
    let refuses_stray = checks && r.stray < Some(report.term);
    let lost_stray = !checks && restarted;
    if refuses_stray || lost_stray {
        r.stray = None;
    }
    match state {
        Some(loaded) => {
            settle_present(r, loaded);
            true
        }
        None => settle_absent(r, restarted),
    }
}

fn settle_present(r: &mut Reservation, loaded: &Loaded) {
    r.memory_mb = r.memory_mb.max(loaded.memory_mb);
    let is_unloading = loaded.state == LoadState::Unloading;
    r.stage = match r.stage {
        Stage::Load if is_unloading => Stage::Load,
        Stage::Placed | Stage::Held if is_unloading => Stage::Retire,
        Stage::Load | Stage::Placed | Stage::Held => Stage::Placed,
        Stage::Retire => Stage::Retire,
    };
}

/// A reservation whose artifact the engine does not have. Returns whether it stays.
fn settle_absent(r: &mut Reservation, restarted: bool) -> bool {
    if r.stage == Stage::Load && !restarted {
        return true;
    }
    r.stage = Stage::Held;
    r.stray.is_some()
}

fn adopted(upstream: &str, loaded: &Loaded, incarnation: u64) -> Reservation {
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
        stray: None,
        decision: 0,
    }
}
