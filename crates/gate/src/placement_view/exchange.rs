//! One exchange with the holder of a cell.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use capnp::Error;
use comfreyweir_peer::{
    Link, LinkError,
    peer_capnp::{planner, view},
    wire_millis,
};

use super::{
    cell::{CellView, KnownLoad, KnownReplica},
    holder::CALL_TIMEOUT,
    waiting::Demand,
};

/// What a gate tells the holder.
pub(super) struct Told<'a> {
    pub(super) cell: &'a str,
    pub(super) gate: &'a str,
    pub(super) known_term: u64,
    pub(super) known_version: u64,
    pub(super) wait: Duration,
    pub(super) demand: &'a Demand,
    pub(super) usage: &'a BTreeMap<String, u32>,
}

/// What the holder answered; the replicas are absent when they have not changed.
pub(super) struct Answer {
    pub(super) view: CellView,
    pub(super) replicas: Option<Vec<KnownReplica>>,
}

/// Tells the holder what this gate waits for and uses, and waits for its answer.
pub(super) async fn exchange(
    link: &Link<planner::Client>,
    told: Told<'_>,
) -> Result<Answer, LinkError> {
    let wait = told.wait;
    let call = async {
        let mut req = link.client().exchange_request();
        write(req.get(), &told)?;
        let answer = req.send().promise.await?;
        read(answer.get()?.get_view()?, Instant::now())
    };
    link.call(wait + CALL_TIMEOUT, call).await
}

fn write(mut params: planner::exchange_params::Builder<'_>, told: &Told<'_>) -> Result<(), Error> {
    params.set_cell(told.cell);
    params.set_gate(told.gate);
    params.set_known_term(told.known_term);
    params.set_known_version(told.known_version);
    params.set_wait_ms(wire_millis(told.wait));
    let mut demand = params.reborrow().init_demand(count(told.demand.len())?);
    for (index, (artifact, workspaces)) in (0..).zip(told.demand) {
        let mut entry = demand.reborrow().get(index);
        entry.set_artifact(artifact.as_str());
        let mut list = entry.init_workspaces(count(workspaces.len())?);
        for (index, (workspace, waiting)) in (0..).zip(workspaces) {
            let mut entry = list.reborrow().get(index);
            entry.set_workspace(workspace.as_str());
            entry.set_waiting(waiting.waiting);
            entry.set_deadline_ms(wire_millis(waiting.left));
        }
    }
    let mut usage = params.init_usage(count(told.usage.len())?);
    for (index, (artifact, running)) in (0..).zip(told.usage) {
        let mut entry = usage.reborrow().get(index);
        entry.set_artifact(artifact.as_str());
        entry.set_running(*running);
    }
    Ok(())
}

fn read(answer: view::Reader<'_>, now: Instant) -> Result<Answer, Error> {
    let replicas = if answer.get_unchanged() {
        None
    } else {
        Some(read_replicas(answer)?)
    };
    let view = CellView {
        term: answer.get_term(),
        version: answer.get_version(),
        heard_at: Some(now),
        replicas: Vec::new(),
        loads: read_loads(answer, now)?,
        refusals: read_refusals(answer)?,
    };
    Ok(Answer { view, replicas })
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

fn count(len: usize) -> Result<u32, Error> {
    u32::try_from(len).map_err(|_| Error::failed("too many entries".to_owned()))
}
