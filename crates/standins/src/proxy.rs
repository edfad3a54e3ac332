//! A TCP proxy that injects faults.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use actix_rt::task::JoinHandle;
use bytes::{Bytes, BytesMut};
use comfreyweir_listen::listen;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    StandinError,
    error::BindSnafu,
    http::{self, Options, Server},
};

const CHUNK_BYTES: usize = 64 << 10;
/// Chunks that one direction may hold back.
const HELD_CHUNKS: usize = 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What the proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Passes everything.
    #[default]
    Forward,
    /// Resets open connections, and new ones at once.
    Cut,
    /// Accepts connections and passes nothing; what came meanwhile passes later.
    Freeze,
    /// Drops what goes to the upstream. A connection that has lost bytes is reset afterwards.
    DropToUpstream,
    /// Drops what goes to the caller. A connection that has lost bytes is reset afterwards.
    DropToCaller,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// What happens to connections.
    pub mode: Mode,
    /// Time that each direction takes longer, in ms.
    pub delay_ms: u64,
    /// Bytes to the upstream after which each new connection is reset.
    pub cut_to_upstream_after: Option<u64>,
    /// Bytes to the caller after which each new connection is reset.
    pub cut_to_caller_after: Option<u64>,
}

/// What passed so far.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Connections accepted.
    pub connections: u64,
    /// Connections open now.
    pub open: u64,
    /// Bytes passed to the upstream.
    pub to_upstream_bytes: u64,
    /// Bytes passed to the caller.
    pub to_caller_bytes: u64,
    /// Chunks passed to the upstream, an estimate of messages.
    pub to_upstream_chunks: u64,
    /// Chunks passed to the caller, an estimate of messages.
    pub to_caller_chunks: u64,
}

/// Settings of a proxy.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to connect to.
    pub upstream: SocketAddr,
    /// Control address.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Faults at the start.
    #[serde(default)]
    pub faults: Faults,
}

/// A running proxy. Dropping it closes all connections.
pub struct Proxy {
    addr: SocketAddr,
    accept: JoinHandle<()>,
    control: Option<Server>,
    shared: Shared,
}

#[derive(Clone)]
struct Shared {
    faults: Rc<watch::Sender<Faults>>,
    counts: Rc<RefCell<Counts>>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    ToUpstream,
    ToCaller,
}

/// Runs a proxy.
pub fn spawn(settings: &Settings) -> Result<Proxy, StandinError> {
    let addr = settings.listen;
    let listener = listen(addr).context(BindSnafu { addr })?;
    let addr = listener.local_addr().context(BindSnafu { addr })?;
    let shared = Shared {
        faults: Rc::new(watch::Sender::new(settings.faults)),
        counts: Rc::default(),
    };
    let accept = actix_rt::spawn(accept_all(listener, settings.upstream, shared.clone()));
    let control = match settings.control {
        Some(addr) => Some(bind_control(addr, &shared)?),
        None => None,
    };
    Ok(Proxy {
        addr,
        accept,
        control,
        shared,
    })
}

impl Proxy {
    /// Address that the proxy listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Control address.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::addr)
    }

    /// What passed so far.
    pub fn counts(&self) -> Counts {
        *self.shared.counts.borrow()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.send_replace(faults);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn accept_all(listener: TcpListener, upstream: SocketAddr, shared: Shared) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((caller, _)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        shared.counts.borrow_mut().connections += 1;
        connections.spawn_local(connection(caller, upstream, shared.clone()));
    }
}

async fn connection(caller: TcpStream, upstream: SocketAddr, shared: Shared) {
    if shared.faults.borrow().mode == Mode::Cut {
        http::reset(caller);
        return;
    }
    let Ok(upstream) = TcpStream::connect(upstream).await else {
        http::reset(caller);
        return;
    };
    for stream in [&caller, &upstream] {
        let _ = stream.set_nodelay(true);
        // Whatever ends a connection here is a fault, which the ends have to see as one.
        let _ = stream.set_zero_linger();
    }
    shared.counts.borrow_mut().open += 1;
    let (caller_rx, caller_tx) = caller.into_split();
    let (upstream_rx, upstream_tx) = upstream.into_split();
    let up = direction(caller_rx, upstream_tx, Direction::ToUpstream, &shared);
    let down = direction(upstream_rx, caller_tx, Direction::ToCaller, &shared);
    tokio::select! {
        () = wait_for_cut(&shared) => {}
        _ = async { tokio::try_join!(up, down) } => {}
    }
    shared.counts.borrow_mut().open -= 1;
}

async fn wait_for_cut(shared: &Shared) {
    let mut faults = shared.faults.subscribe();
    let _ = faults.wait_for(|faults| faults.mode == Mode::Cut).await;
}

async fn direction(
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    direction: Direction,
    shared: &Shared,
) -> io::Result<()> {
    let (held_tx, held_rx) = mpsc::channel(HELD_CHUNKS);
    let read = read_chunks(rx, held_tx, shared);
    let write = write_chunks(tx, held_rx, direction, shared);
    tokio::try_join!(read, write).map(|_| ())
}

/// Reads chunks and stamps each with the time when it may pass.
async fn read_chunks(
    mut rx: OwnedReadHalf,
    held: mpsc::Sender<(Instant, Bytes)>,
    shared: &Shared,
) -> io::Result<()> {
    loop {
        let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
        if rx.read_buf(&mut buf).await? == 0 {
            return Ok(());
        }
        let delay = Duration::from_millis(shared.faults.borrow().delay_ms);
        let pass_at = Instant::now() + delay;
        if held.send((pass_at, buf.freeze())).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut tx: OwnedWriteHalf,
    mut held: mpsc::Receiver<(Instant, Bytes)>,
    direction: Direction,
    shared: &Shared,
) -> io::Result<()> {
    let limit = direction.limit(&shared.faults.borrow());
    let passed = Cell::new(0);
    let mut has_lost = false;
    let mut faults = shared.faults.subscribe();
    while let Some((pass_at, mut chunk)) = held.recv().await {
        time::sleep_until(pass_at).await;
        let thawed = faults.wait_for(|faults| faults.mode != Mode::Freeze).await;
        let mode = thawed.map_or(Mode::Cut, |faults| faults.mode);
        if direction.is_dropped(mode) {
            has_lost = true;
            continue;
        }
        if has_lost {
            // What follows on lost bytes must not look like their continuation.
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let room = limit.map_or(u64::MAX, |limit| limit.saturating_sub(passed.get()));
        let is_last = room <= chunk.len() as u64;
        chunk.truncate(usize::try_from(room).unwrap_or(usize::MAX));
        passed.set(passed.get() + chunk.len() as u64);
        direction.count(&mut shared.counts.borrow_mut(), chunk.len() as u64);
        tx.write_all(&chunk).await?;
        if is_last && limit.is_some() {
            return cut_after(&tx).await;
        }
    }
    tx.shutdown().await
}

/// Ends the connection once the last bytes are out: a reset at once would overtake them.
async fn cut_after(tx: &OwnedWriteHalf) -> io::Result<()> {
    const DELIVERY: Duration = Duration::from_millis(20);
    tx.writable().await?;
    time::sleep(DELIVERY).await;
    Err(io::ErrorKind::ConnectionReset.into())
}

impl Direction {
    fn limit(self, faults: &Faults) -> Option<u64> {
        match self {
            Self::ToUpstream => faults.cut_to_upstream_after,
            Self::ToCaller => faults.cut_to_caller_after,
        }
    }

    fn is_dropped(self, mode: Mode) -> bool {
        match self {
            Self::ToUpstream => mode == Mode::DropToUpstream,
            Self::ToCaller => mode == Mode::DropToCaller,
        }
    }

    fn count(self, counts: &mut Counts, bytes: u64) {
        match self {
            Self::ToUpstream => {
                counts.to_upstream_bytes += bytes;
                counts.to_upstream_chunks += 1;
            }
            Self::ToCaller => {
                counts.to_caller_bytes += bytes;
                counts.to_caller_chunks += 1;
            }
        }
    }
}

fn bind_control(addr: SocketAddr, shared: &Shared) -> Result<Server, StandinError> {
    let shared = shared.clone();
    http::bind(addr, Options::default(), move |req| {
        let shared = shared.clone();
        async move { control(&shared, req).await }
    })
}

async fn control(shared: &Shared, mut req: Request) -> Response<BoxBody> {
    match (req.method().clone(), req.path()) {
        (Method::GET, "/test/counts") => http::json(StatusCode::OK, &*shared.counts.borrow()),
        (Method::GET, "/test/faults") => http::json(StatusCode::OK, &*shared.faults.borrow()),
        (Method::POST, "/test/faults") => match http::read_json::<Faults>(&mut req).await {
            Ok(faults) => {
                shared.faults.send_replace(faults);
                http::empty(StatusCode::OK)
            }
            Err(answer) => answer,
        },
        _ => http::empty(StatusCode::NOT_FOUND),
    }
}
