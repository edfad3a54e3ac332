//! One exchange with the holder of a cell.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use capnp::Error;
use comfreyweir_peer::{
    LinkError, PeerLink,
    peer_capnp::{planner, view},
    wire_millis,
};

use super::{
    cell::{CellView, KnownLoad, KnownReplica},
    holder::CALL_TIMEOUT,
    waiting::Demand,
};

/// What a gate sends to the holder of a cell.
pub(super) struct ExchangeRequest<'a> {
    pub(super) cell: &'a str,
    pub(super) gate: &'a str,
    pub(super) known_term: u64,
    pub(super) known_version: u64,
    pub(super) wait: Duration,
    pub(super) demand: &'a Demand,
    pub(super) usage: &'a BTreeMap<String, u32>,
}

/// The holder's answer. `replicas` is `None` if they have not changed.
pub(super) struct ExchangeResponse {
    pub(super) view: CellView,
    pub(super) replicas: Option<Vec<KnownReplica>>,
}

/// Sends this gate's demand and usage to the holder, and waits for the cell's view. The holder
/// answers at a change, or after `request.wait`.
pub(super) async fn exchange(
    link: &PeerLink<planner::Client>,
    request: ExchangeRequest<'_>,
) -> Result<ExchangeResponse, LinkError> {
    let wait = request.wait;
    let call = async {
        let mut req = link.client().exchange_request();
        write_request(req.get(), &request)?;
        let answer = req.send().promise.await?;
        read_response(answer.get()?.get_view()?, Instant::now())
    };
    link.call(wait + CALL_TIMEOUT, call).await
}

fn write_request(
    mut params: planner::exchange_params::Builder<'_>,
    request: &ExchangeRequest<'_>,
) -> Result<(), Error> {
    params.set_cell(request.cell);
    params.set_gate(request.gate);
    params.set_known_term(request.known_term);
    params.set_known_version(request.known_version);
    params.set_wait_ms(wire_millis(request.wait));
    let mut demand = params
        .reborrow()
        .init_demand(list_len(request.demand.len())?);
    for (index, (artifact, workspaces)) in (0..).zip(request.demand) {
        let mut entry = demand.reborrow().get(index);
        entry.set_artifact(artifact.as_str());
        let mut list = entry.init_workspaces(list_len(workspaces.len())?);
        for (index, (workspace, waiting)) in (0..).zip(workspaces) {
            let mut entry = list.reborrow().get(index);
            entry.set_workspace(workspace.as_str());
            entry.set_waiting(waiting.waiting);
            entry.set_deadline_ms(wire_millis(waiting.time_left));
        }
    }
    let mut usage = params.init_usage(list_len(request.usage.len())?);
    for (index, (artifact, running)) in (0..).zip(request.usage) {
        let mut entry = usage.reborrow().get(index);
        entry.set_artifact(artifact.as_str());
        entry.set_running(*running);
    }
    Ok(())
}

fn read_response(answer: view::Reader<'_>, now: Instant) -> Result<ExchangeResponse, Error> {
    let replicas = if answer.get_unchanged() {
        None
    } else {
        Some(read_replicas(answer)?)
    };
    let view = CellView {
        term: answer.get_term(),
        version: answer.get_version(),
        received_at: Some(now),
        replicas: Vec::new(),
        loads: read_loads(answer, now)?,
        refusals: read_refusals(answer)?,
    };
    Ok(ExchangeResponse { view, replicas })
}

fn read_replicas(answer: view::Reader<'_>) -> Result<Vec<KnownReplica>, Error> {
    let entries = answer.get_replicas()?.into_iter();
    entries
        .map(|entry| {
            Ok(KnownReplica {
                upstream: entry.get_upstream()?.to_string()?,
                artifact: entry.get_artifact()?.to_string()?,
                ready: entry.get_ready(),
                ready_in: Duration::from_millis(entry.get_ready_in_ms().into()),
            })
        })
        .collect()
}

fn read_loads(
    answer: view::Reader<'_>,
    now: Instant,
) -> Result<BTreeMap<String, KnownLoad>, Error> {
    let entries = answer.get_loads()?.into_iter();
    entries
        .map(|entry| {
            let age = Duration::from_millis(entry.get_age_ms().into());
            let load = KnownLoad {
                running: entry.get_running(),
                waiting: entry.get_waiting(),
                at: now.checked_sub(age).unwrap_or(now),
                leaving: entry.get_leaving(),
            };
            Ok((entry.get_upstream()?.to_string()?, load))
        })
        .collect()
}

fn read_refusals(answer: view::Reader<'_>) -> Result<BTreeMap<String, Duration>, Error> {
    let entries = answer.get_refusals()?.into_iter();
    entries
        .map(|entry| {
            let ready_in = Duration::from_millis(entry.get_ready_in_ms().into());
            Ok((entry.get_artifact()?.to_string()?, ready_in))
        })
        .collect()
}

fn list_len(len: usize) -> Result<u32, Error> {
    u32::try_from(len).map_err(|_| Error::failed("too many entries".to_owned()))
}
