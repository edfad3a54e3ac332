//! The port at which other instances report.

use std::{rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use comfreyweir_peer::{LinkError, PeerServer, bind, peer_capnp::entry};

use super::message::Report;
use crate::{duty::Desk, ports::Platform, state::Cx};

/// Pause before the port is opened again after a failure.
const BIND_PAUSE: Duration = Duration::from_secs(1);

/// Serves the port as soon as the secret is known. Dropping the handle closes it.
pub(crate) fn spawn<P>(cx: Rc<Cx<P>>, desk: Rc<Desk<P>>) -> JoinHandle<()>
where
    P: Platform,
{
    actix_rt::spawn(async move {
        loop {
            match open(&cx, &desk) {
                Some(Ok(server)) => {
                    let _open = server;
                    std::future::pending::<()>().await;
                }
                Some(Err(e)) => {
                    let reason = e.to_string();
                    spdlog::error!("the port for other instances cannot be opened", kv: {
                        reason = reason.as_str()
                    });
                    actix_rt::time::sleep(BIND_PAUSE).await;
                }
                None => cx.members_changed.notified().await,
            }
        }
    })
}

fn open<P>(cx: &Rc<Cx<P>>, desk: &Rc<Desk<P>>) -> Option<Result<PeerServer, LinkError>>
where
    P: Platform,
{
    let secret = cx.members.borrow().secret.clone()?;
    let service = Service {
        desk: Rc::clone(desk),
    };
    let client: entry::Client = capnp_rpc::new_client(service);
    Some(bind(cx.settings().listen.peer, secret, client))
}

struct Service<P> {
    desk: Rc<Desk<P>>,
}

impl<P> entry::Server for Service<P>
where
    P: Platform,
{
    async fn exchange(
        self: Rc<Self>,
        params: entry::ExchangeParams,
        mut results: entry::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let wait = Duration::from_millis(params.get_wait_ms().into());
        let report: Report = postcard::from_bytes(params.get_report()?)
            .map_err(|e| capnp::Error::failed(format!("report cannot be decoded: {e}")))?;
        let answer = self.desk.exchange(report, wait).await;
        let view = postcard::to_allocvec(&answer)
            .map_err(|e| capnp::Error::failed(format!("view cannot be encoded: {e}")))?;
        results.get().set_view(&view);
        Ok(())
    }
}
