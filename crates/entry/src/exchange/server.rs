//! The peer port, at which the holder of the planning duty accepts the reports of other instances.

use std::{rc::Rc, time::Duration};

use actix_rt::task::JoinHandle;
use comfreyweir_peer::{LinkError, PeerServer, bind, peer_capnp::entry};

use super::message::{ExchangeAnswer, InstanceCall};
use crate::{duty::Coordinator, platform::Platform, state::EntryContext, work_times::Work};

/// Pause before another attempt to open the port.
const BIND_PAUSE: Duration = Duration::from_secs(1);

/// Opens the port as soon as the shared secret is known, and serves it until the task is aborted.
pub(crate) fn spawn<P>(cx: Rc<EntryContext<P>>, coordinator: Rc<Coordinator<P>>) -> JoinHandle<()>
where
    P: Platform,
{
    actix_rt::spawn(async move {
        loop {
            match open(&cx, &coordinator) {
                Some(Ok(server)) => {
                    let _open = server;
                    std::future::pending::<()>().await;
                }
                Some(Err(e)) => {
                    let reason = e.to_string();
                    spdlog::error!("cannot open the peer port", kv: {
                        reason = reason.as_str()
                    });
                    actix_rt::time::sleep(BIND_PAUSE).await;
                }
                None => cx.members_changed.notified().await,
            }
        }
    })
}

/// Opens the port; none while the shared secret is not known.
fn open<P>(
    cx: &Rc<EntryContext<P>>,
    coordinator: &Rc<Coordinator<P>>,
) -> Option<Result<PeerServer, LinkError>>
where
    P: Platform,
{
    let secret = cx.members.borrow().secret.clone()?;
    let service = ExchangeService {
        coordinator: Rc::clone(coordinator),
    };
    let client: entry::Client = capnp_rpc::new_client(service);
    Some(bind(cx.settings().listen.peer, secret, client))
}

struct ExchangeService<P> {
    coordinator: Rc<Coordinator<P>>,
}

impl<P> entry::Server for ExchangeService<P>
where
    P: Platform,
{
    async fn exchange(
        self: Rc<Self>,
        params: entry::ExchangeParams,
        mut results: entry::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let cx = self.coordinator.context();
        let answer = self.answer(params, &mut results);
        let times = &cx.work_times;
        times.measure(&cx.clock, Work::Views, answer).await
    }
}

impl<P> ExchangeService<P>
where
    P: Platform,
{
    async fn answer(
        &self,
        params: entry::ExchangeParams,
        results: &mut entry::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let wait = Duration::from_millis(params.get_wait_ms().into());
        let call: InstanceCall = postcard::from_bytes(params.get_report()?)
            .map_err(|e| capnp::Error::failed(format!("report cannot be decoded: {e}")))?;
        let answer = match call {
            InstanceCall::Report(report) => {
                let cx = self.coordinator.context();
                cx.record_store_reach(report.store_reach, cx.now());
                self.coordinator.exchange(*report, wait).await
            }
            InstanceCall::Grants(request) => self.coordinator.grants(&request),
            InstanceCall::Trials(request) => self.coordinator.trials(&request),
            InstanceCall::Origins(report) => self.coordinator.origins(&report),
            InstanceCall::Permits(request) => self.coordinator.permits(&request),
            InstanceCall::Config(request) => {
                let cx = self.coordinator.context();
                ExchangeAnswer::Config(cx.answer_config(&request).await)
            }
        };
        let view = postcard::to_allocvec(&answer)
            .map_err(|e| capnp::Error::failed(format!("view cannot be encoded: {e}")))?;
        let cx = self.coordinator.context();
        match answer {
            ExchangeAnswer::View(_) => {
                cx.work_times.record_view(view.len());
                cx.metrics.count_view(view.len());
            }
            ExchangeAnswer::Grants(_) => cx.metrics.count_grants_answer(),
            ExchangeAnswer::Trials(_)
            | ExchangeAnswer::Origins(_)
            | ExchangeAnswer::Permits(_)
            | ExchangeAnswer::Config(_)
            | ExchangeAnswer::Elsewhere(..) => {}
        }
        results.get().set_view(&view);
        Ok(())
    }
}
