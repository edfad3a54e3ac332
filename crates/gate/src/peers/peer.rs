//! Another gate, with the link to it.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use comfreyweir_peer::{Link, LinkError, Secret, open, peer_capnp::gate};
use snafu::{ResultExt, Snafu};
use tokio::{sync::Mutex, time::timeout};

/// Longest time of a call to another gate.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Time after which a call counts as stalled, and no tokens are asked for on its link.
const STALL_LIMIT: Duration = Duration::from_millis(200);

/// Why a gate did not answer.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PeerError {
    /// The platform does not list the gate.
    #[snafu(display("no gate at {addr} is listed"))]
    NotListed {
        /// Peer address of the gate.
        addr: SocketAddr,
    },
    /// There is no link at the moment.
    #[snafu(display("no link to gate {addr} at the moment"))]
    NoLink {
        /// Peer address of the gate.
        addr: SocketAddr,
    },
    /// The link failed.
    #[snafu(display("{source}"))]
    Link {
        /// What failed.
        source: LinkError,
    },
}

impl PeerError {
    /// Whether the instance answered that nothing listens at the address.
    pub fn is_not_running(&self) -> bool {
        matches!(
            self,
            Self::Link { source: LinkError::Connect { source, .. } }
                if source.kind() == io::ErrorKind::ConnectionRefused
        )
    }
}

pub(super) type GateLink = Rc<Link<gate::Client>>;

/// Another gate, with the link to it.
pub(super) struct Peer {
    pub(super) addr: SocketAddr,
    pub(super) instance: RefCell<String>,
    pub(super) zone: RefCell<String>,
    link: RefCell<Option<GateLink>>,
    /// Calls that have taken longer than [`STALL_LIMIT`] and are not answered yet.
    stalled: Cell<u32>,
    pub(super) opening: Mutex<()>,
}

impl Peer {
    pub(super) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            instance: RefCell::default(),
            zone: RefCell::default(),
            link: RefCell::default(),
            stalled: Cell::new(0),
            opening: Mutex::new(()),
        }
    }

    pub(super) fn current(&self) -> Option<GateLink> {
        let link = self.link.borrow();
        link.as_ref().filter(|link| !link.is_closed()).cloned()
    }

    /// A link on which no call is stalled.
    pub(super) fn ready(&self) -> Option<GateLink> {
        self.current().filter(|_| self.stalled.get() == 0)
    }

    /// The link, opened now if there is none.
    pub(super) async fn opened(&self, secret: &Secret) -> Result<GateLink, PeerError> {
        let _opening = self.opening.lock().await;
        if let Some(link) = self.current() {
            return Ok(link);
        }
        let link = open(self.addr, secret).await.context(LinkSnafu)?;
        let link = Rc::new(link);
        *self.link.borrow_mut() = Some(Rc::clone(&link));
        Ok(link)
    }

    /// Bounds a call. A link on which a call was not answered is closed.
    pub(super) async fn call<F, T>(&self, link: &GateLink, call: F) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let call = link.call(CALL_LIMIT, call);
        tokio::pin!(call);
        let answer = if let Ok(answer) = timeout(STALL_LIMIT, &mut call).await {
            answer
        } else {
            let _stalled = Stalled::new(&self.stalled);
            call.await
        };
        if answer.as_ref().is_err_and(is_broken) {
            self.close(link);
        }
        answer.context(LinkSnafu)
    }

    fn close(&self, failed: &GateLink) {
        let mut link = self.link.borrow_mut();
        if link.as_ref().is_some_and(|link| Rc::ptr_eq(link, failed)) {
            *link = None;
        }
    }
}

/// Whether an error speaks against the link. A peer that has no answer yet still answers.
fn is_broken(e: &LinkError) -> bool {
    let is_answer = matches!(
        e,
        LinkError::Call { source, .. } if source.kind == capnp::ErrorKind::Overloaded
    );
    !is_answer
}

/// Counts a stalled call until it is dropped.
struct Stalled<'a>(&'a Cell<u32>);

impl<'a> Stalled<'a> {
    fn new(calls: &'a Cell<u32>) -> Self {
        calls.set(calls.get() + 1);
        Self(calls)
    }
}

impl Drop for Stalled<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
