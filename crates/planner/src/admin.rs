//! HTTP port for health checks, metrics and operators.

use std::{convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, Method, Request, Response, StatusCode, body::BoxBody, header};
use actix_rt::task::JoinHandle;
use actix_service::{Service, ServiceFactory, fn_service};
use comfreyweir_listen::listen;
use tokio::task::JoinSet;

use crate::{context::PlannerContext, status};

/// Time limit for receiving the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which is most likely due to a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
const TEXT: &str = "text/plain; charset=utf-8";
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON: &str = "application/json";

/// The listening admin port. Dropping it closes the port and its connections.
pub(crate) struct AdminPort {
    accept: JoinHandle<()>,
}

impl Drop for AdminPort {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// Opens the admin port and serves it in a task.
pub(crate) async fn bind(cx: Rc<PlannerContext>, addr: SocketAddr) -> io::Result<AdminPort> {
    let listener = listen(addr)?;
    let handle = move |req: Request| {
        let cx = Rc::clone(&cx);
        async move { Ok::<_, Infallible>(answer(&cx, &req)) }
    };
    let service = HttpService::build()
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .h1(fn_service(handle))
        .tcp()
        .new_service(())
        .await
        .map_err(|()| io::Error::other("the HTTP service cannot be built"))?;
    let service = Rc::new(service);
    let accept = actix_rt::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            match listener.accept().await {
                Ok((stream, _)) => {
                    let service = Rc::clone(&service);
                    connections.spawn_local(async move {
                        // An error of a connection is visible to its client.
                        let _ = service.call(stream).await;
                    });
                }
                Err(_) => actix_rt::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(AdminPort { accept })
}

fn answer(cx: &PlannerContext, req: &Request) -> Response<BoxBody> {
    if req.method() != Method::GET && req.method() != Method::HEAD {
        let text = "only GET is served here\n";
        return respond(StatusCode::METHOD_NOT_ALLOWED, TEXT, text.to_owned());
    }
    match req.path() {
        "/healthz" => respond(StatusCode::OK, TEXT, "ok\n".to_owned()),
        "/readyz" if cx.follower.current().revision == 0 => {
            let text = "no configuration yet\n";
            respond(StatusCode::SERVICE_UNAVAILABLE, TEXT, text.to_owned())
        }
        "/readyz" => respond(StatusCode::OK, TEXT, "ready\n".to_owned()),
        "/metrics" => respond(StatusCode::OK, OPEN_METRICS, cx.metrics.encode()),
        "/status" => respond(StatusCode::OK, JSON, status::to_json(cx).to_string()),
        _ => {
            let text = "try /healthz, /readyz, /metrics or /status\n";
            respond(StatusCode::NOT_FOUND, TEXT, text.to_owned())
        }
    }
}

fn respond(status: StatusCode, content_type: &'static str, body: String) -> Response<BoxBody> {
    let mut res = Response::build(status);
    res.insert_header((header::CONTENT_TYPE, content_type));
    res.body(body).map_into_boxed_body()
}
