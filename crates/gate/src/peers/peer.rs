//! Link to another gate, with time-outs for its calls.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use comfreyweir_peer::{LinkError, PeerLink, PeerSecret, open, peer_capnp::gate};
use snafu::{ResultExt, Snafu};
use tokio::{sync::Mutex, time::timeout};

/// Time-out of a call to another gate.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a call counts as stalled. No loans are requested over a link with a stalled
/// call.
const STALL_THRESHOLD: Duration = Duration::from_millis(200);

/// Why a call to another gate failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PeerError {
    /// The address is not that of a gate in the platform's list of instances.
    #[snafu(display("no gate at {addr} is listed"))]
    NotListed {
        /// Peer address of the gate.
        addr: SocketAddr,
    },
    /// No link to the gate is open, or a call on it is stalled.
    #[snafu(display("no link to gate {addr} at the moment"))]
    NoLink {
        /// Peer address of the gate.
        addr: SocketAddr,
    },
    /// The link could not be opened, or a call on it failed.
    #[snafu(display("{source}"))]
    Link {
        /// Error of the link.
        source: LinkError,
    },
}

impl PeerError {
    /// Whether the connection was refused, so that no gate listens at the address.
    pub fn is_not_running(&self) -> bool {
        matches!(
            self,
            Self::Link { source: LinkError::Connect { source, .. } }
                if source.kind() == io::ErrorKind::ConnectionRefused
        )
    }
}

pub(super) type GateLink = Rc<PeerLink<gate::Client>>;

/// Another gate and the link to it, if one is open.
pub(super) struct Peer {
    pub(super) addr: SocketAddr,
    pub(super) instance: RefCell<String>,
    pub(super) zone: RefCell<String>,
    link: RefCell<Option<GateLink>>,
    /// Calls that have taken longer than [`STALL_THRESHOLD`] and are not answered yet.
    stalled_calls: Cell<u32>,
    /// Held while a link is being opened, so that only one is.
    pub(super) opening: Mutex<()>,
}

impl Peer {
    pub(super) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            instance: RefCell::default(),
            zone: RefCell::default(),
            link: RefCell::default(),
            stalled_calls: Cell::new(0),
            opening: Mutex::new(()),
        }
    }

    pub(super) fn current_link(&self) -> Option<GateLink> {
        let link = self.link.borrow();
        link.as_ref().filter(|link| !link.is_closed()).cloned()
    }

    /// The open link, if none of its calls is stalled.
    pub(super) fn unstalled_link(&self) -> Option<GateLink> {
        self.current_link()
            .filter(|_| self.stalled_calls.get() == 0)
    }

    /// The open link, or a new one if there is none.
    pub(super) async fn link_or_open(&self, secret: &PeerSecret) -> Result<GateLink, PeerError> {
        let _opening = self.opening.lock().await;
        if let Some(link) = self.current_link() {
            return Ok(link);
        }
        let link = open(self.addr, secret).await.context(LinkSnafu)?;
        let link = Rc::new(link);
        *self.link.borrow_mut() = Some(Rc::clone(&link));
        Ok(link)
    }

    /// Awaits a call for at most [`CALL_TIMEOUT`], and discards the link if the error shows that it
    /// is broken.
    pub(super) async fn call<F, T>(&self, link: &GateLink, call: F) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let call = link.call(CALL_TIMEOUT, call);
        tokio::pin!(call);
        let answer = if let Ok(answer) = timeout(STALL_THRESHOLD, &mut call).await {
            answer
        } else {
            let _stalled = StalledCall::new(&self.stalled_calls);
            call.await
        };
        if answer.as_ref().is_err_and(breaks_link) {
            self.discard_link(link);
        }
        answer.context(LinkSnafu)
    }

    fn discard_link(&self, failed: &GateLink) {
        let mut link = self.link.borrow_mut();
        if link.as_ref().is_some_and(|link| Rc::ptr_eq(link, failed)) {
            *link = None;
        }
    }
}

/// Whether an error means that the link is broken. `Overloaded` is an answer of the peer, which
/// does not know the result yet, so the link works.
fn breaks_link(e: &LinkError) -> bool {
    let is_answer = matches!(
        e,
        LinkError::Call { source, .. } if source.kind == capnp::ErrorKind::Overloaded
    );
    !is_answer
}

/// Counts a call as stalled until dropped.
struct StalledCall<'a>(&'a Cell<u32>);

impl<'a> StalledCall<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for StalledCall<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
