//! Opening and serving links.

use std::{future::Future, io, net::SocketAddr, time::Duration};

use actix_rt::task::JoinHandle;
use capnp::capability::FromClientHook;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use comfreyweir_listen::listen;
use futures_util::AsyncReadExt;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::auth::{self, AuthError, Secret};

/// Longest time for connecting and authenticating.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a link cannot be opened or used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LinkError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen for peers on {addr}: {source}"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// The peer cannot be reached.
    #[snafu(display("cannot connect to peer {addr}: {source}"))]
    Connect {
        /// The peer.
        addr: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// The peer was not authenticated.
    #[snafu(display("cannot authenticate peer {addr}: {source}"))]
    Auth {
        /// The peer.
        addr: SocketAddr,
        /// What failed.
        source: AuthError,
    },
    /// The peer did not answer in time.
    #[snafu(display("peer {addr} did not answer within {} ms", after.as_millis()))]
    Timeout {
        /// The peer.
        addr: SocketAddr,
        /// The limit that has passed.
        after: Duration,
    },
    /// The call failed at the peer or on the way.
    #[snafu(display("call to peer {addr} failed: {source}"))]
    Call {
        /// The peer.
        addr: SocketAddr,
        /// What failed.
        source: capnp::Error,
    },
}

/// An open link to a peer. Dropping it closes the connection.
pub struct Link<C> {
    client: C,
    addr: SocketAddr,
    system: JoinHandle<()>,
}

impl<C> Link<C> {
    /// The peer's interface.
    pub fn client(&self) -> &C {
        &self.client
    }

    /// Address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the connection has ended; a new link has to be opened.
    pub fn is_closed(&self) -> bool {
        self.system.is_finished()
    }

    /// Bounds a call with a time limit and turns its errors.
    pub async fn call<F, T>(&self, limit: Duration, call: F) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let addr = self.addr;
        match timeout(limit, call).await {
            Ok(answer) => answer.context(CallSnafu { addr }),
            Err(_) => TimeoutSnafu { addr, after: limit }.fail(),
        }
    }
}

impl<C> Drop for Link<C> {
    fn drop(&mut self) {
        self.system.abort();
    }
}

/// Opens a link to the interface that the peer serves.
pub async fn open<C>(addr: SocketAddr, secret: &Secret) -> Result<Link<C>, LinkError>
where
    C: FromClientHook,
{
    let stream = match timeout(OPEN_TIMEOUT, connect(addr, secret)).await {
        Ok(connected) => connected?,
        Err(_) => {
            return TimeoutSnafu {
                addr,
                after: OPEN_TIMEOUT,
            }
            .fail();
        }
    };
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let client = system.bootstrap(Side::Server);
    let system = actix_rt::spawn(async move {
        // The end of the connection shows in the calls that fail.
        let _ = system.await;
    });
    Ok(Link {
        client,
        addr,
        system,
    })
}

/// A listening peer port. Dropping it closes the port and its connections.
pub struct PeerServer {
    addr: SocketAddr,
    accept: JoinHandle<()>,
}

impl PeerServer {
    /// Address that the port listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// Listens on `addr` and serves `service` to every authenticated peer.
pub fn bind<C>(addr: SocketAddr, secret: Secret, service: C) -> Result<PeerServer, LinkError>
where
    C: FromClientHook + Clone + 'static,
{
    let listener = listen(addr).context(BindSnafu { addr })?;
    let addr = listener.local_addr().context(BindSnafu { addr })?;
    let accept = actix_rt::spawn(accept_all(listener, secret, service));
    Ok(PeerServer { addr, accept })
}

async fn accept_all<C>(listener: TcpListener, secret: Secret, service: C)
where
    C: FromClientHook + Clone + 'static,
{
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = connections.spawn_local(serve(stream, secret.clone(), service.clone()));
            }
            // Out of descriptors, most likely: give others time to close theirs.
            Err(_) => actix_rt::time::sleep(OPEN_TIMEOUT).await,
        }
    }
}

async fn serve<C>(mut stream: TcpStream, secret: Secret, service: C)
where
    C: FromClientHook,
{
    let _ = stream.set_nodelay(true);
    let authenticated = timeout(OPEN_TIMEOUT, auth::accept(&mut stream, &secret)).await;
    if !matches!(authenticated, Ok(Ok(()))) {
        return;
    }
    let bootstrap = capnp::capability::Client {
        hook: service.into_client_hook(),
    };
    let _ = RpcSystem::new(network(stream, Side::Server), Some(bootstrap)).await;
}

async fn connect(addr: SocketAddr, secret: &Secret) -> Result<TcpStream, LinkError> {
    let mut stream = TcpStream::connect(addr)
        .await
        .context(ConnectSnafu { addr })?;
    let _ = stream.set_nodelay(true);
    auth::connect(&mut stream, secret)
        .await
        .context(AuthSnafu { addr })?;
    Ok(stream)
}

// `RpcSystem::new` takes the network boxed.
#[allow(clippy::unnecessary_box_returns)]
fn network(stream: TcpStream, side: Side) -> Box<VatNetwork<impl futures_util::AsyncRead + Unpin>> {
    let (reader, writer) = stream.compat().split();
    Box::new(VatNetwork::new(
        reader,
        writer,
        side,
        capnp::message::ReaderOptions::default(),
    ))
}

/// A time as calls carry it, in whole milliseconds.
pub fn wire_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
