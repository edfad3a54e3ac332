//! The planner's interface to other processes of the system.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use capnp::{Error, text};
use comfreyweir_clock::Clock;
use comfreyweir_peer::{
    peer_capnp::{demand, planner, usage, view},
    wire_millis,
};
use comfreyweir_placement::{
    demand::{GateDemand, WaitingRequests},
    view::View,
};

use crate::{context::PlannerContext, held_cell::HeldCell, status};

/// Maximum time that an exchange waits for a change of the view.
const MAX_EXCHANGE_WAIT: Duration = Duration::from_secs(10);

/// Implementation of the planner's peer interface.
pub(crate) struct PlannerService {
    cx: Rc<PlannerContext>,
}

impl PlannerService {
    pub(crate) fn new(cx: Rc<PlannerContext>) -> Self {
        Self { cx }
    }
}

impl planner::Server for PlannerService {
    async fn holder(
        self: Rc<Self>,
        params: planner::HolderParams,
        mut results: planner::HolderResults,
    ) -> Result<(), Error> {
        let cell = params.get()?.get_cell()?.to_string()?;
        let known = self.cx.cell(&cell).map(|c| *c.known_holder.borrow());
        let known = known.unwrap_or_default();
        let mut answer = results.get();
        answer.set_term(known.term);
        if let Some(address) = known.address {
            answer.set_address(address.to_string().as_str());
        }
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: planner::ExchangeParams,
        mut results: planner::ExchangeResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let cell = params.get_cell()?.to_string()?;
        let gate = params.get_gate()?.to_string()?;
        let held = self.active_cell(&cell)?;
        self.record_demand(&held, &gate, params)?;
        // Each holder counts its view versions anew, from 1.
        let known_version = if params.get_known_term() == held.holder.borrow().term() {
            params.get_known_version()
        } else {
            0
        };
        let wait = Duration::from_millis(params.get_wait_ms().into()).min(MAX_EXCHANGE_WAIT);
        held.view.wait_for_change(known_version, wait).await;
        // The cell may have been lost during the wait.
        let held = self.active_cell(&cell)?;
        let term = held.holder.borrow().term();
        let (version, latest) = held.view.latest();
        let mut answer = results.get().init_view();
        answer.set_term(term);
        answer.set_version(version);
        write_view(answer, &latest, version == known_version)
    }

    async fn status(
        self: Rc<Self>,
        _params: planner::StatusParams,
        mut results: planner::StatusResults,
    ) -> Result<(), Error> {
        let json = status::to_json(&self.cx).to_string();
        results.get().set_json(json.as_str());
        Ok(())
    }
}

impl PlannerService {
    fn active_cell(&self, cell: &str) -> Result<Rc<HeldCell>, Error> {
        let held = self.cx.cell(cell).and_then(|c| c.active_cell());
        held.ok_or_else(|| Error::failed(format!("this planner does not hold cell {cell}")))
    }

    fn record_demand(
        &self,
        held: &HeldCell,
        gate: &str,
        params: planner::exchange_params::Reader<'_>,
    ) -> Result<(), Error> {
        let now = self.cx.clock.now();
        let demand = read_demand(params.get_demand()?, now)?;
        let usage = read_usage(params.get_usage()?)?;
        let mut holder = held.holder.borrow_mut();
        holder.set_usage(gate, &usage, now);
        if holder.set_demand(gate, demand, now) {
            held.placement_due.notify_one();
        }
        Ok(())
    }
}

fn read_demand(
    list: capnp::struct_list::Reader<'_, demand::Owned>,
    now: Instant,
) -> Result<GateDemand, Error> {
    let mut demand = GateDemand::new();
    for entry in list {
        let mut workspaces = BTreeMap::new();
        for waiting in entry.get_workspaces()? {
            let time_left = Duration::from_millis(waiting.get_deadline_ms().into());
            let requests = WaitingRequests {
                count: waiting.get_waiting(),
                deadline: now + time_left,
            };
            workspaces.insert(read_text(waiting.get_workspace()?)?, requests);
        }
        demand.insert(read_text(entry.get_artifact()?)?, workspaces);
    }
    Ok(demand)
}

fn read_usage(
    list: capnp::struct_list::Reader<'_, usage::Owned>,
) -> Result<BTreeMap<String, u32>, Error> {
    let mut usage = BTreeMap::new();
    for entry in list {
        usage.insert(read_text(entry.get_artifact()?)?, entry.get_running());
    }
    Ok(usage)
}

fn read_text(text: text::Reader<'_>) -> Result<String, Error> {
    Ok(text.to_string()?)
}

fn write_view(mut answer: view::Builder<'_>, view: &View, unchanged: bool) -> Result<(), Error> {
    answer.set_unchanged(unchanged);
    if !unchanged {
        let mut replicas = answer
            .reborrow()
            .init_replicas(list_len(view.replicas.len())?);
        for (index, replica) in (0..).zip(&view.replicas) {
            let mut entry = replicas.reborrow().get(index);
            entry.set_upstream(replica.upstream.as_str());
            entry.set_artifact(replica.artifact.as_str());
            entry.set_ready(replica.ready);
            entry.set_ready_in_ms(wire_millis(replica.ready_in));
        }
    }
    let mut loads = answer.reborrow().init_loads(list_len(view.loads.len())?);
    for (index, load) in (0..).zip(&view.loads) {
        let mut entry = loads.reborrow().get(index);
        entry.set_upstream(load.upstream.as_str());
        entry.set_running(load.running);
        entry.set_waiting(load.waiting);
        entry.set_age_ms(wire_millis(load.age));
        entry.set_reachable(load.reachable);
        entry.set_leaving(load.leaving);
    }
    let mut refusals = answer.init_refusals(list_len(view.refusals.len())?);
    for (index, refusal) in (0..).zip(&view.refusals) {
        let mut entry = refusals.reborrow().get(index);
        entry.set_artifact(refusal.artifact.as_str());
        entry.set_ready_in_ms(wire_millis(refusal.ready_in));
        entry.set_reason(refusal.reason.as_str());
    }
    Ok(())
}

fn list_len(len: usize) -> Result<u32, Error> {
    u32::try_from(len).map_err(|_| Error::failed("the view is too large".to_owned()))
}
