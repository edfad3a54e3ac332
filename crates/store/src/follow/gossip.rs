//! Follows the configuration by polling peers.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc};

use comfreyweir_clock::Clock;
use comfreyweir_external::kv::Kv;
use futures_util::future::join_all;
use rand::seq::IndexedRandom;

use super::{FollowLoop, adopt::decode_root};
use crate::{
    freshness::{Freshness, PeerStatus},
    peers::{Peer, PeerCallError, PeerRevision, Peers},
};

/// Maximum number of peers polled while the service is unreachable; limits the calls in a large
/// fleet.
const MAX_POLLED_PEERS: usize = 16;

impl<K, C, P> FollowLoop<K, C, P>
where
    K: Kv,
    C: Clock,
    P: Peers,
{
    /// Polls one random peer per interval while in contact with the service, otherwise all selected
    /// peers.
    pub(super) async fn follow_peers(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            let in_contact = self.state.contacts.borrow().in_contact(now);
            self.select_peers(in_contact);
            let polled_peers = self.state.polled_peers.borrow().clone();
            if in_contact {
                if let Some(peer) = polled_peers.choose(&mut rand::rng()) {
                    self.poll_peer(peer).await;
                }
            } else {
                join_all(polled_peers.iter().map(|peer| self.poll_peer(peer))).await;
            }
            self.log_freshness();
            actix_rt::time::sleep(self.timing.poll_interval).await;
        }
    }

    /// Logs changes of the freshness. Callers of the follower evaluate it anew at every query.
    fn log_freshness(&self) {
        let polled_peers = self.state.polled_peers.borrow();
        let mut contacts = self.state.contacts.borrow_mut();
        let freshness = contacts.freshness(&polled_peers, self.clock.now());
        if self.state.logged_freshness.replace(freshness) == freshness {
            return;
        }
        match freshness {
            Freshness::Current => spdlog::info!("configuration: in contact with the service"),
            Freshness::ServiceDown => {
                spdlog::warn!(
                    "configuration: the service is down for all; the last revision stands"
                );
            }
            Freshness::CutOff => {
                spdlog::error!("configuration: cut off from the service and from the fleet");
            }
        }
    }

    /// Selects the peers to poll. The sample stays the same while the service is unreachable, so
    /// that the answers of successive polls count together.
    fn select_peers(&self, in_contact: bool) {
        let listed = self.peers.list();
        let mut polled_peers = self.state.polled_peers.borrow_mut();
        polled_peers.retain(|p| listed.contains(p));
        if in_contact || polled_peers.len() < listed.len().min(MAX_POLLED_PEERS) {
            *polled_peers = sample_peers(&listed);
        }
        self.state.contacts.borrow_mut().retain(&polled_peers);
    }

    async fn poll_peer(&self, peer: &Peer) {
        let began = self.clock.now();
        let known = self.state.revision();
        let status = match self.peers.revision(peer.addr, known).await {
            Ok(answer) => match self.adopt_from_peer(peer.addr, answer).await {
                Some(status) => status,
                None => return,
            },
            Err(PeerCallError::NotRunning) => PeerStatus::NotRunning,
            Err(PeerCallError::NoAnswer) => return,
        };
        let mut contacts = self.state.contacts.borrow_mut();
        contacts.record_peer_status(peer.addr, began, status);
    }

    /// Adopts a peer's revision if it is higher, and returns the peer's status. `None` if the
    /// answer is no evidence: the peer is behind, or its revision cannot be read.
    async fn adopt_from_peer(&self, peer: SocketAddr, answer: PeerRevision) -> Option<PeerStatus> {
        self.state.record_seen(answer.number);
        if answer.number > self.state.revision() {
            let root = decode_root(&answer.root).ok()?;
            self.adopt(root, answer.root, Some(peer)).await.ok()?;
        }
        if !self.state.is_latest() {
            return None;
        }
        if !answer.in_contact {
            return Some(PeerStatus::NoContact);
        }
        // A peer with an older revision has not seen the latest state of the service.
        (answer.number >= self.state.highest_seen.get()).then_some(PeerStatus::InContact)
    }
}

/// Returns all peers of a small fleet, or a random sample of a large one that covers as many zones
/// as possible.
fn sample_peers(listed: &[Peer]) -> Vec<Peer> {
    if listed.len() <= MAX_POLLED_PEERS {
        return listed.to_vec();
    }
    let mut shuffled: Vec<&Peer> = listed.sample(&mut rand::rng(), listed.len()).collect();
    // Moves one peer of each zone to the front.
    let mut zones = BTreeSet::new();
    shuffled.sort_by_key(|p| !zones.insert(p.zone.as_str()));
    shuffled
        .into_iter()
        .take(MAX_POLLED_PEERS)
        .cloned()
        .collect()
}
