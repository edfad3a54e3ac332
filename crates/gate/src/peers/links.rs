//! Links to the other gates, which are found in the platform's list of instances.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::{task::JoinHandle, time::sleep};
use bytes::Bytes;
use comfreyweir_allowance::ledger::{Grant, LoanReturn};
use comfreyweir_external::instances::{InstanceInfo, InstanceList, InstanceListClient, Role};
use comfreyweir_peer::{PeerSecret, wire_millis};
use snafu::OptionExt;
use spdlog::debug;

use super::{
    peer::{NoLinkSnafu, NotListedSnafu, Peer, PeerError},
    server::RevisionAnswer,
};
use crate::allowances::{Lenders, LoanRequest};

/// Attempts to tell a lender that a loan has ended. If all fail, the loan expires at the lender.
const END_LOAN_ATTEMPTS: u32 = 2;

struct Shared {
    own_name: String,
    secret: PeerSecret,
    instances: InstanceListClient,
    poll_interval: Duration,
    list: RefCell<Option<Rc<InstanceList>>>,
    peers: RefCell<BTreeMap<SocketAddr, Rc<Peer>>>,
    /// Names of the instances that own shares, by their addresses in the share table.
    lenders: RefCell<BTreeMap<SocketAddr, String>>,
}

/// Links to the other gates. Clones share them; dropping the last clone stops following the list of
/// instances and closes the links.
#[derive(Clone)]
pub struct PeerLinks {
    shared: Rc<Shared>,
    _task: Rc<FollowTask>,
}

struct FollowTask(JoinHandle<()>);

impl Drop for FollowTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl PeerLinks {
    /// Starts a task that reads the list of instances every `poll_interval` and keeps a link open
    /// to every other gate in it. `own_name` is the name of this instance.
    pub fn spawn(
        own_name: &str,
        secret: PeerSecret,
        instances: InstanceListClient,
        poll_interval: Duration,
    ) -> Self {
        let shared = Rc::new(Shared {
            own_name: own_name.to_owned(),
            secret,
            instances,
            poll_interval,
            list: RefCell::default(),
            peers: RefCell::default(),
            lenders: RefCell::default(),
        });
        let task = actix_rt::spawn(follow_instances(Rc::clone(&shared)));
        Self {
            shared,
            _task: Rc::new(FollowTask(task)),
        }
    }

    /// The platform's list of instances as last read; `None` before the first read.
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
    /// Opens a link if there is none.
    pub async fn revision(
        &self,
        addr: SocketAddr,
        known: u64,
    ) -> Result<RevisionAnswer, PeerError> {
        let peer = self.peer(addr)?;
        let link = peer.link_or_open(&self.shared.secret).await?;
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

    /// Asks a gate for the part of the configuration with this content hash. `None` if the gate
    /// does not have it. Opens a link if there is none.
    pub async fn chunk(&self, addr: SocketAddr, hash: &str) -> Result<Option<Bytes>, PeerError> {
        let peer = self.peer(addr)?;
        let link = peer.link_or_open(&self.shared.secret).await?;
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

    /// The gate that owns the share listed under `addr` in the share table.
    fn lender(&self, addr: SocketAddr) -> Result<Rc<Peer>, PeerError> {
        let lenders = self.shared.lenders.borrow();
        let peers = self.shared.peers.borrow();
        let instance = lenders.get(&addr).context(NotListedSnafu { addr })?;
        let mut peers = peers.values();
        let peer = peers.find(|peer| *peer.instance.borrow() == *instance);
        peer.cloned().context(NotListedSnafu { addr })
    }

    async fn request_loan(
        &self,
        lender: SocketAddr,
        loan_request: &LoanRequest,
    ) -> Result<Grant, PeerError> {
        let peer = self.lender(lender)?;
        let link = peer
            .unstalled_link()
            .context(NoLinkSnafu { addr: lender })?;
        let mut req = link.client().borrow_request();
        let mut params = req.get();
        params.set_workspace(loan_request.workspace.as_str());
        params.set_wanted(loan_request.wanted);
        params.set_hold_ms(wire_millis(loan_request.hold));
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

    async fn return_loan(&self, loan_return: LoanReturn) -> Result<(), PeerError> {
        let peer = self.lender(loan_return.lender)?;
        let link = peer.link_or_open(&self.shared.secret).await?;
        let mut req = link.client().give_back_request();
        let mut params = req.get();
        params.set_loan(loan_return.loan);
        params.set_unused(loan_return.unused);
        let answer = async { req.send().promise.await.map(|_| ()) };
        peer.call(&link, answer).await
    }
}

impl Lenders for PeerLinks {
    async fn borrow(&self, lender: SocketAddr, loan_request: LoanRequest) -> Option<Grant> {
        match self.request_loan(lender, &loan_request).await {
            Ok(grant) => Some(grant),
            Err(e) => {
                debug!("cannot borrow tokens from another gate: {}", e);
                None
            }
        }
    }

    fn end_loan(&self, loan_return: LoanReturn) {
        let links = self.clone();
        actix_rt::spawn(async move {
            for _ in 0..END_LOAN_ATTEMPTS {
                match links.return_loan(loan_return).await {
                    Ok(()) => return,
                    Err(e) => debug!("cannot return a loan to its lender: {}", e),
                }
            }
        });
    }

    fn set_lender_names(&self, instances: BTreeMap<SocketAddr, String>) {
        *self.shared.lenders.borrow_mut() = instances;
    }

    fn listed_gates(&self) -> Option<usize> {
        let list = self.instances()?;
        let gates = list
            .instances
            .iter()
            .filter(|instance| instance.role == Role::Entry && instance.gate.is_some());
        Some(gates.count())
    }
}

async fn follow_instances(shared: Rc<Shared>) {
    loop {
        match shared.instances.read().await {
            Ok(list) => shared.apply_list(list),
            Err(e) => debug!("cannot read the list of instances: {}", e),
        }
        shared.open_missing_links();
        sleep(shared.poll_interval).await;
    }
}

impl Shared {
    fn apply_list(&self, list: InstanceList) {
        let gates: BTreeMap<SocketAddr, &InstanceInfo> = list
            .instances
            .iter()
            .filter(|instance| instance.role == Role::Entry && instance.name != self.own_name)
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

    /// Opens the missing links, each in its own task, so that a gate that does not answer does not
    /// delay the others.
    fn open_missing_links(&self) {
        for peer in self.peers.borrow().values() {
            if peer.current_link().is_some() || peer.opening.try_lock().is_err() {
                continue;
            }
            let peer = Rc::clone(peer);
            let secret = self.secret.clone();
            actix_rt::spawn(async move {
                if let Err(e) = peer.link_or_open(&secret).await {
                    debug!("cannot open a link to another gate: {}", e);
                }
            });
        }
    }
}
