//! The HTTP server that all stand-ins share.

use std::{cell::Cell, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode, body::BoxBody, header};
use actix_rt::task::JoinHandle;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use comfreyweir_listen::listen;
use futures_util::StreamExt;
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use crate::{
    error::{BindSnafu, StandinError},
    recording_stream::{InboundLog, RecordingStream, ResetHandle},
};

const KEEP_ALIVE: Duration = Duration::from_mins(2);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest body that a stand-in reads, in bytes.
const BODY_LIMIT_BYTES: usize = 16 << 20;

/// A listening HTTP port. Dropping it closes the port and its connections.
pub struct Server {
    addr: SocketAddr,
    accept: JoinHandle<()>,
}

impl Server {
    /// Local address, with the port that was assigned if port 0 was requested.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// Recording and faults of a port's connections.
#[derive(Clone, Default)]
pub struct ServerOptions {
    /// Records all received bytes; `None` records nothing.
    pub(crate) inbound: Option<InboundLog>,
    /// Number of future connections to reset before anything is read.
    pub(crate) connections_to_reset: Rc<Cell<u32>>,
}

/// Listens on `addr` and answers each request with `handler`, until the returned server is dropped.
pub fn bind<H, F>(
    addr: SocketAddr,
    options: ServerOptions,
    handler: H,
) -> Result<Server, StandinError>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let listener = listen(addr).context(BindSnafu { addr })?;
    let addr = listener.local_addr().context(BindSnafu { addr })?;
    let accept = actix_rt::spawn(accept_all(listener, options, handler));
    Ok(Server { addr, accept })
}

async fn accept_all<H, F>(listener: TcpListener, options: ServerOptions, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(Duration::ZERO)
        // Cancels a request when its caller disconnects, as real model engines do.
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &RecordingStream, extensions| {
            extensions.insert(stream.breaker());
            extensions.insert(HasCarriedRequest::default());
        })
        .h1(fn_service(move |req: Request| {
            let answer = handler(req);
            async move { Ok::<_, Response<BoxBody>>(answer.await) }
        }));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, peer)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if take_fault(&options.connections_to_reset) {
            reset(stream);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let recording = RecordingStream::new(stream, options.inbound.as_ref());
        let service = Rc::clone(&service);
        connections.spawn_local(async move {
            // The other end observes connection failures; there is nothing to report here.
            let _ = service.call((recording, Some(peer))).await;
        });
    }
}

/// Decrements a counter of faults still to inject; returns `false` if it was already zero.
pub fn take_fault(counter: &Cell<u32>) -> bool {
    let remaining = counter.get();
    counter.set(remaining.saturating_sub(1));
    remaining > 0
}

/// Closes a connection with a TCP reset, so that the other end sees a failure and not an orderly
/// close.
pub fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
    drop(stream);
}

/// Handle that resets the connection on which the request arrived.
pub(crate) fn reset_handle(req: &Request) -> ResetHandle {
    req.conn_data::<ResetHandle>().cloned().unwrap_or_default()
}

/// Whether the connection of a request has carried another one.
#[derive(Clone, Default)]
struct HasCarriedRequest(Rc<Cell<bool>>);

/// Records that the connection of the request has carried it, and returns whether it has carried
/// another one.
pub fn record_connection_use(req: &Request) -> bool {
    let has_carried = req.conn_data::<HasCarriedRequest>();
    has_carried.is_some_and(|flag| flag.0.replace(true))
}

/// Reads the whole body; `None` if the connection failed or the body exceeds 16 MiB.
pub async fn read_body(req: &mut Request) -> Option<Bytes> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > BODY_LIMIT_BYTES {
            return None;
        }
    }
    Some(body.freeze())
}

/// Raw value of a query parameter; percent-encoding is not decoded.
pub fn query<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = req.uri().query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Value of a query parameter as a number; `None` if it is missing or not a number.
pub fn query_number(req: &Request, name: &str) -> Option<u64> {
    query(req, name)?.parse().ok()
}

/// Value of a header; `None` if it is missing or not visible ASCII.
pub fn header_text<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.head().headers().get(name)?.to_str().ok()
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::new(status).set_body(BoxBody::new(Bytes::new()))
}

/// An answer with a JSON body.
pub fn json<T>(status: StatusCode, value: &T) -> Response<BoxBody>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(body)
        .map_into_boxed_body()
}

/// Parses a JSON body. The error is the 400 answer to send; invalid JSON is described in it.
pub async fn read_json<T>(req: &mut Request) -> Result<T, Response<BoxBody>>
where
    T: DeserializeOwned,
{
    let Some(body) = read_body(req).await else {
        return Err(empty(StatusCode::BAD_REQUEST));
    };
    serde_json::from_slice(&body).map_err(|e| error(StatusCode::BAD_REQUEST, &e.to_string()))
}

/// An answer whose JSON body is `{"error": {"message": MESSAGE}}`.
pub fn error(status: StatusCode, message: &str) -> Response<BoxBody> {
    json(
        status,
        &serde_json::json!({ "error": { "message": message } }),
    )
}
