//! Decides whether the revision in force is recent enough to be used. Does no input or output.
//!
//! The withdrawal of a key is accepted once the service has stored it. A process may therefore
//! admit requests only while it has evidence that no newer revision can have been accepted for
//! longer than the cut-off time. Evidence is dated by the start of the call that gave it, and its
//! age is checked at every query, so a process that was frozen finds its evidence expired as soon
//! as it resumes. After a process has refused requests for lack of evidence, only calls that began
//! later count: an answer that was delayed on the way may be older than a withdrawal.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::peers::Peer;

/// How recent the configuration of a process is known to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// In contact with the service, or with a peer that is.
    Current,
    /// The service is down for all peers: no change can be accepted, so the last revision remains
    /// in force.
    ServiceDown,
    /// Neither the service nor enough peers could be reached within the cut-off time.
    CutOff,
}

/// Status of a peer, learned by a call to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerStatus {
    /// The peer itself reached the service within the contact period.
    InContact,
    /// The peer is running; it tried to reach the service within the contact period and failed.
    NoContact,
    /// No process listens at the peer's address any more.
    NotRunning,
}

/// Calls to the service and to peers that show how recent the configuration is.
///
/// A process reports only its own contact with the service to its peers:
/// [`ContactRecord::in_contact`] ignores what peers have reported, so two peers cannot keep each
/// other current without the service.
#[derive(Clone, Debug)]
pub struct ContactRecord {
    cut_off: Duration,
    /// Start of the latest call to the service that showed the revision in force.
    last_success: Option<Instant>,
    /// Start of the latest call to the service that failed.
    last_failure: Option<Instant>,
    /// Latest status of each peer, with the start of the call that gave it.
    peers: HashMap<SocketAddr, (Instant, PeerStatus)>,
    /// Whether there has been sufficient evidence before. Until then no cut-off is recorded: a
    /// process that has just started has not refused any request that it would have admitted.
    had_evidence: bool,
    /// Time of the first query answered with [`Freshness::CutOff`] since evidence was last
    /// sufficient.
    cut_off_since: Option<Instant>,
}

impl ContactRecord {
    /// Creates a record without any calls.
    pub fn new(cut_off: Duration) -> Self {
        Self {
            cut_off,
            last_success: None,
            last_failure: None,
            peers: HashMap::new(),
            had_evidence: false,
            cut_off_since: None,
        }
    }

    /// Maximum age of evidence that comes through a peer. It applies both at the peer and here, so
    /// that the sum stays within the cut-off time.
    pub fn contact_period(&self) -> Duration {
        self.cut_off / 2
    }

    /// Records that a call to the service that began at `began` showed the revision in force.
    pub fn record_service_success(&mut self, began: Instant) {
        self.last_success = self.last_success.max(Some(began));
    }

    /// Records that a call to the service that began at `began` was not answered.
    pub fn record_service_failure(&mut self, began: Instant) {
        self.last_failure = self.last_failure.max(Some(began));
    }

    /// Records the status of a peer from a call that began at `began`. `InContact` may be recorded
    /// only if the peer's revision is not higher than the one in force here.
    pub fn record_peer_status(&mut self, peer: SocketAddr, began: Instant, status: PeerStatus) {
        self.peers.insert(peer, (began, status));
    }

    /// Whether this process itself reached the service within the contact period.
    pub fn in_contact(&self, now: Instant) -> bool {
        self.last_success
            .is_some_and(|at| age(at, now) <= self.contact_period())
    }

    /// Contact status to report to peers: whether this process is in contact with the service, or
    /// `None` while that is not known. A process that has just been started or resumed has not
    /// tried to reach the service yet, which does not count as a failure.
    pub fn report(&self, now: Instant) -> Option<bool> {
        if self.in_contact(now) {
            return Some(true);
        }
        self.has_failed(now).then_some(false)
    }

    /// Freshness of the revision in force at `now`, given the listed peers.
    ///
    /// [`Freshness::ServiceDown`] requires that this process has recently failed to reach the
    /// service, that it has heard from a majority of the fleet, and that a running peer without
    /// contact was heard in every availability zone. Otherwise a zone that is partitioned from the
    /// service and from the other zones could not tell that from an outage of the service, while a
    /// withdrawal may still be accepted outside it.
    pub fn freshness(&mut self, listed: &[Peer], now: Instant) -> Freshness {
        let freshness = self.evaluate(listed, now);
        if freshness != Freshness::CutOff {
            self.had_evidence = true;
            self.cut_off_since = None;
        } else if self.had_evidence {
            self.cut_off_since.get_or_insert(now);
        }
        freshness
    }

    fn evaluate(&self, listed: &[Peer], now: Instant) -> Freshness {
        let is_valid =
            |at| age(at, now) <= self.cut_off && self.is_after_cut_off(at, Duration::ZERO);
        if self.last_success.is_some_and(is_valid) {
            return Freshness::Current;
        }
        let status_of = |peer: &Peer| self.valid_status(peer.addr, now);
        if listed
            .iter()
            .any(|p| status_of(p) == Some(PeerStatus::InContact))
        {
            return Freshness::Current;
        }
        if self.has_failed(now)
            && self.is_majority_heard(listed, now)
            && self.is_every_zone_heard(listed, now)
        {
            return Freshness::ServiceDown;
        }
        Freshness::CutOff
    }

    fn has_failed(&self, now: Instant) -> bool {
        self.last_failure
            .is_some_and(|at| age(at, now) <= self.contact_period())
    }

    /// Whether this process and the peers that were heard are the majority of the fleet.
    fn is_majority_heard(&self, listed: &[Peer], now: Instant) -> bool {
        let answered = listed
            .iter()
            .filter(|p| self.valid_status(p.addr, now).is_some())
            .count();
        let unheard = listed.len() - answered;
        answered > 0 && answered + 1 > unheard
    }

    /// Whether a running peer without contact was heard in every zone. A process that has ended
    /// does not show what can be reached from its zone.
    fn is_every_zone_heard(&self, listed: &[Peer], now: Instant) -> bool {
        let lacks_contact =
            |p: &&Peer| self.valid_status(p.addr, now) == Some(PeerStatus::NoContact);
        let covered: BTreeSet<&str> = listed.iter().filter(lacks_contact).map(zone).collect();
        listed.iter().map(zone).all(|z| covered.contains(z))
    }

    /// Discards the status of peers that are no longer polled.
    pub fn retain(&mut self, polled: &[Peer]) {
        self.peers
            .retain(|addr, _| polled.iter().any(|p| p.addr == *addr));
    }

    fn valid_status(&self, peer: SocketAddr, now: Instant) -> Option<PeerStatus> {
        let (at, status) = self.peers.get(&peer)?;
        // A peer in contact may have reached the service this long before the call to the peer.
        let max_lag = match status {
            PeerStatus::InContact => self.contact_period(),
            PeerStatus::NoContact | PeerStatus::NotRunning => Duration::ZERO,
        };
        let is_usable =
            age(*at, now) <= self.contact_period() && self.is_after_cut_off(*at, max_lag);
        is_usable.then_some(*status)
    }

    /// Whether evidence that is at most `max_lag` older than `at` was obtained after the cut-off;
    /// always true while this process is not cut off.
    fn is_after_cut_off(&self, at: Instant, max_lag: Duration) -> bool {
        self.cut_off_since.is_none_or(|since| at >= since + max_lag)
    }
}

fn zone(peer: &Peer) -> &str {
    &peer.zone
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
