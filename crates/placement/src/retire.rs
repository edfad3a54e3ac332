//! Decides which replicas go: idle, outdated, surplus, or on a server that is leaving.

use std::{collections::BTreeMap, time::Instant};

use crate::{
    demand::Wanted,
    holder::{Activity, Holder, Place, Retiring},
    idle::IdlePolicy,
    order::{Candidate, LoadOrder, Urgency},
    record::{Reservation, Stage},
    server::Server,
    spec::Spec,
};

impl<O, I> Holder<O, I>
where
    O: LoadOrder,
    I: IdlePolicy,
{
    pub(crate) fn retire_unneeded(&mut self, wanted: &BTreeMap<String, Wanted>, now: Instant) {
        self.note_adopted(now);
        let mut unneeded = Vec::new();
        let mut hopeless = Vec::new();
        for r in &self.record.plan.reservations {
            let place = (r.upstream.clone(), r.artifact.served_name());
            match r.stage {
                Stage::Placed if self.is_unneeded(r, wanted, now) => unneeded.push(place),
                Stage::Load if self.is_hopeless(r) => hopeless.push(place),
                _ => {}
            }
        }
        for place in unneeded {
            self.retire(place, now);
        }
        for place in hopeless {
            // The engine's next report gives the reservation back.
            self.change_stage(&place.0, &place.1, Stage::Held);
        }
        self.retire_surplus(wanted, now);
    }

    /// Takes a replica out of the view; its unload is ordered after a grace period.
    pub(crate) fn retire(&mut self, place: Place, now: Instant) {
        self.change_stage(&place.0, &place.1, Stage::Retire);
        let retiring = Retiring {
            since: now,
            ordered: false,
        };
        self.retiring.insert(place, retiring);
    }

    /// Candidates for versions in force whose older versions are still in use.
    pub(crate) fn rolls(&self, wanted: &BTreeMap<String, Wanted>, now: Instant) -> Vec<Candidate> {
        let mut rolls: BTreeMap<String, Candidate> = BTreeMap::new();
        for r in &self.record.plan.reservations {
            let is_old = r.stage == Stage::Placed && !self.is_current(r);
            let Some(spec) = self.specs.named(&r.artifact.name).filter(|_| is_old) else {
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
                urgency: Urgency::Roll,
                headroom_mb: 0,
            };
            rolls.insert(name, candidate);
        }
        rolls.into_values().collect()
    }

    fn is_unneeded(
        &self,
        r: &Reservation,
        wanted: &BTreeMap<String, Wanted>,
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

    /// Whether the version in force serves already, or waits for the memory of this one.
    fn is_replaced(&self, r: &Reservation, wanted: &BTreeMap<String, Wanted>) -> bool {
        let Some(spec) = self.specs.named(&r.artifact.name) else {
            return true;
        };
        let name = spec.artifact.served_name();
        if name == r.artifact.served_name() {
            // An adapter of an older version of its model: the name can be loaded only once.
            let base = spec.artifact.base.as_deref().unwrap_or_default();
            return self.serving(base).any(|b| self.is_ready(b));
        }
        let is_ready = self.serving(&name).any(|new| self.is_ready(new));
        let is_blocked = wanted.contains_key(&name) && self.serving(&name).next().is_none();
        is_ready || (is_blocked && !self.has_room(spec))
    }

    fn has_room(&self, spec: &Spec) -> bool {
        self.servers.iter().any(|(upstream, server)| {
            let free = server
                .memory_mb()
                .saturating_sub(self.record.plan.charged_mb(upstream));
            server.report.is_some() && !server.is_leaving() && free >= spec.memory_mb
        })
    }

    fn has_serving_adapters(&self, base: &Reservation) -> bool {
        let name = base.artifact.served_name();
        let mut others = self.record.plan.on(&base.upstream);
        others.any(|r| {
            r.artifact.base.as_ref() == Some(&name)
                && matches!(r.stage, Stage::Load | Stage::Placed)
        })
    }

    /// Whether a load can no longer be ordered: its server is leaving, or its model went away.
    fn is_hopeless(&self, r: &Reservation) -> bool {
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
        let keep = self.policies.idle.keep_for(name);
        let keep = keep.max(self.settings.min_residency);
        activity.running() == 0 && now >= activity.last_use + keep
    }

    /// Artifacts that a predecessor has loaded count as used when they are first seen.
    fn note_adopted(&mut self, now: Instant) {
        for r in &self.record.plan.reservations {
            let activity = self.activity.entry(r.artifact.served_name());
            activity.or_insert_with(|| Activity {
                last_use: now,
                running: BTreeMap::new(),
            });
        }
    }

    /// Gives up replicas beyond the number in force, and one of several that are mostly unused.
    fn retire_surplus(&mut self, wanted: &BTreeMap<String, Wanted>, now: Instant) {
        let mut surplus = Vec::new();
        for (name, replicas) in self.ready_places() {
            let limit = self.specs.get(&name).map_or(0, |s| s.replicas);
            let is_over = replicas.len() > limit;
            let is_roomy = replicas.len() > 1
                && !wanted.contains_key(&name)
                && self.fits_in_fewer(&name, &replicas);
            if !is_roomy {
                self.crowded_at.insert(name.clone(), now);
            }
            let since = self.crowded_at.get(&name).copied();
            let is_unused = since.is_some_and(|at| now >= at + self.settings.scale_in_after);
            if is_over || (is_roomy && is_unused) {
                surplus.extend(replicas.last().cloned());
                self.crowded_at.insert(name, now);
            }
        }
        for place in surplus {
            self.retire(place, now);
        }
    }

    /// Replicas that are ready, by served name.
    fn ready_places(&self) -> BTreeMap<String, Vec<Place>> {
        let mut places: BTreeMap<String, Vec<Place>> = BTreeMap::new();
        for r in &self.record.plan.reservations {
            if self.is_ready(r) && self.is_current(r) && !self.has_serving_adapters(r) {
                let name = r.artifact.served_name();
                let place = (r.upstream.clone(), name.clone());
                places.entry(name).or_default().push(place);
            }
        }
        places
    }

    /// Whether one replica fewer would be at most half busy.
    fn fits_in_fewer(&self, name: &str, replicas: &[Place]) -> bool {
        let running = self.activity.get(name).map_or(0, Activity::running);
        let rest = replicas.iter().skip(1);
        let slots: u32 = rest
            .filter_map(|(upstream, _)| self.servers.get(upstream))
            .map(|s| s.config.slots)
            .sum();
        running * 2 <= slots
    }
}
