//! A listening HTTP port.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, KeepAlive, Request, Response, body::BoxBody};
use actix_rt::task::JoinHandle;
use actix_service::{Service, ServiceFactory, fn_service};
use comfreyweir_config::settings::Limits;
use comfreyweir_listen::listen;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use crate::{
    caller::{CallerLimits, CallerStream},
    stopping::Stopping,
};

/// Pause after accepting has failed, most likely for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A listening port. Dropping it closes the port and cuts its connections.
pub struct Listener {
    addr: SocketAddr,
    accept: Option<JoinHandle<()>>,
}

impl Listener {
    /// Address that the port listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits until the port is closed and all its connections have ended; the phase of the gate
    /// must be draining.
    pub async fn close(&mut self) {
        if let Some(accept) = self.accept.take() {
            let _ = accept.await;
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Some(accept) = self.accept.take() {
            accept.abort();
        }
    }
}

/// Listens on `addr` and answers requests by `handle`.
pub async fn bind<F, R>(
    addr: SocketAddr,
    limits: &Limits,
    stopping: Rc<Stopping>,
    handle: F,
) -> io::Result<Listener>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let listener = listen(addr)?;
    let addr = listener.local_addr()?;
    let signal = Rc::clone(&stopping);
    let idle = Duration::from_millis(limits.idle_ms);
    let factory = HttpService::<CallerStream, _, _>::build()
        .keep_alive(KeepAlive::Timeout(idle))
        .client_request_timeout(Duration::from_millis(limits.head_ms))
        .client_disconnect_timeout(Duration::from_millis(limits.stall_ms))
        .graceful_shutdown_signal(move || {
            let stopping = Rc::clone(&signal);
            async move { stopping.draining().await }
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
    let caller_limits = CallerLimits {
        stall: Duration::from_millis(limits.stall_ms),
        head: Duration::from_millis(limits.head_ms),
        idle,
    };
    let stream_stopping = Rc::clone(&stopping);
    let serve = move |io: TcpStream, peer| {
        let _ = io.set_nodelay(true);
        let service = Rc::clone(&service);
        let stream = CallerStream::new(io, caller_limits, Rc::clone(&stream_stopping));
        async move {
            // What went wrong with a connection shows at the caller.
            let _ = service.call((stream, Some(peer))).await;
        }
    };
    let most = limits.connections;
    let accept = accept_all(listener, most, stopping, serve);
    Ok(Listener {
        addr,
        accept: Some(actix_rt::spawn(accept)),
    })
}

/// Accepts until the gate drains, takes what the kernel has accepted by then, and waits for the
/// connections to end.
async fn accept_all<F, R>(listener: TcpListener, most: usize, stopping: Rc<Stopping>, serve: F)
where
    F: Fn(TcpStream, SocketAddr) -> R,
    R: Future<Output = ()> + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if connections.len() >= most {
            let _ = connections.join_next().await;
            continue;
        }
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stopping.draining() => break,
        };
        match accepted {
            Ok((io, peer)) => {
                let _ = connections.spawn_local(serve(io, peer));
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}
