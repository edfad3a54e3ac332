//! Links to the other gates, which the platform's list of instances names.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use bytes::Bytes;
use comfreyweir_allowance::ledger::{Grant, LoanReturn};
use comfreyweir_external::instances::{InstanceInfo, InstanceList, Instances, Role};
use comfreyweir_peer::{Secret, wire_millis};
use snafu::OptionExt;
use spdlog::debug;

use super::{
    peer::{NoLinkSnafu, NotListedSnafu, Peer, PeerError},
    server::RevisionAnswer,
};
use crate::allowances::{Ask, Lenders};

/// Tries to tell a lender that a loan has ended. After that the loan expires by itself.
const END_LOAN_TRIES: u32 = 2;

struct Shared {
    own: String,
    secret: Secret,
    instances: Instances,
    period: Duration,
    list: RefCell<Option<Rc<InstanceList>>>,
    peers: RefCell<BTreeMap<SocketAddr, Rc<Peer>>>,
    /// Instances that own shares, by their addresses in the record of shares.
    lenders: RefCell<BTreeMap<SocketAddr, String>>,
}

/// Links to the other gates. Clones share them; the last one that is dropped closes them.
#[derive(Clone)]
pub struct Links {
    shared: Rc<Shared>,
    _task: Rc<Task>,
}

struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Links {
    /// Starts to follow the list of instances and to keep a link to every other gate. `own` is
    /// the name of this instance, `period` the time between two looks at the list.
    pub fn spawn(own: &str, secret: Secret, instances: Instances, period: Duration) -> Self {
        let shared = Rc::new(Shared {
            own: own.to_owned(),
            secret,
            instances,
            period,
            list: RefCell::default(),
            peers: RefCell::default(),
            lenders: RefCell::default(),
        });
        let task = actix_rt::spawn(follow(Rc::clone(&shared)));
        Self {
            shared,
            _task: Rc::new(Task(task)),
        }
    }

    /// The platform's list of instances, as last read.
    pub fn instances(&self) -> Option<Rc<InstanceList>> {
        self.shared.list.borrow().clone()
    }

    /// Peer addresses and availability zones of the other gates.
    pub fn gates(&self) -> Vec<(SocketAddr, String)> {
        let peers = self.shared.peers.borrow();
        peers
            .values()
            .map(|peer| (peer.addr, peer.zone.borrow().clone()))
            .collect()
    }

    /// Asks a gate for its revision of the configuration; `known` is the revision in force here.
    /// Opens a link when there is none.
    pub async fn revision(
        &self,
        addr: SocketAddr,
        known: u64,
    ) -> Result<RevisionAnswer, PeerError> {
        let peer = self.peer(addr)?;
        let link = peer.opened(&self.shared.secret).await?;
        let mut req = link.client().revision_request();
        req.get().set_known(known);
        let answer = async {
            let res = req.send().promise.await?;
            let revision = res.get()?.get_revision()?;
            Ok(RevisionAnswer {
                number: revision.get_number(),
                in_contact: revision.get_in_contact(),
                root: Bytes::copy_from_slice(revision.get_root()?),
            })
        };
        peer.call(&link, answer).await
    }

    /// Asks a gate for a part of the configuration.
    pub async fn chunk(&self, addr: SocketAddr, hash: &str) -> Result<Option<Bytes>, PeerError> {
        let peer = self.peer(addr)?;
        let link = peer.opened(&self.shared.secret).await?;
        let mut req = link.client().chunk_request();
        req.get().set_hash(hash);
        let answer = async {
            let res = req.send().promise.await?;
            let content = res.get()?.get_content()?;
            Ok((!content.is_empty()).then(|| Bytes::copy_from_slice(content)))
        };
        peer.call(&link, answer).await
    }

    fn peer(&self, addr: SocketAddr) -> Result<Rc<Peer>, PeerError> {
        let peers = self.shared.peers.borrow();
        let peer = peers.get(&addr).context(NotListedSnafu { addr })?;
        Ok(Rc::clone(peer))
    }

    /// The gate that owns the share of `addr` in the record.
    fn lender(&self, addr: SocketAddr) -> Result<Rc<Peer>, PeerError> {
        let lenders = self.shared.lenders.borrow();
        let peers = self.shared.peers.borrow();
        let instance = lenders.get(&addr).context(NotListedSnafu { addr })?;
        let mut peers = peers.values();
        let peer = peers.find(|peer| *peer.instance.borrow() == *instance);
        peer.cloned().context(NotListedSnafu { addr })
    }

    async fn ask(&self, lender: SocketAddr, ask: &Ask) -> Result<Grant, PeerError> {
        let peer = self.lender(lender)?;
        let link = peer.ready().context(NoLinkSnafu { addr: lender })?;
        let mut req = link.client().borrow_request();
        let mut params = req.get();
        params.set_workspace(ask.workspace.as_str());
        params.set_wanted(ask.wanted);
        params.set_hold_ms(wire_millis(ask.hold));
        let answer = async {
            let res = req.send().promise.await?;
            let res = res.get()?;
            Ok(Grant {
                loan: res.get_loan(),
                granted: res.get_granted(),
            })
        };
        peer.call(&link, answer).await
    }

    async fn give_back(&self, end: LoanReturn) -> Result<(), PeerError> {
        let peer = self.lender(end.lender)?;
        let link = peer.opened(&self.shared.secret).await?;
        let mut req = link.client().give_back_request();
        let mut params = req.get();
        params.set_loan(end.loan);
        params.set_unused(end.unused);
        let answer = async { req.send().promise.await.map(|_| ()) };
        peer.call(&link, answer).await
    }
}

impl Lenders for Links {
    async fn borrow(&self, lender: SocketAddr, ask: Ask) -> Option<Grant> {
        match self.ask(lender, &ask).await {
            Ok(grant) => Some(grant),
            Err(e) => {
                debug!("tokens cannot be borrowed: {}", e);
                None
            }
        }
    }

    fn end_loan(&self, end: LoanReturn) {
        let links = self.clone();
        actix_rt::spawn(async move {
            for _ in 0..END_LOAN_TRIES {
                match links.give_back(end).await {
                    Ok(()) => return,
                    Err(e) => debug!("loan cannot be given back: {}", e),
                }
            }
        });
    }

    fn set_instances(&self, instances: BTreeMap<SocketAddr, String>) {
        *self.shared.lenders.borrow_mut() = instances;
    }

    fn listed(&self) -> Option<usize> {
        let list = self.instances()?;
        let gates = list
            .instances
            .iter()
            .filter(|instance| instance.role == Role::Entry && instance.gate.is_some());
        Some(gates.count())
    }
}

async fn follow(shared: Rc<Shared>) {
    loop {
        match shared.instances.read().await {
            Ok(list) => shared.take(list),
            Err(e) => debug!("{}", e),
        }
        shared.open_missing();
        sleep(shared.period).await;
    }
}

impl Shared {
    fn take(&self, list: InstanceList) {
        let gates: BTreeMap<SocketAddr, &InstanceInfo> = list
            .instances
            .iter()
            .filter(|instance| instance.role == Role::Entry && instance.name != self.own)
            .filter_map(|instance| Some((instance.gate?, instance)))
            .collect();
        let mut peers = self.peers.borrow_mut();
        peers.retain(|addr, _| gates.contains_key(addr));
        for (addr, instance) in gates {
            let peer = peers
                .entry(addr)
                .or_insert_with(|| Rc::new(Peer::new(addr)));
            instance.name.clone_into(&mut peer.instance.borrow_mut());
            instance.zone.clone_into(&mut peer.zone.borrow_mut());
        }
        drop(peers);
        *self.list.borrow_mut() = Some(Rc::new(list));
    }

    /// Opens the links that are missing, each in a task of its own, so that a silent gate does
    /// not hold up the others.
    fn open_missing(&self) {
        for peer in self.peers.borrow().values() {
            if peer.current().is_some() || peer.opening.try_lock().is_err() {
                continue;
            }
            let peer = Rc::clone(peer);
            let secret = self.secret.clone();
            actix_rt::spawn(async move {
                if let Err(e) = peer.opened(&secret).await {
                    debug!("{}", e);
                }
            });
        }
    }
}
