//! HTTP server on a listening port.

use std::{
    cell::RefCell,
    collections::HashMap,
    convert::Infallible,
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use actix_http::{HttpService, KeepAlive, Request, Response, body::BoxBody};
use actix_rt::task::JoinHandle;
use actix_service::{Service, ServiceFactory, fn_service};
use comfreyweir_config::settings::RequestLimits;
use comfreyweir_listen::listen;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::timeout,
};

use crate::{
    caller::{CallerStream, CallerTimeouts},
    memory::CallerMemory,
    shutdown::ShutdownState,
};

/// Delay before accepting again after an error, most likely because the process has run out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Share of the connections that one address may have: [`ADDRESS_SHARE`] of [`ADDRESS_DIVISOR`] parts. A
/// balancer that forwards all callers from one address still gets most of them.
const ADDRESS_SHARE: usize = 3;
const ADDRESS_DIVISOR: usize = 4;
/// Interval at which a connection to close is looked for while as many are open as may be.
const FULL_RECHECK: Duration = Duration::from_millis(100);

/// Number of open connections of each address.
#[derive(Clone, Default)]
struct AddressCounts(Rc<RefCell<HashMap<IpAddr, usize>>>);

/// Counts a connection until dropped.
struct CountedConnection(AddressCounts, IpAddr);

impl AddressCounts {
    fn count(&self, address: IpAddr) -> usize {
        self.0.borrow().get(&address).copied().unwrap_or(0)
    }

    fn add(&self, address: IpAddr) -> CountedConnection {
        *self.0.borrow_mut().entry(address).or_default() += 1;
        CountedConnection(self.clone(), address)
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        let mut counts = self.0.0.borrow_mut();
        if let Some(count) = counts.get_mut(&self.1) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.1);
            }
        }
    }
}

/// A listening port. Dropping it closes the port and its connections without waiting for answers in
/// flight.
pub struct Listener {
    addr: SocketAddr,
    accept_task: Option<JoinHandle<()>>,
}

impl Listener {
    /// Address that the port listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits until the port is closed and all its connections have ended. The port closes only in
    /// phase `Draining`, so that has to be set first.
    pub async fn close(&mut self) {
        if let Some(task) = self.accept_task.take() {
            let _ = task.await;
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Some(task) = self.accept_task.take() {
            task.abort();
        }
    }
}

/// Listens on `addr` and answers each request with the result of `handle`.
///
/// Fails when the address cannot be bound.
pub async fn bind<F, R>(
    addr: SocketAddr,
    limits: &RequestLimits,
    shutdown: Rc<ShutdownState>,
    handle: F,
) -> io::Result<Listener>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let memory = CallerMemory::unlimited();
    bind_within(addr, limits, &memory, shutdown, handle).await
}

/// Like [`bind`], for connections that hold no more than `memory` allows. Ports can share it.
pub async fn bind_within<F, R>(
    addr: SocketAddr,
    limits: &RequestLimits,
    memory: &Rc<CallerMemory>,
    shutdown: Rc<ShutdownState>,
    handle: F,
) -> io::Result<Listener>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let listener = listen(addr)?;
    let addr = listener.local_addr()?;
    let signal = Rc::clone(&shutdown);
    let idle = Duration::from_millis(limits.idle_ms);
    let factory = HttpService::<CallerStream, _, _>::build()
        .keep_alive(KeepAlive::Timeout(idle))
        .client_request_timeout(Duration::from_millis(limits.head_ms))
        .client_disconnect_timeout(Duration::from_millis(limits.stall_ms))
        .graceful_shutdown_signal(move || {
            let shutdown = Rc::clone(&signal);
            async move { shutdown.wait_until_draining().await }
        })
        .on_connect_ext(|io: &CallerStream, ext| {
            ext.insert(io.caller());
        })
        .h1(fn_service(handle));
    let service = factory
        .new_service(())
        .await
        .map_err(|()| io::Error::other("the HTTP service cannot be built"))?;
    let service = Rc::new(service);
    let timeouts = CallerTimeouts {
        stall: Duration::from_millis(limits.stall_ms),
        head: Duration::from_millis(limits.head_ms),
        idle,
    };
    let stream_shutdown = Rc::clone(&shutdown);
    let stream_memory = Rc::clone(memory);
    let serve = move |io: TcpStream, peer| {
        let _ = io.set_nodelay(true);
        let service = Rc::clone(&service);
        let shutdown = Rc::clone(&stream_shutdown);
        let stream = CallerStream::new(io, peer, &stream_memory, timeouts, shutdown);
        async move {
            // The caller sees the error itself, as a closed connection.
            let _ = service.call((stream, Some(peer))).await;
        }
    };
    let max_connections = limits.connections;
    let memory = Rc::clone(memory);
    let accepting = accept_connections(listener, max_connections, memory, shutdown, serve);
    Ok(Listener {
        addr,
        accept_task: Some(actix_rt::spawn(accepting)),
    })
}

/// Accepts connections until the process drains, then waits for them to end.
///
/// Accepting takes priority over the drain signal, so that connections that already wait in the
/// kernel's accept queue are served too. While `max_connections` are open, neither is checked, and one
/// whose caller makes no progress is closed if there is any.
async fn accept_connections<F, R>(
    listener: TcpListener,
    max_connections: usize,
    memory: Rc<CallerMemory>,
    shutdown: Rc<ShutdownState>,
    serve: F,
) where
    F: Fn(TcpStream, SocketAddr) -> R,
    R: Future<Output = ()> + 'static,
{
    let mut connections = JoinSet::new();
    let by_address = AddressCounts::default();
    let max_of_address = (max_connections / ADDRESS_DIVISOR * ADDRESS_SHARE).max(1);
    loop {
        while connections.try_join_next().is_some() {}
        if connections.len() >= max_connections {
            memory.evict_one(None);
            let _ = timeout(FULL_RECHECK, connections.join_next()).await;
            continue;
        }
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = shutdown.wait_until_draining() => break,
        };
        match accepted {
            Ok((io, peer)) => {
                let address = peer.ip();
                let is_full = by_address.count(address) >= max_of_address;
                if is_full && !memory.evict_one(Some(address)) {
                    memory.note_rejected(address);
                    continue;
                }
                let counted = by_address.add(address);
                let serving = serve(io, peer);
                let _ = connections.spawn_local(async move {
                    serving.await;
                    drop(counted);
                });
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}
