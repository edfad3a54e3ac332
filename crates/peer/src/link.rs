//! Links on the client's and on the server's side.

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

use crate::auth::{self, AuthError, PeerSecret};

/// Timeout for connecting and authenticating, on either side.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a link cannot be opened or used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LinkError {
    /// The process cannot listen on the address.
    #[snafu(display("cannot listen for peers on {addr}: {source}"))]
    Bind {
        /// Address to listen on.
        addr: SocketAddr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// No connection to the peer could be opened.
    #[snafu(display("cannot connect to peer {addr}: {source}"))]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The handshake with the peer failed.
    #[snafu(display("cannot authenticate peer {addr}: {source}"))]
    Auth {
        /// Address of the peer.
        addr: SocketAddr,
        /// Cause of the failure.
        source: AuthError,
    },
    /// The peer did not answer within the time limit. A call may have taken effect.
    #[snafu(display("peer {addr} did not answer within {} ms", after.as_millis()))]
    Timeout {
        /// Address of the peer.
        addr: SocketAddr,
        /// Time limit that was exceeded.
        after: Duration,
    },
    /// The call failed at the peer, or the connection failed during the call.
    #[snafu(display("call to peer {addr} failed: {source}"))]
    Call {
        /// Address of the peer.
        addr: SocketAddr,
        /// Cause of the failure.
        source: capnp::Error,
    },
}

/// An open link to a peer. Dropping it closes the connection.
pub struct PeerLink<C> {
    client: C,
    addr: SocketAddr,
    rpc_task: JoinHandle<()>,
}

impl<C> PeerLink<C> {
    /// Client of the interface that the peer serves.
    pub fn client(&self) -> &C {
        &self.client
    }

    /// Address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the connection has ended. Calls on a closed link fail; it does not reconnect.
    pub fn is_closed(&self) -> bool {
        self.rpc_task.is_finished()
    }

    /// Awaits a call of [`PeerLink::client`] for at most `limit` and adds the peer's address to its
    /// errors.
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

impl<C> Drop for PeerLink<C> {
    fn drop(&mut self) {
        self.rpc_task.abort();
    }
}

/// Opens a link to the interface that the peer at `addr` serves. Fails when connecting and
/// authenticating take longer than one second.
pub async fn open<C>(addr: SocketAddr, secret: &PeerSecret) -> Result<PeerLink<C>, LinkError>
where
    C: FromClientHook,
{
    let stream = match timeout(OPEN_TIMEOUT, connect_authenticated(addr, secret)).await {
        Ok(connected) => connected?,
        Err(_) => {
            return TimeoutSnafu {
                addr,
                after: OPEN_TIMEOUT,
            }
            .fail();
        }
    };
    let mut rpc_system = RpcSystem::new(rpc_network(stream, Side::Client), None);
    let client = rpc_system.bootstrap(Side::Server);
    let rpc_task = actix_rt::spawn(async move {
        // Calls report a failure of the connection.
        let _ = rpc_system.await;
    });
    Ok(PeerLink {
        client,
        addr,
        rpc_task,
    })
}

/// A listening port for peers. Dropping it closes the port and its connections.
pub struct PeerServer {
    addr: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl PeerServer {
    /// Address that the port listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// Listens on `addr` and serves `service` to every peer that authenticates within one second.
pub fn bind<C>(addr: SocketAddr, secret: PeerSecret, service: C) -> Result<PeerServer, LinkError>
where
    C: FromClientHook + Clone + 'static,
{
    let listener = listen(addr).context(BindSnafu { addr })?;
    let addr = listener.local_addr().context(BindSnafu { addr })?;
    let accept_task = actix_rt::spawn(accept_peers(listener, secret, service));
    Ok(PeerServer { addr, accept_task })
}

async fn accept_peers<C>(listener: TcpListener, secret: PeerSecret, service: C)
where
    C: FromClientHook + Clone + 'static,
{
    let mut connections = tokio::task::JoinSet::new();
    loop {
        // The set keeps finished tasks until they are joined.
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ =
                    connections.spawn_local(serve_peer(stream, secret.clone(), service.clone()));
            }
            // The process has most likely run out of file descriptors, so wait until some are
            // closed.
            Err(_) => actix_rt::time::sleep(OPEN_TIMEOUT).await,
        }
    }
}

async fn serve_peer<C>(mut stream: TcpStream, secret: PeerSecret, service: C)
where
    C: FromClientHook,
{
    let _ = stream.set_nodelay(true);
    let authenticated = timeout(
        OPEN_TIMEOUT,
        auth::authenticate_client(&mut stream, &secret),
    )
    .await;
    if !matches!(authenticated, Ok(Ok(()))) {
        return;
    }
    let bootstrap = capnp::capability::Client {
        hook: service.into_client_hook(),
    };
    let _ = RpcSystem::new(rpc_network(stream, Side::Server), Some(bootstrap)).await;
}

async fn connect_authenticated(
    addr: SocketAddr,
    secret: &PeerSecret,
) -> Result<TcpStream, LinkError> {
    let mut stream = TcpStream::connect(addr)
        .await
        .context(ConnectSnafu { addr })?;
    let _ = stream.set_nodelay(true);
    auth::authenticate_server(&mut stream, secret)
        .await
        .context(AuthSnafu { addr })?;
    Ok(stream)
}

// `RpcSystem::new` takes a boxed network.
#[allow(clippy::unnecessary_box_returns)]
fn rpc_network(
    stream: TcpStream,
    side: Side,
) -> Box<VatNetwork<impl futures_util::AsyncRead + Unpin>> {
    let (reader, writer) = stream.compat().split();
    Box::new(VatNetwork::new(
        reader,
        writer,
        side,
        capnp::message::ReaderOptions::default(),
    ))
}

/// Converts a duration to milliseconds for a message to a peer, rounded down. `u32::MAX` if it does
/// not fit.
pub fn wire_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
