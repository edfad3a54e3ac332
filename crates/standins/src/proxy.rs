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
    http::{self, Server, ServerOptions},
};

const CHUNK_BYTES: usize = 64 << 10;
/// Bytes of a connection that a link of limited bandwidth carries before it is the next one's turn.
const TURN_BYTES: usize = 8 << 10;
/// Maximum number of chunks that each direction of a connection queues.
const MAX_QUEUED_CHUNKS: usize = 1024;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How the proxy treats its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Forwards all bytes.
    #[default]
    Forward,
    /// Resets all open connections, and each new one as soon as it is accepted.
    Cut,
    /// Accepts connections but forwards nothing; bytes received meanwhile are queued and forwarded
    /// once the mode changes.
    Freeze,
    /// Discards bytes sent to the upstream. A connection that has lost bytes is reset as soon as it
    /// would forward again.
    DropToUpstream,
    /// Discards bytes sent to the caller. A connection that has lost bytes is reset as soon as it
    /// would forward again.
    DropToCaller,
}

/// Faults that the proxy injects.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How connections are treated.
    pub mode: Mode,
    /// Delay added in each direction, in ms.
    pub delay_ms: u64,
    /// Number of bytes forwarded to the upstream after which a connection is reset. Applies to new
    /// connections only.
    pub cut_to_upstream_after: Option<u64>,
    /// Number of bytes forwarded to the caller after which a connection is reset. Applies to new
    /// connections only.
    pub cut_to_caller_after: Option<u64>,
}

/// Traffic since the proxy was started.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Connections accepted, including those that were reset at once.
    pub connections: u64,
    /// Connections currently open.
    pub open: u64,
    /// Bytes forwarded to the upstream.
    pub to_upstream_bytes: u64,
    /// Bytes forwarded to the caller.
    pub to_caller_bytes: u64,
    /// Chunks forwarded to the upstream, an estimate of the number of messages.
    pub to_upstream_chunks: u64,
    /// Chunks forwarded to the caller, an estimate of the number of messages.
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
    /// Address of the `/test/` paths; none are served if it is not set.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Faults from the start.
    #[serde(default)]
    pub faults: Faults,
}

/// A running proxy. Dropping it closes all connections.
pub struct Proxy {
    addr: SocketAddr,
    upstream: SocketAddr,
    /// None while connections are refused.
    accept: RefCell<Option<JoinHandle<()>>>,
    control: Option<Server>,
    shared: Shared,
}

#[derive(Clone)]
struct Shared {
    faults: Rc<watch::Sender<Faults>>,
    /// Number of times that the open connections were silenced.
    silenced: Rc<watch::Sender<u64>>,
    counts: Rc<RefCell<Counts>>,
    link: Rc<Link>,
}

/// A link that all connections share.
#[derive(Default)]
struct Link {
    /// Bandwidth in Mbit/s, in each direction; unlimited if there is none.
    mbps: Cell<Option<f64>>,
    /// When it is free again, by direction.
    free_at: [Cell<Option<Instant>>; 2],
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    ToUpstream,
    ToCaller,
}

/// Starts a proxy.
pub fn spawn(settings: &Settings) -> Result<Proxy, StandinError> {
    let addr = settings.listen;
    let listener = listen(addr).context(BindSnafu { addr })?;
    let addr = listener.local_addr().context(BindSnafu { addr })?;
    let shared = Shared {
        faults: Rc::new(watch::Sender::new(settings.faults)),
        silenced: Rc::default(),
        counts: Rc::default(),
        link: Rc::default(),
    };
    let accept = actix_rt::spawn(accept_all(listener, settings.upstream, shared.clone()));
    let control = match settings.control {
        Some(addr) => Some(bind_control(addr, &shared)?),
        None => None,
    };
    Ok(Proxy {
        addr,
        upstream: settings.upstream,
        accept: RefCell::new(Some(accept)),
        control,
        shared,
    })
}

impl Proxy {
    /// Address that the proxy listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Address of the `/test/` paths, if they are served.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Server::addr)
    }

    /// Traffic since the proxy was started.
    pub fn counts(&self) -> Counts {
        *self.shared.counts.borrow()
    }

    /// Replaces the faults. The mode and the delay apply to open connections too, the byte limits
    /// only to new ones.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.send_replace(faults);
    }

    /// Sets the bandwidth in Mbit/s that all connections share, in each direction; unlimited if there is
    /// none.
    pub fn set_bandwidth(&self, mbps: Option<f64>) {
        self.shared.link.mbps.set(mbps);
    }

    /// Lets the connections that are open now carry no more bytes, without a reset. New ones work.
    pub fn silence_open(&self) {
        self.shared.silenced.send_modify(|count| *count += 1);
    }

    /// Closes all connections and refuses new ones, as a process that has ended.
    pub fn refuse(&self) {
        if let Some(accept) = self.accept.borrow_mut().take() {
            accept.abort();
        }
    }

    /// Accepts connections again.
    pub fn accept_again(&self) -> Result<(), StandinError> {
        let mut accept = self.accept.borrow_mut();
        if accept.is_none() {
            let addr = self.addr;
            let listener = listen(addr).context(BindSnafu { addr })?;
            let accept_all = accept_all(listener, self.upstream, self.shared.clone());
            *accept = Some(actix_rt::spawn(accept_all));
        }
        Ok(())
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.refuse();
    }
}

async fn accept_all(listener: TcpListener, upstream: SocketAddr, shared: Shared) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((caller, _)) = listener.accept().await else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        shared.counts.borrow_mut().connections += 1;
        connections.spawn_local(forward_connection(caller, upstream, shared.clone()));
    }
}

async fn forward_connection(caller: TcpStream, upstream: SocketAddr, shared: Shared) {
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
        // A connection dropped by the proxy is a fault, which both ends must see as a reset.
        let _ = stream.set_zero_linger();
    }
    shared.counts.borrow_mut().open += 1;
    let (caller_rx, caller_tx) = caller.into_split();
    let (upstream_rx, upstream_tx) = upstream.into_split();
    let to_upstream = forward_direction(caller_rx, upstream_tx, Direction::ToUpstream, &shared);
    let to_caller = forward_direction(upstream_rx, caller_tx, Direction::ToCaller, &shared);
    let mut silenced = shared.silenced.subscribe();
    let forwarding = async { tokio::try_join!(to_upstream, to_caller) };
    tokio::pin!(forwarding);
    tokio::select! {
        () = wait_for_cut(&shared) => {}
        _ = &mut forwarding => {}
        // The forwarding task keeps the connections open, and is not polled any more.
        _ = silenced.changed() => wait_for_cut(&shared).await,
    }
    shared.counts.borrow_mut().open -= 1;
}

async fn wait_for_cut(shared: &Shared) {
    let mut faults = shared.faults.subscribe();
    let _ = faults.wait_for(|faults| faults.mode == Mode::Cut).await;
}

async fn forward_direction(
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    direction: Direction,
    shared: &Shared,
) -> io::Result<()> {
    let (queue_tx, queue_rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let read = read_chunks(rx, queue_tx, shared);
    let write = write_chunks(tx, queue_rx, direction, shared);
    tokio::try_join!(read, write).map(|_| ())
}

/// Reads chunks and queues each with the earliest time at which it may be forwarded.
async fn read_chunks(
    mut rx: OwnedReadHalf,
    queue: mpsc::Sender<(Instant, Bytes)>,
    shared: &Shared,
) -> io::Result<()> {
    loop {
        let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
        if rx.read_buf(&mut buf).await? == 0 {
            return Ok(());
        }
        let delay = Duration::from_millis(shared.faults.borrow().delay_ms);
        let forward_at = Instant::now() + delay;
        if queue.send((forward_at, buf.freeze())).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut tx: OwnedWriteHalf,
    mut queue: mpsc::Receiver<(Instant, Bytes)>,
    direction: Direction,
    shared: &Shared,
) -> io::Result<()> {
    let limit = direction.byte_limit(&shared.faults.borrow());
    let forwarded_bytes = Cell::new(0);
    let mut has_dropped_bytes = false;
    let mut faults = shared.faults.subscribe();
    while let Some((forward_at, mut chunk)) = queue.recv().await {
        time::sleep_until(forward_at).await;
        let unfrozen = faults.wait_for(|faults| faults.mode != Mode::Freeze).await;
        let mode = unfrozen.map_or(Mode::Cut, |faults| faults.mode);
        if direction.is_dropped_in(mode) {
            has_dropped_bytes = true;
            continue;
        }
        if has_dropped_bytes {
            // Bytes after a gap must not reach the receiver as if they followed directly.
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let remaining_bytes = limit.map_or(u64::MAX, |limit| {
            limit.saturating_sub(forwarded_bytes.get())
        });
        let reaches_limit = remaining_bytes <= chunk.len() as u64;
        chunk.truncate(usize::try_from(remaining_bytes).unwrap_or(usize::MAX));
        forwarded_bytes.set(forwarded_bytes.get() + chunk.len() as u64);
        direction.count(&mut shared.counts.borrow_mut(), chunk.len() as u64);
        for piece in chunk.chunks(TURN_BYTES) {
            shared.link.carry(direction, piece.len()).await;
            tx.write_all(piece).await?;
        }
        if reaches_limit && limit.is_some() {
            return reset_after_delivery(&tx).await;
        }
    }
    tx.shutdown().await
}

impl Link {
    /// Waits until the link has carried `bytes`, after what other connections have sent before.
    async fn carry(&self, direction: Direction, bytes: usize) {
        let Some(mbps) = self.mbps.get() else {
            return;
        };
        #[allow(clippy::cast_precision_loss)]
        let time = Duration::from_secs_f64(bytes as f64 * 8.0 / (mbps * 1e6));
        let free_at = &self.free_at[direction as usize];
        let now = Instant::now();
        let end = free_at.get().map_or(now, |at| at.max(now)) + time;
        free_at.set(Some(end));
        time::sleep_until(end).await;
    }
}

/// Fails after the last bytes have had time to arrive: an immediate reset would overtake them.
async fn reset_after_delivery(tx: &OwnedWriteHalf) -> io::Result<()> {
    const DELIVERY_TIME: Duration = Duration::from_millis(20);
    tx.writable().await?;
    time::sleep(DELIVERY_TIME).await;
    Err(io::ErrorKind::ConnectionReset.into())
}

impl Direction {
    fn byte_limit(self, faults: &Faults) -> Option<u64> {
        match self {
            Self::ToUpstream => faults.cut_to_upstream_after,
            Self::ToCaller => faults.cut_to_caller_after,
        }
    }

    fn is_dropped_in(self, mode: Mode) -> bool {
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
    http::bind(addr, ServerOptions::default(), move |req| {
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
