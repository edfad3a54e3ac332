//! Server for the calls of other gates: loans of tokens and parts of the configuration.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use comfreyweir_allowance::ledger::Grant;
use comfreyweir_clock::Clock;
use comfreyweir_peer::{LinkError, PeerSecret, PeerServer, bind, peer_capnp::gate};

use crate::allowances::{Lenders, SharedAllowances};

/// Error text while this process, shortly after it started or resumed, cannot tell yet whether the
/// key-value service can be reached.
const CONTACT_UNKNOWN: &str = "not known yet whether the key-value service can be reached";

/// Lends tokens to other gates.
pub trait TokenLender: 'static {
    /// Lends up to `wanted` tokens of a workspace for at most `hold`.
    fn lend(&self, workspace: &str, wanted: u64, hold: Duration) -> Grant;

    /// Ends a loan, of which `unused` tokens are returned.
    fn take_back(&self, loan: u64, unused: u64);
}

/// The configuration revision of a process, as it reports it to its peers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RevisionAnswer {
    /// Revision in force.
    pub number: u64,
    /// Whether the process was in contact with the key-value service within its cut-off time.
    pub in_contact: bool,
    /// Root record of the revision, as stored; empty if the revision is not newer than the
    /// caller's.
    pub root: Bytes,
}

/// Answers requests of other processes for the configuration.
pub trait ConfigAnswers: 'static {
    /// The revision in force; `known` is the caller's revision. `None` while this process cannot
    /// tell whether the key-value service can be reached.
    fn revision(&self, known: u64) -> Option<RevisionAnswer>;

    /// The part of the configuration with this content hash, if it is known here.
    fn chunk(&self, hash: &str) -> Option<Bytes>;
}

/// Answers of a process that has no configuration to offer.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoConfig;

impl ConfigAnswers for NoConfig {
    fn revision(&self, _known: u64) -> Option<RevisionAnswer> {
        Some(RevisionAnswer::default())
    }

    fn chunk(&self, _hash: &str) -> Option<Bytes> {
        None
    }
}

impl<C, L> TokenLender for SharedAllowances<C, L>
where
    C: Clock,
    L: Lenders,
{
    fn lend(&self, workspace: &str, wanted: u64, hold: Duration) -> Grant {
        Self::lend(self, workspace, wanted, hold)
    }

    fn take_back(&self, loan: u64, unused: u64) {
        Self::take_back(self, loan, unused);
    }
}

/// Listens at `addr` for other gates that know `secret`.
pub fn serve<T, A>(
    addr: SocketAddr,
    secret: PeerSecret,
    lender: T,
    config: A,
) -> Result<PeerServer, LinkError>
where
    T: TokenLender,
    A: ConfigAnswers,
{
    let client: gate::Client = capnp_rpc::new_client(GateServer { lender, config });
    bind(addr, secret, client)
}

struct GateServer<T, A> {
    lender: T,
    config: A,
}

impl<T, A> gate::Server for GateServer<T, A>
where
    T: TokenLender,
    A: ConfigAnswers,
{
    async fn borrow(
        self: Rc<Self>,
        params: gate::BorrowParams,
        mut results: gate::BorrowResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let workspace = params.get_workspace()?.to_str()?;
        let hold = Duration::from_millis(params.get_hold_ms().into());
        let grant = self.lender.lend(workspace, params.get_wanted(), hold);
        let mut res = results.get();
        res.set_granted(grant.granted);
        res.set_loan(grant.loan);
        Ok(())
    }

    async fn give_back(
        self: Rc<Self>,
        params: gate::GiveBackParams,
        _results: gate::GiveBackResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        self.lender
            .take_back(params.get_loan(), params.get_unused());
        Ok(())
    }

    async fn revision(
        self: Rc<Self>,
        params: gate::RevisionParams,
        mut results: gate::RevisionResults,
    ) -> Result<(), capnp::Error> {
        let answer = self.config.revision(params.get()?.get_known());
        let answer = answer.ok_or_else(|| capnp::Error::overloaded(CONTACT_UNKNOWN.to_owned()))?;
        let mut revision = results.get().init_revision();
        revision.set_number(answer.number);
        revision.set_in_contact(answer.in_contact);
        revision.set_root(&answer.root);
        Ok(())
    }

    async fn chunk(
        self: Rc<Self>,
        params: gate::ChunkParams,
        mut results: gate::ChunkResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let content = self.config.chunk(params.get_hash()?.to_str()?);
        results.get().set_content(&content.unwrap_or_default());
        Ok(())
    }
}
